//! Renews the leases of running tasks, apart from everything that waits for the table service.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::external::worker::AttemptKey;
use crate::external::worker::AttemptState;
use crate::external::worker::WorkerControl;
use crate::external::worker::WorkerStatus;
use crate::process::agent::shared::AgentShared;
use crate::process::clock;

/// Longest time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Part of a lease's remaining time that is given up for the drift of the worker's clock.
const DRIFT_PART: u32 = 100;

/// Renews until the process ends.
pub fn spawn_renewals(shared: Arc<AgentShared>) {
    let Some(worker) = shared.worker.clone() else {
        return;
    };
    tokio::spawn(async move {
        loop {
            renew(&shared, &worker).await;
            tokio::time::sleep(RENEWAL_INTERVAL.min(shared.beat_interval() / 2)).await;
        }
    });
}

async fn renew(shared: &AgentShared, worker: &Arc<dyn WorkerControl>) {
    if shared.acts_until(clock::now()).is_none() {
        return;
    }
    let Ok(status) = worker.status().await else {
        return;
    };
    let answered = clock::now();
    let Some(until) = shared.acts_until(answered) else {
        return;
    };
    let keys = wanted_keys(shared, &status);
    if !keys.is_empty() {
        // A renewal that is lost is made up for by the next one.
        let _ = worker.renew(keys, lease_end(&status, until, answered)).await;
    }
}

/// Running attempts that the worker's row, as it was last read, names.
fn wanted_keys(shared: &AgentShared, status: &WorkerStatus) -> Vec<AttemptKey> {
    let row = shared.row();
    let Some(row) = row.as_ref() else {
        return Vec::new();
    };
    let running = status.attempts.iter().filter(|one| one.state == AttemptState::Running);
    running.filter(|one| row.has_attempt(&one.key)).map(|one| one.key.clone()).collect()
}

/// The end, on the worker's clock, of a lease that ends at `until` here. The worker read its clock
/// before `answered`, so that the end is early rather than late.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use greengagearch::external::worker::WorkerStatus;
/// use greengagearch::process::agent::renewal::lease_end;
///
/// let status =
///     WorkerStatus { now_millis: 5_000, capacity: Default::default(), attempts: Vec::new() };
/// let answered = Instant::now();
/// assert_eq!(lease_end(&status, answered + Duration::from_secs(1), answered), 5_990);
/// ```
pub fn lease_end(status: &WorkerStatus, until: Instant, answered: Instant) -> u64 {
    let left = until.saturating_duration_since(answered);
    let left = left - left / DRIFT_PART;
    status.now_millis + u64::try_from(left.as_millis()).unwrap_or(0)
}
