//! Ownership of planning: one process at a time, recorded in a row of the store.
//!
//! Every write of the planner is conditional on the version of the owner's row, and every order
//! carries the owner's epoch. Two processes that both consider themselves the owner therefore do no
//! harm. The heartbeat is only used to decide when to take over.

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
use crate::process::planning::feed_router::ConfirmedPage;
use crate::process::planning::feed_router::FeedCall;
use crate::process::planning::host_admission::PublishedForecast;
use crate::process::planning::owner_probe::OwnerProbe;
use crate::process::planning::planner_loop::PlannerLoop;
use crate::process::planning::rows::HeartbeatRow;
use crate::process::planning::rows::OWNER_KEY;
use crate::process::planning::rows::OWNER_TABLE;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PULSE_KEY;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::encode;
use crate::process::planning::rows::owner_row;
use crate::process::planning::shared::PlannerShared;
use crate::process::planning::takeover_delay::takeover_delay;
use crate::process::planning::takeover_delay::turn_delay;
use crate::process::planning::takeover_delay::unsettled_takeovers;

/// Maximum time that one feed call waits for changes.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a feed call waits once a takeover is only waiting for the store to confirm that the
/// owner is still silent.
const UNCONFIRMED_FEED_WAIT: Duration = Duration::from_millis(50);

/// An ownership of planning that the store has confirmed.
#[derive(Clone, Debug)]
pub struct ConfirmedOwnership {
    /// The owner's row.
    pub owner: OwnerRow,
    /// Version of the row, on which the planner's writes are conditional.
    pub version: RowVersion,
    /// When the call that took the ownership was sent.
    pub sent_at: Instant,
    /// When that call was answered.
    pub answered_at: Instant,
    /// Whether there was an earlier owner, whose leases may still be valid.
    pub has_predecessor: bool,
}

/// Watches the owner's row and heartbeat, and takes over planning when the owner has released it or
/// is silent.
pub struct OwnershipElector {
    shared: Arc<PlannerShared>,
    owner: Option<(OwnerRow, RowVersion)>,
    /// When the owner's row or heartbeat last changed, or reading them last failed.
    changed_at: Instant,
    /// When the store has last confirmed that there are no later changes.
    confirmed_at: Instant,
    /// Version of the store up to which changes have been read.
    feed_version: Option<RowVersion>,
    has_failed: bool,
    /// Probe of the owner's process, if this process watches the store.
    probe: Option<OwnerProbe>,
    /// Holder of the ownership whose process has ended without a release.
    ended_owner: Option<String>,
}

impl OwnershipElector {
    /// Starts the elector's task, which ends when the process stops.
    pub fn spawn(shared: Arc<PlannerShared>) -> tokio::task::JoinHandle<()> {
        let elector = OwnershipElector {
            shared,
            owner: None,
            changed_at: clock::now(),
            confirmed_at: clock::now(),
            feed_version: None,
            has_failed: false,
            probe: None,
            ended_owner: None,
        };
        tokio::spawn(elector.run())
    }

    async fn run(mut self) {
        while !self.shared.is_stopping() {
            let shared = self.shared.clone();
            self.update_probe();
            let mut probe = self.probe.take();
            let watched = tokio::select! {
                watched = self.watch() => Some(watched),
                () = shared.wake.notified() => None,
                () = owner_ended(&mut probe) => {
                    self.on_owner_ended(probe.as_ref());
                    None
                }
            };
            self.probe = probe;
            let Some(watched) = watched else {
                continue;
            };
            if let Err(error) = &watched {
                self.on_failure(error);
            }
            self.shared.pace_retries(&watched).await;
            if watched.is_ok() && self.is_takeover_due() {
                self.take_over().await;
            }
        }
    }

    /// Reads the rows of the ownership the first time, and waits for changes of them later.
    async fn watch(&mut self) -> Result<(), RowError> {
        let (rows, version) = match self.feed_version {
            Some(after) => {
                let wait = Some(self.until_takeover()).filter(|left| !left.is_zero());
                let wait = FEED_TIMEOUT.min(wait.unwrap_or(UNCONFIRMED_FEED_WAIT));
                let max_wait = FEED_TIMEOUT;
                let call = FeedCall { table: OWNER_TABLE, after, wait, max_wait };
                let ConfirmedPage { page, confirmed_at } = self.shared.feed(call).await?;
                self.confirmed_at = confirmed_at;
                (page.rows, page.version)
            }
            None => {
                let sent_at = clock::now();
                let page = self.shared.store.range(OWNER_TABLE, PARTITION, "").await?;
                self.shared.feeds.on_read(OWNER_TABLE, &page.rows, page.version, sent_at);
                self.confirmed_at = sent_at;
                (page.rows, page.version)
            }
        };
        self.feed_version = Some(version);
        if std::mem::take(&mut self.has_failed) {
            log_event(Level::Info, "ownership_watch_regained", &[("version", &version)]);
        }
        for row in rows {
            self.apply_row(&row);
        }
        Ok(())
    }

    fn apply_row(&mut self, row: &StoredRow) {
        self.changed_at = clock::now();
        if row.name.key == PULSE_KEY {
            let mut view = self.shared.view();
            // A row that is read again has not become newer.
            if view.heartbeat_at.is_none() || view.heartbeat_version != row.version {
                let mut heartbeat: HeartbeatRow = decode(row).unwrap_or_default();
                view.forecast = PublishedForecast::received(view.forecast.take(), &mut heartbeat);
                view.heartbeat = heartbeat;
                view.heartbeat_version = row.version;
                view.heartbeat_at = Some(clock::now());
            }
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
        // No owner can write a heartbeat while the store is unavailable, so the takeover timeout
        // starts again.
        self.changed_at = clock::now();
        if *error == RowError::HistoryGone {
            self.feed_version = None;
        }
        if !std::mem::replace(&mut self.has_failed, true) {
            log_event(Level::Warn, "ownership_watch_lost", &[("error", error)]);
        }
    }

    /// Probes the present owner, unless it is known to have ended. A process that follows others
    /// leaves that to them, so that the owner has few such connections.
    fn update_probe(&mut self) {
        let owner = self.owner.as_ref().map(|(owner, _)| owner);
        let own_address = self.shared.settings.internal_listen.to_string();
        let probed = owner.filter(|owner| {
            !owner.released
                && owner.address != own_address
                && self.ended_owner.as_ref() != Some(&owner.holder)
                && !self.shared.is_follower()
        });
        let holder = probed.map(|owner| owner.holder.as_str());
        if self.probe.as_ref().map(OwnerProbe::holder) != holder {
            self.probe = probed.map(|owner| OwnerProbe::spawn(&owner.holder, &owner.address));
        }
    }

    /// Records that a holder of the ownership has ended. The time until a takeover begins anew, as
    /// after a release; the store has to confirm that there is no later owner.
    fn on_owner_ended(&mut self, probe: Option<&OwnerProbe>) {
        self.ended_owner = probe.map(|probe| probe.holder().to_string());
        self.changed_at = clock::now();
    }

    fn takeover_delay(&self) -> Duration {
        let settings = &self.shared.settings;
        let has_ended = |owner: &OwnerRow| self.ended_owner.as_ref() == Some(&owner.holder);
        let owner = self.owner.as_ref().map(|(owner, _)| OwnerRow {
            released: owner.released || has_ended(owner),
            ..owner.clone()
        });
        let address = settings.internal_listen.to_string();
        let turn = turn_delay(owner.as_ref(), &address, &self.shared.peers());
        takeover_delay(owner.as_ref(), &address, settings.processor_share) + turn
    }

    fn until_takeover(&self) -> Duration {
        (self.changed_at + self.takeover_delay()).saturating_duration_since(clock::now())
    }

    /// Whether the owner has been silent for long enough. A process that follows another one learns
    /// of a heartbeat later than the store; only time that the store has confirmed counts.
    fn is_takeover_due(&self) -> bool {
        let silence = self.confirmed_at.saturating_duration_since(self.changed_at);
        self.until_takeover().is_zero() && silence >= self.takeover_delay()
    }

    async fn take_over(&mut self) {
        let before = self.owner.clone();
        let predecessor = before.as_ref().map(|(owner, _)| owner);
        let epoch = predecessor.map_or(0, |owner| owner.epoch) + 1;
        let has_settled = predecessor.is_some_and(|owner| self.shared.view().has_settled(owner));
        let owner = OwnerRow {
            epoch,
            holder: self.shared.holder.clone(),
            address: self.shared.settings.internal_listen.to_string(),
            released: false,
            unsettled_takeovers: unsettled_takeovers(predecessor, has_settled),
        };
        let transaction = RowTransaction {
            expected: vec![(owner_row(), before.map_or(0, |(_, version)| version))],
            puts: vec![(owner_row(), encode(&owner))],
            removes: Vec::new(),
        };
        let sent_at = clock::now();
        match self.shared.store.commit(&transaction).await {
            Ok(version) => {
                self.shared.view().owner = Some(owner.clone());
                let answered_at = clock::now();
                let has_predecessor = owner.epoch > 1;
                self.plan_as_owner(ConfirmedOwnership {
                    owner,
                    version,
                    sent_at,
                    answered_at,
                    has_predecessor,
                })
                .await;
            }
            Err(RowError::Conflict { rows }) => rows.iter().for_each(|row| self.apply_row(row)),
            // If the row was written nevertheless, the next read shows it.
            Err(error) => {
                self.on_failure(&error);
                self.shared.pace_retries(&Err::<(), RowError>(error)).await;
            }
        }
    }

    /// Plans until the ownership is lost or the process stops.
    async fn plan_as_owner(&mut self, ownership: ConfirmedOwnership) {
        let epoch = ownership.owner.epoch;
        let unsettled = ownership.owner.unsettled_takeovers;
        log_event(Level::Info, "planning_started", &[("epoch", &epoch), ("unsettled", &unsettled)]);
        let reason = PlannerLoop::run(self.shared.clone(), ownership).await;
        *self.shared.owned() = None;
        self.shared.metrics.admission.clear_backlog();
        // Another process publishes the shares from now on.
        self.shared.metrics.queue_share.reset();
        self.shared.metrics.queue_entitlement.reset();
        self.shared.metrics.set_worker_speeds(&[], 0);
        self.shared.metrics.evacuations.clear();
        log_event(Level::Info, "planning_ended", &[("epoch", &epoch), ("reason", &reason)]);
        self.feed_version = None;
        self.owner = None;
        self.changed_at = clock::now();
    }
}

/// Waits until the process has ended that a probe watches. Never returns without a probe.
async fn owner_ended(probe: &mut Option<OwnerProbe>) {
    match probe {
        Some(probe) => probe.ended().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::external::row_store::RowName;
    use crate::platform::store_client::StoreClient;
    use crate::process::planning::rows::HeartbeatRow;
    use crate::process::planning::rows::encode;
    use crate::process::planning::settings::PlannerSettings;

    const SETTINGS: &str = "[planner]\nid = p\ndomain = d\ncaller-listen = 127.0.0.1:0\n\
        ready-listen = 127.0.0.1:0\ninternal-listen = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n";

    /// Guards against an old heartbeat that is taken for new because its row was read again.
    #[test]
    fn a_heartbeat_that_is_read_again_does_not_become_newer() {
        let settings = PlannerSettings::parse("planner.ini", SETTINGS).unwrap();
        let store = StoreClient::open(&settings.store);
        let shared = Arc::new(PlannerShared::new(settings, Arc::new(store), None));
        let mut elector = OwnershipElector {
            shared: shared.clone(),
            owner: None,
            changed_at: clock::now(),
            confirmed_at: clock::now(),
            feed_version: None,
            has_failed: false,
            probe: None,
            ended_owner: None,
        };
        let name = RowName::new(OWNER_TABLE, PARTITION, PULSE_KEY);
        let heartbeat = HeartbeatRow { epoch: 4, ..HeartbeatRow::default() };
        let mut row = StoredRow { name, value: Some(encode(&heartbeat)), version: 7 };
        elector.apply_row(&row);
        let first_at = shared.view().heartbeat_at;
        std::thread::sleep(Duration::from_millis(2));
        elector.apply_row(&row);
        assert_eq!(shared.view().heartbeat.epoch, 4);
        assert_eq!(shared.view().heartbeat_at, first_at);
        row.version = 8;
        elector.apply_row(&row);
        assert!(shared.view().heartbeat_at > first_at);
    }
}
