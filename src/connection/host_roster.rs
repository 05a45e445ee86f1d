//! Planner processes known to this one, and which of them watch the store on behalf of the others.
//!
//! Answers the load of a large fleet at rest: if every process watched the store itself, the watches
//! would take a thousand reads a second at two hundred hosts, whatever the work, and a store that is
//! sixty times slower than usual bears a quarter of that. In each failure domain a few processes
//! watch the store, and the others follow them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::DomainName;

/// Maximum number of processes of a failure domain that follow one watcher.
const MAX_FOLLOWERS: usize = 16;
/// Minimum number of watchers in a failure domain, so that followers rarely lose all of them.
const MIN_WATCHERS: usize = 4;

/// A planner process as it registered itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerHost {
    /// Address for other processes of the system.
    pub address: String,
    /// Failure domain of its host.
    pub domain: DomainName,
    /// Share of a core that it may use.
    pub share: f64,
}

impl PeerHost {
    /// Key by which hosts with more processor time come first, others in an arbitrary order.
    fn watcher_key(&self) -> (Reverse<u64>, u64) {
        // The bits of non-negative floats are ordered like the floats.
        (Reverse(self.share.max(0.0).to_bits()), xxh3_64(self.address.as_bytes()))
    }
}

/// Addresses of the watchers among the hosts of a failure domain.
fn watchers_among(mut hosts: Vec<&PeerHost>) -> Vec<&str> {
    let count = hosts.len().div_ceil(MAX_FOLLOWERS + 1).max(MIN_WATCHERS);
    hosts.sort_by_cached_key(|host| host.watcher_key());
    hosts.into_iter().take(count).map(|host| host.address.as_str()).collect()
}

/// The planner processes that have registered, by address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostRoster {
    hosts: BTreeMap<String, PeerHost>,
}

impl HostRoster {
    /// Adds a process, or replaces what is known of it.
    ///
    /// ```
    /// use greengagearch::connection::host_roster::HostRoster;
    /// use greengagearch::connection::host_roster::PeerHost;
    ///
    /// let mut roster = HostRoster::default();
    /// roster.insert(PeerHost { address: "10.0.0.1:7000".to_string(), ..PeerHost::default() });
    /// assert_eq!(roster.addresses().count(), 1);
    /// ```
    pub fn insert(&mut self, host: PeerHost) {
        self.hosts.insert(host.address.clone(), host);
    }

    /// Removes the process at an address.
    ///
    /// ```
    /// greengagearch::connection::host_roster::HostRoster::default().remove("10.0.0.1:7000");
    /// ```
    pub fn remove(&mut self, address: &str) {
        self.hosts.remove(address);
    }

    /// Addresses of all known processes.
    ///
    /// ```
    /// use greengagearch::connection::host_roster::HostRoster;
    ///
    /// assert_eq!(HostRoster::default().addresses().count(), 0);
    /// ```
    pub fn addresses(&self) -> impl Iterator<Item = &String> {
        self.hosts.keys()
    }

    /// Addresses of the processes that watch the store, by failure domain: in each the ones with the
    /// most processor time. `owner` is the address of the process that plans, which has other work.
    ///
    /// ```
    /// use greengagearch::connection::host_roster::HostRoster;
    ///
    /// assert!(HostRoster::default().watchers(None).is_empty());
    /// ```
    pub fn watchers(&self, owner: Option<&str>) -> BTreeMap<&str, Vec<&str>> {
        let mut domains: BTreeMap<&str, Vec<&PeerHost>> = BTreeMap::new();
        for host in self.hosts.values().filter(|host| Some(host.address.as_str()) != owner) {
            domains.entry(&host.domain).or_default().push(host);
        }
        let domains = domains.into_iter();
        domains.map(|(domain, hosts)| (domain, watchers_among(hosts))).collect()
    }

    /// Addresses of the processes that the process at `own_address` in `domain` follows, the
    /// preferred one first. Empty if it watches the store itself. Followers spread evenly over the
    /// watchers of their domain (rendezvous hashing).
    ///
    /// ```
    /// use greengagearch::connection::host_roster::HostRoster;
    ///
    /// assert!(HostRoster::default().sources("10.0.0.1:7000", "d", None).is_empty());
    /// ```
    pub fn sources(&self, own_address: &str, domain: &str, owner: Option<&str>) -> Vec<String> {
        let watchers = self.watchers(owner);
        let nearby = watchers.get(domain).map_or(&[][..], Vec::as_slice);
        if nearby.contains(&own_address) {
            return Vec::new();
        }
        let mut sources: Vec<String> = nearby.iter().map(ToString::to_string).collect();
        sources.sort_by_cached_key(|source| xxh3_64(format!("{own_address}>{source}").as_bytes()));
        sources
    }
}
