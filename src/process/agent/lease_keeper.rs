//! Gets the worker's lease, keeps it fresh and gives it back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;

use crate::connection::lease::FIRST_EPOCH;
use crate::connection::lease::LeaseHolder;
use crate::connection::protocol::ClaimReply;
use crate::connection::protocol::WorkerClaim;
use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::journal_key;
use crate::connection::worker_row::worker_key;
use crate::external::table::TableTransaction;
use crate::external::worker::ResourceAmount;
use crate::external::write_budget::WritePriority;
use crate::ids::LeaseEpoch;
use crate::ids::RowVersion;
use crate::process::agent::shared::AgentShared;
use crate::process::agent::shared::WorkerLease;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::request::request_journal::JournalHandover;

/// Longest wait for an entry's answer to a claim.
const CLAIM_CALL: Duration = Duration::from_secs(3);
/// Pause between two claims.
const CLAIM_PAUSE: Duration = Duration::from_millis(500);
/// Tries to give the lease back when stopping; without it the next run waits for it to lapse.
const RELEASE_TRIES: usize = 3;

/// What a read of the worker's row showed.
#[derive(Debug)]
pub enum RowReading {
    /// Nothing; the table service did not answer.
    Unread,
    /// The lease is another's or nobody's.
    Lost,
    /// The lease is this run's, and this is the row.
    Ours(RowVersion, WorkerRow),
}

/// Gets the worker's lease, keeps it fresh and gives it back.
pub struct LeaseKeeper {
    shared: Arc<AgentShared>,
    claimed: Option<Instant>,
}

impl LeaseKeeper {
    /// A keeper for the agent of `shared`, without a lease.
    pub fn new(shared: Arc<AgentShared>) -> LeaseKeeper {
        LeaseKeeper { shared, claimed: None }
    }

    /// Asks the entries for the worker's lease; gives whether it was got.
    pub async fn claim(&mut self) -> bool {
        if self.claimed.is_some_and(|claimed| clock::elapsed(claimed) < CLAIM_PAUSE) {
            return false;
        }
        self.claimed = Some(clock::now());
        let Some(capacity) = self.capacity().await else {
            return false;
        };
        let settings = &self.shared.settings;
        let claim = WorkerClaim {
            worker: settings.worker.clone(),
            incarnation: self.shared.incarnation,
            domain: settings.domain.clone(),
            rack: settings.rack.clone(),
            address: self.shared.address.clone(),
            capacity,
        };
        for member in self.shared.map().members {
            let Ok(client) = self.shared.entry_connections.client(&member.address).await else {
                continue;
            };
            let sent = clock::now();
            let reply = client.claim_worker(call_within(CLAIM_CALL), claim.clone()).await;
            if let Ok(ClaimReply::Claimed { epoch, wait }) = reply {
                self.take_lease(epoch, wait, sent).await;
                return true;
            }
        }
        false
    }

    /// What the host has; nothing while the worker does not answer.
    async fn capacity(&self) -> Option<ResourceAmount> {
        match &self.shared.worker {
            Some(worker) => worker.status().await.ok().map(|status| status.capacity),
            None => Some(ResourceAmount::default()),
        }
    }

    async fn take_lease(&mut self, epoch: LeaseEpoch, wait: Duration, sent: Instant) {
        if wait.is_zero() {
            self.take_over_journal(epoch).await;
        }
        let now = clock::now();
        let acts_from = now + wait;
        let timing = self.shared.map().timing.worker_lease();
        let mut holder = LeaseHolder::new(timing, epoch);
        // The answer may be old; what it says held at some time after the claim was sent.
        holder.on_read(epoch, sent);
        if epoch == FIRST_EPOCH {
            self.shared.journal().set_complete();
        } else if !wait.is_zero() {
            // Until then an earlier run may still take orders that this one will never know of.
            self.shared.journal().set_complete_from(self.shared.clock.wall() + wait);
        }
        self.shared.set_journal_ready();
        *self.shared.lease() = Some(WorkerLease { holder, acts_from });
        self.shared.beat_now.notify_one();
        let pairs: [(&str, &dyn std::fmt::Display); 3] = [
            ("worker", &self.shared.settings.worker),
            ("epoch", &epoch),
            ("wait_millis", &wait.as_millis()),
        ];
        log_event(Level::Info, "lease_taken", &pairs);
    }

    /// Reads what the run before has left when it stopped; only the run just before counts.
    async fn take_over_journal(&self, epoch: LeaseEpoch) {
        let key = journal_key(&self.shared.settings.worker);
        let Ok(Some(row)) = self.shared.table.get(&key).await else {
            return;
        };
        match row.decode::<JournalHandover>() {
            Ok(handover) if handover.epoch + 1 == epoch => {
                self.shared.journal().import_handover(handover);
            }
            Ok(_) => {}
            Err(error) => log_event(Level::Warn, "row_malformed", &[("error", &error)]),
        }
    }

    /// Ends this run's part in the worker's lease and leaves the journal to the next run. The lease is given back where the worker
    /// `is_free` of starts that may still be carried out; else the next run waits until it has expired.
    pub async fn release(&mut self, is_free: bool) {
        let Some(lease) = self.shared.lease().take() else {
            return;
        };
        // From here on this run takes no orders and renews nothing.
        let epoch = lease.holder.epoch();
        for _ in 0..RELEASE_TRIES {
            if self.try_release(epoch, is_free).await {
                return;
            }
        }
    }

    /// Says whether nothing is left to try.
    async fn try_release(&self, epoch: LeaseEpoch, is_free: bool) -> bool {
        let worker_key = worker_key(&self.shared.settings.worker);
        let Ok(Some(row)) = self.shared.table.get(&worker_key).await else {
            return false;
        };
        let Ok(mut worker) = row.decode::<WorkerRow>() else {
            return true;
        };
        if worker.epoch != epoch || worker.released {
            return true;
        }
        if is_free {
            worker.holder = 0;
            worker.released = true;
        }
        let handover = self.shared.journal().export_handover(epoch);
        let journal_key = journal_key(&self.shared.settings.worker);
        let Ok(known) = self.shared.table.get(&journal_key).await else {
            return false;
        };
        let mut transaction = TableTransaction::of(WritePriority::Lease);
        transaction.put(&worker_key, row.version, &worker);
        transaction.put(&journal_key, known.map_or(0, |row| row.version), &handover);
        let is_written = self.shared.table.commit(transaction).await.is_ok();
        if is_written {
            log_event(Level::Info, "lease_released", &[("epoch", &epoch)]);
        }
        is_written
    }

    /// Reads the worker's row, which keeps the lease fresh or shows that it is lost.
    pub async fn read_row(&mut self) -> RowReading {
        let map = self.shared.map();
        let sent = clock::now();
        let key = worker_key(&self.shared.settings.worker);
        let Ok(Some(row)) = self.shared.table.get(&key).await else {
            return RowReading::Unread;
        };
        let Ok(worker) = row.decode::<WorkerRow>() else {
            return RowReading::Unread;
        };
        let mut lease = self.shared.lease();
        if let Some(known) = lease.as_mut() {
            // A row of an earlier epoch is an older state, read before the claim took effect.
            if worker.epoch >= known.holder.epoch() {
                known.holder.on_read(worker.epoch, sent);
                // The map that was known when the read was sent, and no newer one.
                known.holder.rely_on(&map);
            }
            if worker.holder != self.shared.incarnation && worker.epoch > known.holder.epoch() {
                let pairs: [(&str, &dyn std::fmt::Display); 2] =
                    [("worker", &worker.worker), ("epoch", &worker.epoch)];
                log_event(Level::Warn, "lease_lost", &pairs);
                // Another run holds it: this one must not fight for it. A free one is claimed.
                if worker.holder == 0 {
                    *lease = None;
                }
                return RowReading::Lost;
            }
        }
        drop(lease);
        *self.shared.row() = Some(worker.clone());
        RowReading::Ours(row.version, worker)
    }
}
