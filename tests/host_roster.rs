//! The load of a large fleet at rest: who watches the store, and who follows whom. Played without a network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use greengagearch::connection::host_roster::HostRoster;
use greengagearch::connection::host_roster::PeerHost;

/// Reads a second of a process that watches the store: the owner's heartbeats, the configuration and the other
/// processes.
const READS_PER_WATCHER: f64 = 2.5 + 1.43 + 0.4;
/// What a store that answers 16,000 reads a second answers when it is sixty times slower.
const SLOW_STORE_READS: f64 = 266.0;

fn address(number: usize) -> String {
    format!("10.{}.{}.7:7720", number / 200, number % 200)
}

/// A fleet in five failure domains; every fourth host has a whole core, the others an eighth.
fn roster(hosts: usize) -> HostRoster {
    let mut roster = HostRoster::default();
    for number in 0..hosts {
        let domain = format!("d{}", number % 5);
        let share = if number % 4 == 0 { 1.0 } else { 0.12 };
        roster.insert(PeerHost { address: address(number), domain, share });
    }
    roster
}

fn sources_of(roster: &HostRoster, number: usize) -> Vec<String> {
    roster.sources(&address(number), &format!("d{}", number % 5), None)
}

/// Guards against watches that take up the reserve of a slow store, at this size and at twice the size.
#[test]
fn watches_take_less_than_half_of_what_a_slow_store_answers() {
    for hosts in [184, 368] {
        let watchers: usize = roster(hosts).watchers(None).values().map(Vec::len).sum();
        let reads = watchers as f64 * READS_PER_WATCHER;
        assert!(
            reads < SLOW_STORE_READS / 2.0,
            "{hosts} hosts: {watchers} watchers, {reads} reads"
        );
    }
}

#[test]
fn followers_have_several_watchers_in_their_own_domain_and_spread_evenly() {
    for hosts in [184, 368] {
        let roster = roster(hosts);
        let mut followers: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..hosts {
            let sources = sources_of(&roster, number);
            let Some(first) = sources.first() else {
                continue;
            };
            assert!(sources.len() >= 4, "{sources:?}");
            let nearby: BTreeSet<String> =
                (0..hosts).filter(|other| other % 5 == number % 5).map(address).collect();
            assert!(sources.iter().all(|source| nearby.contains(source)));
            *followers.entry(first.clone()).or_default() += 1;
        }
        let most = followers.values().max().copied().unwrap_or(0);
        assert!(most <= 32, "{hosts} hosts: {followers:?}");
    }
}

#[test]
fn the_hosts_with_the_most_processor_time_watch() {
    let roster = roster(184);
    let strong: BTreeSet<String> = (0..184).step_by(4).map(address).collect();
    let watchers = roster.watchers(None);
    assert!(watchers.values().flatten().all(|watcher| strong.contains(*watcher)));
}

#[test]
fn all_hosts_of_a_small_deployment_watch_the_store_themselves() {
    let roster = roster(20);
    assert!((0..20).all(|number| sources_of(&roster, number).is_empty()));
    assert!(HostRoster::default().sources(&address(0), "d0", None).is_empty());
}

/// The owner has other work, and does not watch its own row.
#[test]
fn nobody_follows_the_owner() {
    let roster = roster(184);
    let watchers = roster.watchers(None);
    let owner = watchers["d0"][0].to_string();
    for number in (0..184).step_by(5) {
        let sources = roster.sources(&address(number), "d0", Some(&owner));
        assert!(!sources.contains(&owner), "{sources:?}");
    }
}
