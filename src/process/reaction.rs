//! What to do when a service on a worker misses its objective: throttle, then evict.
//!
//! Reports lag, so that the reaction must not chase its own tail: a step is taken only after the
//! objective was missed for several looks, the next one only after the last had time to show, and
//! throttling is lifted only after the service was well for longer. Evictions come out of a budget.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::external::worker::AttemptKey;
use crate::process::interference::KindName;

/// Looks in a row that must miss the objective before the first step.
const LOOKS_TO_ACT: u32 = 3;
/// Looks in a row that must meet the objective before a step is taken back.
const LOOKS_TO_EASE: u32 = 10;
/// Time that a step gets to show.
const SETTLING: Duration = Duration::from_secs(2);
/// Share of the objective above which a service is not yet well.
const EASE_SHARE: f64 = 0.8;
/// Share of its processors that a throttled task keeps, in percent.
const THROTTLED_PERCENT: u32 = 40;
/// Time in which one eviction is earned.
const EVICTION_SPAN: Duration = Duration::from_secs(10);
/// Evictions that may be saved up.
const LARGEST_BUDGET: f64 = 2.0;

/// A running task as the reaction sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReactionTask {
    /// The attempt.
    pub key: AttemptKey,
    /// Kind of the task.
    pub kind: KindName,
    /// Time for which the attempt has run: what an eviction puts at risk.
    pub ran_for: Duration,
    /// Whether it is urgent.
    pub urgent: bool,
}

/// A step that was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReactionStep {
    /// Let this task have only a share of its processors, in percent.
    Throttle(AttemptKey, u32),
    /// Let this task have all its processors again.
    Ease(AttemptKey),
    /// Checkpoint this task and stop it.
    Evict(AttemptKey),
}

/// Reaction of one worker.
#[derive(Clone, Debug)]
pub struct WorkerReaction {
    missed: u32,
    met: u32,
    throttled: Vec<AttemptKey>,
    quiet_until: Option<Instant>,
    budget: f64,
    budget_at: Option<Instant>,
}

impl Default for WorkerReaction {
    fn default() -> WorkerReaction {
        WorkerReaction {
            missed: 0,
            met: 0,
            throttled: Vec::new(),
            quiet_until: None,
            budget: LARGEST_BUDGET,
            budget_at: None,
        }
    }
}

impl WorkerReaction {
    /// Takes in one look at the worker: `pressure` is the worst service's time over its objective,
    /// `slowdowns` the learned slowdown of that service by each kind. Gives the next step, if any.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::reaction::WorkerReaction;
    ///
    /// let step = WorkerReaction::default().look(0.5, &[], &BTreeMap::new(), Instant::now());
    /// assert_eq!(step, None);
    /// ```
    pub fn look(
        &mut self,
        pressure: f64,
        tasks: &[ReactionTask],
        slowdowns: &BTreeMap<KindName, f64>,
        now: Instant,
    ) -> Option<ReactionStep> {
        self.earn_budget(now);
        self.throttled.retain(|key| tasks.iter().any(|task| task.key == *key));
        self.count(pressure);
        if self.quiet_until.is_some_and(|until| now < until) {
            return None;
        }
        let step = if self.missed >= LOOKS_TO_ACT {
            self.worsen(tasks, slowdowns)
        } else if self.met >= LOOKS_TO_EASE {
            self.throttled.pop().map(ReactionStep::Ease)
        } else {
            None
        };
        if step.is_some() {
            self.missed = 0;
            self.met = 0;
            self.quiet_until = Some(now + SETTLING);
        }
        step
    }

    /// Takes note that a worker did not do what a step asked: it refused, or its answer was lost, so that it may have been done. A task
    /// that may be throttled is kept, so that it is eased in the end.
    ///
    /// ```
    /// use greengagearch::external::worker::AttemptKey;
    /// use greengagearch::process::reaction::ReactionStep;
    /// use greengagearch::process::reaction::WorkerReaction;
    ///
    /// let key = AttemptKey { job: "night".into(), task: 0, attempt: 1 };
    /// WorkerReaction::default().on_failed(&ReactionStep::Ease(key), true);
    /// ```
    pub fn on_failed(&mut self, step: &ReactionStep, is_refused: bool) {
        match step {
            ReactionStep::Throttle(key, _) if is_refused => {
                self.throttled.retain(|throttled| throttled != key);
            }
            ReactionStep::Throttle(..) => {}
            // Tasks are evicted only when all are throttled.
            ReactionStep::Ease(key) | ReactionStep::Evict(key) => self.throttled.push(key.clone()),
        }
    }

    fn count(&mut self, pressure: f64) {
        if pressure > 1.0 {
            self.missed += 1;
            self.met = 0;
        } else if pressure < EASE_SHARE {
            self.met += 1;
            self.missed = 0;
        } else {
            self.met = 0;
            self.missed = 0;
        }
    }

    fn earn_budget(&mut self, now: Instant) {
        let last = self.budget_at.replace(now).unwrap_or(now);
        let earned =
            now.saturating_duration_since(last).as_secs_f64() / EVICTION_SPAN.as_secs_f64();
        self.budget = (self.budget + earned).min(LARGEST_BUDGET);
    }

    /// Throttles the task that slows the service most; when all are throttled, evicts the one whose
    /// removal brings most for the least work put at risk.
    fn worsen(
        &mut self,
        tasks: &[ReactionTask],
        slowdowns: &BTreeMap<KindName, f64>,
    ) -> Option<ReactionStep> {
        let slowdown = |task: &ReactionTask| slowdowns.get(&task.kind).copied().unwrap_or(0.0);
        let free = tasks.iter().filter(|task| !self.throttled.contains(&task.key));
        if let Some(task) = free.max_by(|a, b| slowdown(a).total_cmp(&slowdown(b))) {
            self.throttled.push(task.key.clone());
            return Some(ReactionStep::Throttle(task.key.clone(), THROTTLED_PERCENT));
        }
        if self.budget < 1.0 {
            return None;
        }
        let worth = |task: &ReactionTask| {
            let urgency = if task.urgent { 4.0 } else { 1.0 };
            slowdown(task) / (urgency * (1.0 + task.ran_for.as_secs_f64()))
        };
        let task = tasks.iter().max_by(|a, b| worth(a).total_cmp(&worth(b)))?;
        self.budget -= 1.0;
        self.throttled.retain(|key| *key != task.key);
        Some(ReactionStep::Evict(task.key.clone()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn task(name: &str, kind: &str, ran_for: u64) -> ReactionTask {
        let key = AttemptKey { job: name.to_string(), task: 0, attempt: 1 };
        ReactionTask {
            key,
            kind: kind.to_string(),
            ran_for: Duration::from_secs(ran_for),
            urgent: false,
        }
    }

    fn slowdowns() -> BTreeMap<KindName, f64> {
        BTreeMap::from([("heavy".to_string(), 0.8), ("light".to_string(), 0.1)])
    }

    fn looks(
        reaction: &mut WorkerReaction,
        pressure: f64,
        tasks: &[ReactionTask],
        from: Instant,
        seconds: u64,
    ) -> Vec<ReactionStep> {
        let times = (0..seconds).map(|second| from + Duration::from_secs(second));
        times.filter_map(|now| reaction.look(pressure, tasks, &slowdowns(), now)).collect()
    }

    #[test]
    fn the_worst_kind_is_throttled_first_and_eviction_comes_last() {
        let now = Instant::now();
        let mut reaction = WorkerReaction::default();
        let tasks = [task("a", "light", 10), task("b", "heavy", 10)];
        let steps = looks(&mut reaction, 1.5, &tasks, now, 9);
        assert_eq!(
            steps,
            [
                ReactionStep::Throttle(tasks[1].key.clone(), THROTTLED_PERCENT),
                ReactionStep::Throttle(tasks[0].key.clone(), THROTTLED_PERCENT),
                ReactionStep::Evict(tasks[1].key.clone()),
            ]
        );
    }

    #[test]
    fn one_bad_look_does_nothing() {
        let now = Instant::now();
        let mut reaction = WorkerReaction::default();
        let tasks = [task("a", "heavy", 10)];
        for second in 0..20 {
            let pressure = if second % 3 == 0 { 1.5 } else { 0.5 };
            let at = now + Duration::from_secs(second);
            assert_eq!(reaction.look(pressure, &tasks, &slowdowns(), at), None);
        }
    }

    #[test]
    fn evictions_are_bounded_by_their_budget() {
        let now = Instant::now();
        let mut reaction = WorkerReaction::default();
        let tasks: Vec<ReactionTask> =
            (0..3).map(|number| task(&number.to_string(), "heavy", 5)).collect();
        let steps = looks(&mut reaction, 2.0, &tasks, now, 60);
        let evictions = steps.iter().filter(|step| matches!(step, ReactionStep::Evict(_))).count();
        assert!((2..=8).contains(&evictions), "{evictions}");
    }

    #[test]
    fn throttling_is_lifted_when_the_service_is_well() {
        let now = Instant::now();
        let mut reaction = WorkerReaction::default();
        let tasks = [task("a", "heavy", 10)];
        looks(&mut reaction, 1.5, &tasks, now, 3);
        let later = now + Duration::from_secs(10);
        let steps = looks(&mut reaction, 0.5, &tasks, later, 12);
        assert_eq!(steps, [ReactionStep::Ease(tasks[0].key.clone())]);
    }

    #[test]
    fn the_task_with_least_work_at_risk_goes_among_equals() {
        let now = Instant::now();
        let mut reaction = WorkerReaction::default();
        let tasks = [task("old", "heavy", 1_000), task("new", "heavy", 1)];
        let steps = looks(&mut reaction, 1.5, &tasks, now, 9);
        assert_eq!(steps.last(), Some(&ReactionStep::Evict(tasks[1].key.clone())));
    }
}
