//! What an entry last heard of the processes that send it heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::worker_row::WorkerRow;
use crate::ids::GenerationNumber;
use crate::ids::LeaseEpoch;
use crate::ids::ServiceName;
use crate::process::clock;
use crate::process::interference::KindName;
use crate::request::pool_endpoint::AgentLocation;

/// What an entry last heard of an agent.
#[derive(Clone, Debug)]
pub struct AgentNews {
    /// Worker, incarnation and domain.
    pub place: AgentLocation,
    /// Number of the heartbeat.
    pub number: u64,
    /// Address of its internal listener.
    pub address: String,
    /// Epoch of its worker's lease.
    pub epoch: LeaseEpoch,
    /// Generation in force there.
    pub generation: GenerationNumber,
    /// Whether it may take non-idempotent requests.
    pub registered: bool,
    /// Kinds of the tasks that ran on its worker at its newest sample, with the number of each.
    pub kinds: BTreeMap<KindName, u32>,
    /// Services of its endpoints.
    pub services: Vec<ServiceName>,
    /// When it was heard of.
    pub heard: Instant,
}

impl AgentNews {
    /// Whether this is the run that holds the worker's lease, and it was heard of within `limit`.
    pub fn is_live_holder(&self, row: &WorkerRow, limit: Duration) -> bool {
        self.place.incarnation == row.holder && clock::elapsed(self.heard) <= limit
    }

    /// Whether these news are newer than the known ones of the same worker: from a later heartbeat of
    /// the same run, or from another run that does not hold an older lease than the known one.
    pub fn replaces(&self, known: &AgentNews) -> bool {
        if self.place.incarnation == known.place.incarnation {
            return self.number > known.number;
        }
        // A run that lost its worker's lease may still be sending.
        !known.registered || self.epoch >= known.epoch
    }
}

/// What an entry last heard of another entry.
#[derive(Clone, Debug)]
pub struct PeerNews {
    /// Its name.
    pub id: String,
    /// Generation in force there.
    pub generation: GenerationNumber,
    /// When it was heard of.
    pub heard: Instant,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::IncarnationId;

    fn news(incarnation: IncarnationId, number: u64, epoch: LeaseEpoch) -> AgentNews {
        AgentNews {
            place: AgentLocation { worker: "w".to_string(), incarnation, domain: String::new() },
            number,
            address: String::new(),
            epoch,
            generation: 0,
            registered: true,
            kinds: BTreeMap::new(),
            services: Vec::new(),
            heard: Instant::now(),
        }
    }

    #[test]
    fn a_heartbeat_that_was_overtaken_says_nothing_new() {
        assert!(news(1, 3, 1).replaces(&news(1, 2, 1)));
        assert!(!news(1, 2, 1).replaces(&news(1, 3, 1)));
        assert!(!news(1, 3, 1).replaces(&news(1, 3, 1)));
    }

    #[test]
    fn a_new_run_replaces_the_old_one_and_not_the_other_way_round() {
        assert!(news(2, 1, 2).replaces(&news(1, 9, 1)));
        assert!(!news(1, 10, 1).replaces(&news(2, 1, 2)));
    }
}
