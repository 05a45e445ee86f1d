//! What the parts of a planner process share.

use std::collections::BTreeSet;
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

use crate::connection::retry_pace::RetryPace;
use crate::external::advice_service::AdviceService;
use crate::external::observed_store::ObservedStore;
use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::process::clock;
use crate::process::clock::SteadyClock;
use crate::process::metrics::ProcessMetrics;
use crate::process::planning::rows::HeartbeatRow;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::settings::PlannerSettings;
use crate::version::queue_table::QueueTable;
use crate::workflow::planner::Planner;

/// The planner while this process is the owner, and what proves it.
#[derive(Debug)]
pub struct OwnedPlanner {
    /// The planner.
    pub planner: Planner,
    /// When the last call was sent that the store answered under this ownership.
    pub confirmed_at: Instant,
}

/// What is known of the ownership.
#[derive(Clone, Debug, Default)]
pub struct OwnershipView {
    /// Who plans.
    pub owner: Option<OwnerRow>,
    /// The newest pulse.
    pub heartbeat: HeartbeatRow,
}

/// State that lives as long as the process.
pub struct PlannerShared {
    /// Settings.
    pub settings: PlannerSettings,
    /// The store.
    pub store: Arc<ObservedStore>,
    /// The advice service, if there is one.
    pub advice: Option<Arc<dyn AdviceService>>,
    /// Names this run of the process.
    pub holder: String,
    /// Counters and histograms.
    pub metrics: ProcessMetrics,
    /// The wall clock.
    pub clock: SteadyClock,
    /// The queues in force.
    pub queues: watch::Sender<Option<Arc<QueueTable>>>,
    /// Wakes the planner's loop.
    pub wake: Notify,
    is_stopping: AtomicBool,
    retry_pace: Mutex<RetryPace>,
    peers: Mutex<BTreeSet<String>>,
    view: Mutex<OwnershipView>,
    owned: Mutex<Option<OwnedPlanner>>,
}

impl PlannerShared {
    /// State of a process that has just started.
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
            peers: Mutex::new(BTreeSet::new()),
            view: Mutex::new(OwnershipView::default()),
            owned: Mutex::new(None),
        }
    }

    /// The planner, if this process owns it.
    pub fn owned(&self) -> MutexGuard<'_, Option<OwnedPlanner>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of the ownership.
    pub fn view(&self) -> MutexGuard<'_, OwnershipView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store has answered this process of late.
    pub fn is_store_reachable(&self) -> bool {
        self.store.health().is_near(clock::now())
    }

    /// Takes in how a call of a watch ended, and waits after a failure until it may be made again.
    pub async fn pace_retries<T>(&self, result: &Result<T, RowError>) {
        if !result.as_ref().is_err_and(|error| *error != RowError::HistoryGone) {
            self.retry_pace().on_answer();
            return;
        }
        let pause = self.retry_pace().on_failure(clock::now(), rand::random());
        tokio::time::sleep(pause).await;
    }

    fn retry_pace(&self) -> MutexGuard<'_, RetryPace> {
        self.retry_pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Addresses of other planner processes; that of the planner first.
    pub fn peers(&self) -> Vec<String> {
        let own = self.settings.internal_listen.to_string();
        let owner = self.view().owner.as_ref().map(|owner| owner.address.clone());
        let known = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let others = known.iter().filter(|peer| Some(*peer) != owner.as_ref()).cloned();
        let all = owner.iter().cloned().chain(others);
        all.filter(|peer| *peer != own).collect()
    }

    /// Adds another planner process.
    pub fn add_peer(&self, address: String) {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner).insert(address);
    }

    /// Removes a planner process that is gone.
    pub fn remove_peer(&self, address: &str) {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    /// Whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Takes note that the process is about to stop.
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.wake.notify_one();
    }
}
