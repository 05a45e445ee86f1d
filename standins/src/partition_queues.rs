//! The store's partitions where it is slow: each carries its transactions out one after another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time for which transactions wait at most.
const LONGEST_QUEUE: Duration = Duration::from_secs(1);

/// The transactions of a partition.
#[derive(Default)]
struct PartitionQueue {
    /// Held by the transaction that is carried out.
    turn: tokio::sync::Mutex<()>,
    /// Transactions that wait for their turn or have it.
    waiting: AtomicU32,
}

/// The queues of all partitions, by name.
#[derive(Clone, Default)]
pub struct PartitionQueues {
    queues: Arc<Mutex<BTreeMap<String, Arc<PartitionQueue>>>>,
}

impl PartitionQueues {
    /// Carries a transaction out in its turn in all its partitions, also when nobody waits for it any more. Takes
    /// `time`, twice that over several partitions. Nothing is done when too many wait.
    pub async fn carry_out<T: Send + 'static>(
        &self,
        partitions: BTreeSet<String>,
        time: Duration,
        apply: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        let queues = self.of(partitions);
        let is_full = |queue: &Arc<PartitionQueue>| {
            time * queue.waiting.load(Ordering::Acquire) > LONGEST_QUEUE
        };
        if queues.iter().any(is_full) {
            return None;
        }
        for queue in &queues {
            queue.waiting.fetch_add(1, Ordering::AcqRel);
        }
        let carried_out = tokio::spawn(async move {
            let mut turns = Vec::new();
            for queue in &queues {
                turns.push(queue.turn.lock().await);
            }
            tokio::time::sleep(time * if queues.len() > 1 { 2 } else { 1 }).await;
            let applied = apply();
            for queue in &queues {
                queue.waiting.fetch_sub(1, Ordering::AcqRel);
            }
            drop(turns);
            applied
        });
        Some(carried_out.await.expect("a transaction does not panic"))
    }

    /// Queues in the order of their names, so that two transactions never wait for each other.
    fn of(&self, partitions: BTreeSet<String>) -> Vec<Arc<PartitionQueue>> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        partitions.into_iter().map(|name| queues.entry(name).or_default().clone()).collect()
    }
}
