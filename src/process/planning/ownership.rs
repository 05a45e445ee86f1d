//! Ownership of planning: one process at a time, by a row of the store.
//!
//! Every write of the planner is bound to the version of the owner's row, and every order carries its
//! epoch; so two processes that both believe to own planning do no harm. The pulse only tells when to
//! take over.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;

use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::external::row_store::RowTransaction;
use crate::external::row_store::StoredRow;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::planner_loop::PlannerLoop;
use crate::process::planning::rows::OWNER_KEY;
use crate::process::planning::rows::OWNER_TABLE;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PULSE_KEY;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;
use crate::process::planning::rows::owner_row;
use crate::process::planning::shared::PlannerShared;

/// Silence of the pulse, which comes every 0.4 s, after which another process takes over: longer than
/// one pulse takes at a store that is sixty times slower than usual.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1_400);
/// Added for a process without any share of a core, in proportion less for others, so that the one with
/// the most processor time comes first.
const SHARE_STAGGER: Duration = Duration::from_millis(400);
/// The same after a planner has given the ownership back: hosts with half a core come 60 ms before those with
/// an eighth, more than the news and the write take.
const RELEASE_STAGGER: Duration = Duration::from_millis(150);
/// Longest wait for news in one call.
const FEED_WAIT: Duration = Duration::from_millis(1_200);

/// An ownership that the store has confirmed.
#[derive(Clone, Debug)]
pub struct OwnerProof {
    /// The row.
    pub owner: OwnerRow,
    /// Its version, which binds the planner's writes.
    pub version: RowVersion,
    /// When the call was sent that showed it.
    pub sent: Instant,
    /// When it was answered.
    pub answered: Instant,
    /// Whether there was a planner before.
    pub has_predecessor: bool,
}

/// How long after the last change of the ownership or its pulse a process at an address, with a share of a
/// core, may take it.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::planning::ownership::takeover_delay;
///
/// assert_eq!(takeover_delay(None, "10.0.0.1:7000", 0.5), Duration::ZERO);
/// ```
pub fn takeover_delay(owner: Option<&OwnerRow>, own_address: &str, share: f64) -> Duration {
    // Of processes at one address only the newest lives; so a row that names this one is of its past.
    let Some(owner) = owner.filter(|owner| owner.address != own_address) else {
        return Duration::ZERO;
    };
    let lack = 1.0 - share.clamp(0.0, 1.0);
    if owner.released {
        RELEASE_STAGGER.mul_f64(lack)
    } else {
        TAKEOVER_AFTER + SHARE_STAGGER.mul_f64(lack)
    }
}

/// Watches the ownership, and takes it when nobody has it.
pub struct OwnershipElector {
    shared: Arc<PlannerShared>,
    owner: Option<(OwnerRow, RowVersion)>,
    changed: Instant,
    after: Option<RowVersion>,
    has_failed: bool,
}

impl OwnershipElector {
    /// Starts watching. The task ends when the process stops.
    pub fn spawn(shared: Arc<PlannerShared>) -> tokio::task::JoinHandle<()> {
        let elector = OwnershipElector {
            shared,
            owner: None,
            changed: clock::now(),
            after: None,
            has_failed: false,
        };
        tokio::spawn(elector.run())
    }

    async fn run(mut self) {
        while !self.shared.is_stopping() {
            let shared = self.shared.clone();
            let watched = tokio::select! {
                watched = self.watch() => watched,
                () = shared.wake.notified() => continue,
            };
            if let Err(error) = &watched {
                self.on_failure(error);
            }
            self.shared.pace_watch(&watched).await;
            if watched.is_ok() && self.is_vacant() {
                self.take_over().await;
            }
        }
    }

    /// Reads the rows, or waits for changes of them.
    async fn watch(&mut self) -> Result<(), RowError> {
        let store = self.shared.store.clone();
        let (rows, version) = match self.after {
            Some(after) => {
                let wait = FEED_WAIT.min(self.until_vacant()).max(Duration::from_millis(1));
                let page = store.feed(OWNER_TABLE, after, wait).await?;
                (page.rows, page.version)
            }
            None => {
                let page = store.range(OWNER_TABLE, PARTITION, "").await?;
                (page.rows, page.version)
            }
        };
        self.after = Some(version);
        if std::mem::take(&mut self.has_failed) {
            log_event(Level::Info, "ownership_watch_regained", &[("version", &version)]);
        }
        for row in rows {
            self.adopt(&row);
        }
        Ok(())
    }

    fn adopt(&mut self, row: &StoredRow) {
        self.changed = clock::now();
        if row.name.key == PULSE_KEY {
            self.shared.view().pulse = decode(row).unwrap_or_default();
        }
        if row.name.key == OWNER_KEY {
            let is_older = self.owner.as_ref().is_some_and(|(_, version)| *version > row.version);
            if let (Some(owner), false) = (decode::<OwnerRow>(row), is_older) {
                self.shared.view().owner = Some(owner.clone());
                self.owner = Some((owner, row.version));
            }
        }
    }

    fn on_failure(&mut self, error: &RowError) {
        // While the store is away nobody can renew; the pulse counts anew from its return.
        self.changed = clock::now();
        if *error == RowError::HistoryGone {
            self.after = None;
        }
        if !std::mem::replace(&mut self.has_failed, true) {
            log_event(Level::Warn, "ownership_watch_lost", &[("error", error)]);
        }
    }

    fn takeover_delay(&self) -> Duration {
        let settings = &self.shared.settings;
        let owner = self.owner.as_ref().map(|(owner, _)| owner);
        takeover_delay(owner, &settings.internal_listen.to_string(), settings.processor_share)
    }

    fn until_vacant(&self) -> Duration {
        (self.changed + self.takeover_delay()).saturating_duration_since(clock::now())
    }

    fn is_vacant(&self) -> bool {
        self.until_vacant().is_zero()
    }

    async fn take_over(&mut self) {
        let before = self.owner.clone();
        let epoch = before.as_ref().map_or(0, |(owner, _)| owner.epoch) + 1;
        let owner = OwnerRow {
            epoch,
            holder: self.shared.holder.clone(),
            address: self.shared.settings.internal_listen.to_string(),
            released: false,
        };
        let transaction = RowTransaction {
            expected: vec![(owner_row(), before.map_or(0, |(_, version)| version))],
            puts: vec![(owner_row(), encode(&owner))],
            removes: Vec::new(),
        };
        let sent = clock::now();
        match self.shared.store.commit(&transaction).await {
            Ok(version) => {
                self.shared.view().owner = Some(owner.clone());
                let answered = clock::now();
                let has_predecessor = owner.epoch > 1;
                self.own(OwnerProof { owner, version, sent, answered, has_predecessor }).await;
            }
            Err(RowError::Conflict { rows }) => rows.iter().for_each(|row| self.adopt(row)),
            // If it was written all the same, the next look at the row shows it.
            Err(error) => {
                self.on_failure(&error);
                self.shared.pace_watch(&Err::<(), RowError>(error)).await;
            }
        }
    }

    /// Plans until the ownership is lost or the process stops.
    async fn own(&mut self, proof: OwnerProof) {
        let epoch = proof.owner.epoch;
        log_event(Level::Info, "planning_started", &[("epoch", &epoch)]);
        let reason = PlannerLoop::run(self.shared.clone(), proof).await;
        *self.shared.owned() = None;
        log_event(Level::Info, "planning_ended", &[("epoch", &epoch), ("reason", &reason)]);
        self.after = None;
        self.owner = None;
        self.changed = clock::now();
    }
}
