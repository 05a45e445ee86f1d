//! Changes of the cluster map's row while their write to the table service is in progress.

use crate::connection::cluster_map::ClusterMap;
use crate::ids::RowVersion;

/// A change of the cluster map that an entry writes with a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapChange {
    /// Version of the row that the change is based on.
    pub version: RowVersion,
    /// The map to write.
    pub map: ClusterMap,
}

/// Result of writing a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// The write took effect and gave the row this version.
    Written(RowVersion),
    /// The write had no effect and never will.
    Refused,
    /// The outcome is not known: the write may have taken effect or may still do so.
    Ambiguous,
}

/// The change that an entry has sent and whose outcome it does not know yet, if there is one.
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
    /// Whether a write of this change, or of another change of the same row, got no response. Such
    /// a write may take effect until the row has a newer version.
    has_unanswered_write: bool,
}

impl PendingChange {
    /// Returns the change whose outcome is not known.
    pub fn change(&self) -> Option<&MapChange> {
        self.change.as_ref()
    }

    /// Records a change; must be called before the change is sent to the table service.
    pub fn begin(&mut self, change: MapChange) {
        self.change = Some(change);
    }

    /// Processes a read of the row at `version`. Returns whether this determines the outcome of the
    /// change: if the row is newer than the version that the change is based on, the change either
    /// has taken effect or never will.
    pub fn on_row(&mut self, version: RowVersion) -> bool {
        let is_settled = self.change.as_ref().is_some_and(|change| version > change.version);
        if is_settled {
            *self = PendingChange::default();
        }
        is_settled
    }

    /// Processes the result of a write. Returns whether this determines the outcome of the change.
    pub fn on_result(&mut self, result: ChangeResult) -> bool {
        let is_settled = match result {
            ChangeResult::Ambiguous => {
                self.has_unanswered_write = true;
                false
            }
            // A rejection says nothing about an earlier write that got no response.
            ChangeResult::Refused => !self.has_unanswered_write,
            ChangeResult::Written(_) => true,
        };
        if is_settled {
            *self = PendingChange::default();
        }
        is_settled
    }
}
