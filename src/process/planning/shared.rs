//! State that the tasks of a planner process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::watch;
use uuid::Uuid;

use crate::connection::host_roster::HostRoster;
use crate::connection::host_roster::PeerHost;
use crate::connection::retry_pace::RetryPace;
use crate::external::advice_service::AdviceService;
use crate::external::observed_store::ObservedStore;
use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::clock::SteadyClock;
use crate::process::metrics::ProcessMetrics;
use crate::process::planning::feed_router::ConfirmedPage;
use crate::process::planning::feed_router::FeedCall;
use crate::process::planning::feed_router::FeedRouter;
use crate::process::planning::host_admission::PublishedForecast;
use crate::process::planning::rows::HeartbeatRow;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::settings::PlannerSettings;
use crate::version::queue_table::QueueTable;
use crate::workflow::planner::Planner;

/// The planner of a process that holds the ownership of planning.
#[derive(Debug)]
pub struct OwnedPlanner {
    /// The planner's state.
    pub planner: Planner,
    /// When the latest store call was sent whose response confirmed this ownership. Leases are
    /// granted for a limited time from this instant.
    pub confirmed_at: Instant,
}

/// The ownership of planning as this process last read it from the store.
#[derive(Clone, Debug, Default)]
pub struct OwnershipView {
    /// Row of the current owner; `None` before the first read.
    pub owner: Option<OwnerRow>,
    /// The owner's latest heartbeat.
    pub heartbeat: HeartbeatRow,
    /// Version of its row.
    pub heartbeat_version: RowVersion,
    /// The latest forecast; `None` if the owner does not control admission.
    pub forecast: Option<PublishedForecast>,
    /// When this process received that heartbeat for the first time.
    pub heartbeat_at: Option<Instant>,
}

impl OwnershipView {
    /// Whether the latest heartbeat is of `owner` and says that it has settled.
    ///
    /// ```
    /// use greengagearch::process::planning::rows::OwnerRow;
    /// use greengagearch::process::planning::shared::OwnershipView;
    ///
    /// let owner = OwnerRow {
    ///     epoch: 3,
    ///     holder: "h".to_string(),
    ///     address: "10.0.0.1:7000".to_string(),
    ///     released: false,
    ///     unsettled_takeovers: 0,
    /// };
    /// assert!(!OwnershipView::default().has_settled(&owner));
    /// ```
    pub fn has_settled(&self, owner: &OwnerRow) -> bool {
        self.heartbeat.epoch == owner.epoch && self.heartbeat.has_settled
    }
}

/// State that exists for the lifetime of the process.
pub struct PlannerShared {
    /// The process's settings.
    pub settings: PlannerSettings,
    /// The store, with a wrapper that records the result of each call.
    pub store: Arc<ObservedStore>,
    /// The advice service, if there is one.
    pub advice: Option<Arc<dyn AdviceService>>,
    /// Random identifier of this run of the process, written into the owner's row.
    pub holder: String,
    /// Metrics of the process.
    pub metrics: ProcessMetrics,
    /// Wall clock, read once at the start and advanced by the steady clock, so that it never jumps.
    pub clock: SteadyClock,
    /// The queue configuration in effect; `None` until the first one has been read.
    pub queues: watch::Sender<Option<Arc<QueueTable>>>,
    /// Wakes the planner's loop and the ownership elector.
    pub wake: Notify,
    is_stopping: AtomicBool,
    retry_pace: Mutex<RetryPace>,
    /// Watches of the store's tables, directly or through other processes.
    pub feeds: FeedRouter,
    roster: Mutex<HostRoster>,
    view: Mutex<OwnershipView>,
    owned: Mutex<Option<OwnedPlanner>>,
}

impl PlannerShared {
    /// Creates the state of a process that has just started.
    pub fn new(
        settings: PlannerSettings,
        store: Arc<dyn RowStore>,
        advice: Option<Arc<dyn AdviceService>>,
    ) -> PlannerShared {
        PlannerShared {
            settings,
            store: Arc::new(ObservedStore::open(store)),
            advice,
            holder: Uuid::new_v4().to_string(),
            metrics: ProcessMetrics::open(),
            clock: SteadyClock::start(),
            queues: watch::channel(None).0,
            wake: Notify::new(),
            is_stopping: AtomicBool::new(false),
            retry_pace: Mutex::new(RetryPace::default()),
            feeds: FeedRouter::default(),
            roster: Mutex::default(),
            view: Mutex::new(OwnershipView::default()),
            owned: Mutex::new(None),
        }
    }

    /// Locks the planner; `None` unless this process holds the ownership.
    pub fn owned(&self) -> MutexGuard<'_, Option<OwnedPlanner>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the ownership as last read from the store.
    pub fn view(&self) -> MutexGuard<'_, OwnershipView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store has recently answered a call of this process.
    pub fn is_store_reachable(&self) -> bool {
        self.store.health().is_reachable(clock::now())
    }

    /// Records the result of a watch call. After a failure, waits for the back-off that all watches
    /// of the process share. Dropped history is not a failure: the watch reads all rows again at
    /// once.
    pub async fn pace_retries<T>(&self, result: &Result<T, RowError>) {
        if !result.as_ref().is_err_and(|error| *error != RowError::HistoryGone) {
            self.retry_pace().on_response();
            return;
        }
        let pause = self.retry_pace().on_failure(clock::now(), rand::random());
        tokio::time::sleep(pause).await;
    }

    fn retry_pace(&self) -> MutexGuard<'_, RetryPace> {
        self.retry_pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for changes of a table, directly or through another process.
    ///
    /// # Errors
    ///
    /// As [`RowStore::feed`].
    pub async fn feed(&self, call: FeedCall<'_>) -> Result<ConfirmedPage, RowError> {
        self.feeds.feed(&self.store, self.sources(), call).await
    }

    /// Addresses of the processes that this one follows; empty if it watches the store itself.
    fn sources(&self) -> Vec<String> {
        let own = self.settings.internal_listen.to_string();
        let owner = self.owner_address();
        self.roster().sources(&own, &self.settings.domain, owner.as_deref())
    }

    /// Whether this process follows others instead of watching the store itself.
    pub fn is_follower(&self) -> bool {
        !self.sources().is_empty()
    }

    fn owner_address(&self) -> Option<String> {
        self.view().owner.as_ref().map(|owner| owner.address.clone())
    }

    /// Addresses of the other planner processes, the owner's first.
    pub fn peers(&self) -> Vec<String> {
        let own = self.settings.internal_listen.to_string();
        let owner = self.owner_address();
        let roster = self.roster();
        let others = roster.addresses().filter(|peer| Some(*peer) != owner.as_ref()).cloned();
        let all = owner.iter().cloned().chain(others);
        all.filter(|peer| *peer != own).collect()
    }

    /// Addresses of the other planner processes that watch the store, without the owner.
    pub fn watchers(&self) -> Vec<String> {
        let own = self.settings.internal_listen.to_string();
        let owner = self.owner_address();
        let roster = self.roster();
        let watchers = roster.watchers(owner.as_deref()).into_values().flatten();
        watchers.filter(|watcher| *watcher != own).map(str::to_string).collect()
    }

    /// Records a planner process.
    pub fn add_peer(&self, host: PeerHost) {
        self.roster().insert(host);
    }

    /// Removes the planner process at an address, whose row was removed.
    pub fn remove_peer(&self, address: &str) {
        self.roster().remove(address);
    }

    fn roster(&self) -> MutexGuard<'_, HostRoster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Marks the process as stopping and wakes the planner's loop or the ownership elector.
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.wake.notify_one();
    }
}
