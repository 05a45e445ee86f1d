//! What the parts of a planner process share.

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

use crate::external::row_store::RowStore;
use crate::process::clock::SteadyClock;
use crate::process::planning::rows::OwnerRow;
use crate::process::planning::rows::PulseRow;
use crate::process::planning::settings::PlannerSettings;
use crate::version::queue_table::QueueTable;
use crate::workflow::planner::Planner;

/// The planner while this process is the owner, and what proves it.
#[derive(Debug)]
pub struct OwnedPlanner {
    /// The planner.
    pub planner: Planner,
    /// When the last call was sent that the store answered under this ownership.
    pub proof: Instant,
}

/// What is known of the ownership.
#[derive(Clone, Debug, Default)]
pub struct OwnershipView {
    /// Who plans.
    pub owner: Option<OwnerRow>,
    /// The newest pulse.
    pub pulse: PulseRow,
}

/// State that lives as long as the process.
pub struct PlannerShared {
    /// Settings.
    pub settings: PlannerSettings,
    /// The store.
    pub store: Arc<dyn RowStore>,
    /// Names this run of the process.
    pub holder: String,
    /// The wall clock.
    pub clock: SteadyClock,
    /// The queues in force.
    pub queues: watch::Sender<Option<Arc<QueueTable>>>,
    /// Wakes the planner's loop.
    pub wake: Notify,
    is_stopping: AtomicBool,
    view: Mutex<OwnershipView>,
    owned: Mutex<Option<OwnedPlanner>>,
}

impl PlannerShared {
    /// State of a process that has just started.
    pub fn new(settings: PlannerSettings, store: Arc<dyn RowStore>) -> PlannerShared {
        PlannerShared {
            settings,
            store,
            holder: Uuid::new_v4().to_string(),
            clock: SteadyClock::start(),
            queues: watch::channel(None).0,
            wake: Notify::new(),
            is_stopping: AtomicBool::new(false),
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
