//! Runners that refuse calls for a while, orders that wait for a free slot, and tasks that outlive such times.

use std::ops::Range;

use super::*;

/// Longest wait of an order for one of the agent's slots, which calls without an answer hold.
const LONGEST_SLOT_WAIT: u64 = 3_000;
/// Time of long tasks, which a stop that got lost would let go on.
const LONG_TASK: Range<u64> = 13_000..20_000;
/// Time after the cancelling of a job in which its runs are stopped, whatever gets lost.
const STOP_LIMIT: u64 = 12_000;

/// What an unwell runner refuses.
#[derive(Clone, Copy, Debug)]
enum RefusedCalls {
    All,
    Share(f64),
    Orders,
    /// Starts beyond so many runs.
    StartsBeyond(usize),
}

/// How a runner is: it refuses these calls until then.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunnerHealth {
    refused: RefusedCalls,
    until: u64,
}

impl RunnerHealth {
    pub(super) fn well() -> RunnerHealth {
        RunnerHealth { refused: RefusedCalls::All, until: 0 }
    }
}

impl PlanningWorld {
    /// The same world with runners that refuse calls for a while, and orders that wait before they leave.
    pub fn with_refusals(mut self) -> PlanningWorld {
        self.has_refusals = true;
        self.at(400, Event::Unwell);
        self
    }

    /// A runner becomes unwell.
    pub(super) fn on_unwell(&mut self) {
        if self.is_calm() {
            return;
        }
        let agent = self.rng.random_range(0..AGENTS);
        let refused = match self.rng.random_range(0..5) {
            0 | 1 => RefusedCalls::All,
            2 => RefusedCalls::Share(self.rng.random_range(0.2..0.9)),
            3 => RefusedCalls::Orders,
            _ => RefusedCalls::StartsBeyond(self.rng.random_range(0..4)),
        };
        let until = self.now + self.rng.random_range(200..4_000);
        self.agents[agent].health = RunnerHealth { refused, until };
        if let Some(job) = self.records.keys().next_back().cloned()
            && self.chance(0.2)
        {
            self.on_cancel(&job);
        }
        let next = self.rng.random_range(500..4_000);
        self.at(next, Event::Unwell);
    }

    /// What a runner refuses now.
    fn refused_calls(&self, agent: usize) -> Option<RefusedCalls> {
        let health = self.agents[agent].health;
        (self.now < health.until).then_some(health.refused)
    }

    /// Whether a runner refuses a call, for which it has then done nothing.
    pub(super) fn is_turned_away(&mut self, agent: usize, order: &Order) -> bool {
        match self.refused_calls(agent) {
            Some(RefusedCalls::All) => true,
            Some(RefusedCalls::Share(share)) => self.rng.random_bool(share),
            Some(RefusedCalls::Orders) => !matches!(order, Order::Hold { .. }),
            Some(RefusedCalls::StartsBeyond(_)) | None => false,
        }
    }

    /// How many runs a runner has room for.
    pub(super) fn places(&self, agent: usize) -> usize {
        match self.refused_calls(agent) {
            Some(RefusedCalls::StartsBeyond(places)) => places,
            _ => usize::MAX,
        }
    }

    /// How long an order waits for a slot.
    pub(super) fn slot_wait(&mut self) -> u64 {
        match self.has_refusals && self.chance(0.08) {
            true => self.rng.random_range(20..LONGEST_SLOT_WAIT),
            false => 0,
        }
    }

    /// By how much a task takes longer.
    pub(super) fn longer_work(&mut self) -> u64 {
        match self.has_refusals && self.chance(0.2) {
            true => self.rng.random_range(LONG_TASK),
            false => 0,
        }
    }

    /// Runs that came to their own end long after their job was cancelled.
    pub(super) fn check_cancelled(&self) -> Vec<String> {
        let mut found = Vec::new();
        for record in self.audit.records.iter().filter(|_| self.has_refusals) {
            let Some(cancelled) = self.cancelled.get(&record.key.0.job) else {
                continue;
            };
            let Some((at, RunEnd::Done | RunEnd::Failed)) = record.ended else {
                continue;
            };
            if at > cancelled + STOP_LIMIT + self.outage_between(*cancelled, at) {
                let late = at - cancelled;
                found.push(format!("{} went on for {late} ms after its cancelling", record.key.0));
            }
        }
        found
    }
}
