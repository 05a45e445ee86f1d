//! A change of the cluster's row on its way to the table service.

use crate::connection::cluster_map::ClusterMap;
use crate::ids::RowVersion;

/// A change of the row that an entry is about to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapChange {
    /// Version of the row that the change builds on.
    pub version: RowVersion,
    /// The new map.
    pub map: ClusterMap,
}

/// How the write of a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// It took effect, and the row has this version.
    Written(RowVersion),
    /// It took no effect and never will.
    Refused,
    /// It may take effect now or later.
    Ambiguous,
}

/// The change that an entry has sent and whose outcome it does not know yet.
///
/// ```
/// use greengagearch::connection::cluster_map::ClusterMap;
/// use greengagearch::connection::map_change::ChangeResult;
/// use greengagearch::connection::map_change::MapChange;
/// use greengagearch::connection::map_change::PendingChange;
///
/// let mut pending = PendingChange::default();
/// pending.begin(MapChange { version: 1, map: ClusterMap::default() });
/// assert!(!pending.on_result(ChangeResult::Ambiguous));
/// // The first write may still take effect.
/// assert!(!pending.on_result(ChangeResult::Refused));
/// assert!(pending.on_row(2));
/// assert!(pending.change().is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct PendingChange {
    change: Option<MapChange>,
    /// Whether a write of it, or of another change of the same row, got no answer: it may take effect until the row has moved on.
    is_doubtful: bool,
}

impl PendingChange {
    /// The change, as long as its outcome is not known.
    pub fn change(&self) -> Option<&MapChange> {
        self.change.as_ref()
    }

    /// Must be called before a change is sent to the table service.
    pub fn begin(&mut self, change: MapChange) {
        self.change = Some(change);
    }

    /// Takes in the version of a row that was read. Says whether that settles the change: where the row has moved on, the change
    /// either is in it or can never be.
    pub fn on_row(&mut self, version: RowVersion) -> bool {
        let is_settled = self.change.as_ref().is_some_and(|change| version > change.version);
        if is_settled {
            *self = PendingChange::default();
        }
        is_settled
    }

    /// Takes in how a write ended. Says whether that settles the change.
    pub fn on_result(&mut self, result: ChangeResult) -> bool {
        let is_settled = match result {
            ChangeResult::Ambiguous => {
                self.is_doubtful = true;
                false
            }
            // A refusal speaks of its own write alone.
            ChangeResult::Refused => !self.is_doubtful,
            ChangeResult::Written(_) => true,
        };
        if is_settled {
            *self = PendingChange::default();
        }
        is_settled
    }
}
