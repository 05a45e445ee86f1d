//! Decides when an entry may grant a lease holder that it will not take the lease over.

use std::collections::BTreeMap;

use crate::ids::LeaseEpoch;

/// Decides which heartbeats of lease holders an entry answers with a grant.
///
/// A grant is denied
///
/// - while a change of the cluster map that this entry has sent may still take effect,
/// - to a holder that knows an older cluster map than this entry, and
/// - to a holder whose lease this entry has started to take over.
///
/// The owner of this value has to call [`GrantArbiter::on_map`] as soon as it learns of a newer
/// map.
#[derive(Clone, Debug, Default)]
pub struct GrantArbiter {
    generation: u64,
    change_pending: bool,
    /// Epoch of the newest takeover that this entry has started, by lease.
    superseded: BTreeMap<String, LeaseEpoch>,
}

impl GrantArbiter {
    /// Records the generation of a cluster map that this entry has learned of.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut arbiter = GrantArbiter::default();
    /// arbiter.on_map(2);
    /// assert!(!arbiter.may_grant("worker/w1", 1, 1));
    /// assert!(arbiter.may_grant("worker/w1", 1, 2));
    /// ```
    pub fn on_map(&mut self, generation: u64) {
        self.generation = self.generation.max(generation);
    }

    /// Denies all grants until [`GrantArbiter::end_change`]. Must be called before a change of the
    /// cluster map is sent to the table service.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut arbiter = GrantArbiter::default();
    /// arbiter.begin_change();
    /// assert!(!arbiter.may_grant("worker/w1", 1, 0));
    /// ```
    pub fn begin_change(&mut self) {
        self.change_pending = true;
    }

    /// Ends the denial of all grants. Must be called once the outcome of the change is known, with
    /// the generation that the cluster map has then.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut arbiter = GrantArbiter::default();
    /// arbiter.begin_change();
    /// arbiter.end_change(1);
    /// assert!(arbiter.may_grant("worker/w1", 1, 1));
    /// ```
    pub fn end_change(&mut self, generation: u64) {
        self.on_map(generation);
        self.change_pending = false;
    }

    /// Denies grants to holders of `lease` with an epoch before `epoch`. Must be called before a
    /// takeover of the lease under `epoch` is sent to the table service.
    ///
    /// ```
    /// use greengagearch::connection::grant_arbiter::GrantArbiter;
    ///
    /// let mut arbiter = GrantArbiter::default();
    /// arbiter.supersede("worker/w1", 2);
    /// assert!(!arbiter.may_grant("worker/w1", 1, 0));
    /// assert!(arbiter.may_grant("worker/w1", 2, 0));
    /// ```
    pub fn supersede(&mut self, lease: &str, epoch: LeaseEpoch) {
        let known = self.superseded.entry(lease.to_string()).or_insert(epoch);
        *known = epoch.max(*known);
    }

    /// Returns whether the holder of `lease` under `epoch`, which knows the cluster map of
    /// `generation`, may be given a grant.
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
