//! The member's side of grants: when an entry may promise to take nothing over.

use std::collections::BTreeMap;

use crate::ids::LeaseEpoch;

/// Decides which heartbeats an entry answers with a grant.
///
/// A grant is refused while a change of the cluster map that this entry wrote may take effect,
/// to a holder that knows an older map than this entry, and to a holder whose lease this entry has
/// begun to take over. The map's generation must be raised here as soon as it is learned.
#[derive(Clone, Debug, Default)]
pub struct GrantArbiter {
    generation: u64,
    change_pending: bool,
    superseded: BTreeMap<String, LeaseEpoch>,
}

impl GrantArbiter {
    /// Takes in a newer map's generation.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut desk = GrantArbiter::default();
    /// desk.on_map(2);
    /// assert!(!desk.may_grant("worker/w1", 1, 1));
    /// assert!(desk.may_grant("worker/w1", 1, 2));
    /// ```
    pub fn on_map(&mut self, generation: u64) {
        self.generation = self.generation.max(generation);
    }

    /// Must be called before a change of the map is sent to the table service.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut desk = GrantArbiter::default();
    /// desk.begin_change();
    /// assert!(!desk.may_grant("worker/w1", 1, 0));
    /// ```
    pub fn begin_change(&mut self) {
        self.change_pending = true;
    }

    /// Must be called once the outcome of the change is known, with the map's generation by then.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut desk = GrantArbiter::default();
    /// desk.begin_change();
    /// desk.end_change(1);
    /// assert!(desk.may_grant("worker/w1", 1, 1));
    /// ```
    pub fn end_change(&mut self, generation: u64) {
        self.on_map(generation);
        self.change_pending = false;
    }

    /// Must be called before a takeover of `lease` to `epoch` is sent to the table service.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut desk = GrantArbiter::default();
    /// desk.supersede("worker/w1", 2);
    /// assert!(!desk.may_grant("worker/w1", 1, 0));
    /// assert!(desk.may_grant("worker/w1", 2, 0));
    /// ```
    pub fn supersede(&mut self, lease: &str, epoch: LeaseEpoch) {
        let known = self.superseded.entry(lease.to_string()).or_insert(epoch);
        *known = epoch.max(*known);
    }

    /// Whether the holder of `lease` at `epoch`, who knows the map of `generation`, gets a grant.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// assert!(GrantArbiter::default().may_grant("worker/w1", 1, 0));
    /// ```
    pub fn may_grant(&self, lease: &str, epoch: LeaseEpoch, generation: u64) -> bool {
        let newest = self.superseded.get(lease).copied().unwrap_or(0);
        !self.change_pending && generation >= self.generation && epoch >= newest
    }
}
