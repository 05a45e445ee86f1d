//! Reads the operators' requests to evacuate failure domains while this process owns planning.
//!
//! A missed request would let runs start in the domain. The requests are therefore read in short
//! intervals, independently of the feed of the configuration, whose rows may take long over a thin
//! link, and nothing starts while the last read is too old. The limit that operators are promised
//! is split between the age of the last read and the time for which a start order remains valid on
//! its way to the runner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::external::row_store::RowError;
use crate::external::row_store::RowStore;
use crate::platform::configuration::OPERATOR_TABLE;
use crate::platform::evacuations::EVACUATION_PREFIX;
use crate::platform::evacuations::decode;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::shared::PlannerShared;
use crate::version::evacuation::EvacuationSet;

/// Parts of the limit: the pause between two reads, the greatest age of the last read with which
/// runs start, and the validity of a start order.
const READ_PAUSE_SHARE: f64 = 0.1;
const MAX_AGE_SHARE: f64 = 0.4;
const ORDER_VALIDITY_SHARE: f64 = 0.5;

/// Time for which a start order remains valid, if no run starts in an evacuated domain later than
/// `limit` after the request.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::planning::evacuation_watch::order_validity;
///
/// assert_eq!(order_validity(Duration::from_secs(5)), Duration::from_millis(2_500));
/// ```
pub fn order_validity(limit: Duration) -> Duration {
    limit.mul_f64(ORDER_VALIDITY_SHARE)
}

/// The requests as last read.
#[derive(Clone, Debug)]
pub struct EvacuationRead {
    /// The evacuations in force.
    pub evacuations: EvacuationSet,
    /// Until when runs may start on the strength of this read.
    pub valid_until: Instant,
}

/// Handle of the watch, whose task is aborted when the handle is dropped.
#[derive(Debug)]
pub struct EvacuationWatch {
    reads: watch::Receiver<Option<EvacuationRead>>,
    task: JoinHandle<()>,
}

impl Drop for EvacuationWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EvacuationWatch {
    /// Starts to read the requests.
    pub fn spawn(shared: Arc<PlannerShared>) -> EvacuationWatch {
        let (sender, reads) = watch::channel(None);
        EvacuationWatch { reads, task: tokio::spawn(read_repeatedly(shared, sender)) }
    }

    /// Waits for the next read.
    pub async fn next(&mut self) -> EvacuationRead {
        loop {
            if self.reads.changed().await.is_err() {
                return std::future::pending().await;
            }
            if let Some(read) = self.reads.borrow_and_update().clone() {
                return read;
            }
        }
    }
}

async fn read_repeatedly(
    shared: Arc<PlannerShared>,
    sender: watch::Sender<Option<EvacuationRead>>,
) {
    let limit = shared.settings.evacuation_limit;
    let mut has_failed = false;
    loop {
        let sent_at = clock::now();
        match read_requests(shared.store.as_ref()).await {
            Ok(evacuations) => {
                if std::mem::take(&mut has_failed) {
                    log_event(Level::Info, "evacuation_watch_regained", &[]);
                }
                let valid_until = sent_at + limit.mul_f64(MAX_AGE_SHARE);
                sender.send_replace(Some(EvacuationRead { evacuations, valid_until }));
            }
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    log_event(Level::Warn, "evacuation_watch_lost", &[("error", &error)]);
                }
            }
        }
        tokio::time::sleep(limit.mul_f64(READ_PAUSE_SHARE)).await;
    }
}

async fn read_requests(store: &dyn RowStore) -> Result<EvacuationSet, RowError> {
    let page = store.range(OPERATOR_TABLE, "", EVACUATION_PREFIX).await?;
    Ok(decode(&page.rows))
}
