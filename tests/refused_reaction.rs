//! What an agent believes of tasks beside a service when the worker did not do what was asked: it refused, or its answer was lost.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use greengagearch::external::worker::AttemptKey;
use greengagearch::process::reaction::ReactionStep;
use greengagearch::process::reaction::ReactionTask;
use greengagearch::process::reaction::WorkerReaction;

/// Pressures of a service that misses its objective, and of one that is well.
const MISSED: f64 = 1.5;
const WELL: f64 = 0.2;

/// A worker with one task, looked at once a second.
struct PlayedReaction {
    reaction: WorkerReaction,
    tasks: Vec<ReactionTask>,
    now: Instant,
}

impl PlayedReaction {
    fn start() -> PlayedReaction {
        let key = AttemptKey { job: "night".to_string(), task: 0, attempt: 1 };
        let kind = "heavy".to_string();
        let task = ReactionTask { key, kind, ran_for: Duration::from_secs(5), urgent: false };
        PlayedReaction {
            reaction: WorkerReaction::default(),
            tasks: vec![task],
            now: Instant::now(),
        }
    }

    /// Looks until a step is due, for half a minute at most.
    fn next_step(&mut self, pressure: f64) -> Option<ReactionStep> {
        (0..30).find_map(|_| {
            self.now += Duration::from_secs(1);
            self.reaction.look(pressure, &self.tasks, &BTreeMap::new(), self.now)
        })
    }

    fn key(&self) -> AttemptKey {
        self.tasks[0].key.clone()
    }
}

/// Guards against a task that stays throttled for good: the call that was to ease it was refused or lost, and counted as done.
#[test]
fn a_task_that_was_not_eased_is_eased_again() {
    for is_refused in [true, false] {
        let mut played = PlayedReaction::start();
        played.next_step(MISSED).unwrap();
        let ease = played.next_step(WELL).unwrap();
        played.reaction.on_failed(&ease, is_refused);
        assert_eq!(played.next_step(WELL), Some(ReactionStep::Ease(played.key())));
    }
}

/// Guards against a task that is evicted in place of being throttled: the call that was to throttle it was refused, and counted as done.
#[test]
fn a_task_whose_throttling_was_refused_is_throttled_before_it_is_evicted() {
    let mut played = PlayedReaction::start();
    let throttle = played.next_step(MISSED).unwrap();
    played.reaction.on_failed(&throttle, true);
    assert!(matches!(played.next_step(MISSED), Some(ReactionStep::Throttle(..))));
}

/// Guards against a task that stays throttled for good: the call that was to throttle it got no answer, and was carried out.
#[test]
fn a_task_whose_throttling_got_no_answer_is_eased() {
    let mut played = PlayedReaction::start();
    let throttle = played.next_step(MISSED).unwrap();
    played.reaction.on_failed(&throttle, false);
    assert_eq!(played.next_step(WELL), Some(ReactionStep::Ease(played.key())));
}

/// Guards against a task that stays throttled for good: its eviction failed, after which nobody eased it.
#[test]
fn a_task_that_was_not_evicted_is_eased() {
    for is_refused in [true, false] {
        let mut played = PlayedReaction::start();
        played.next_step(MISSED).unwrap();
        let evict = played.next_step(MISSED).unwrap();
        assert_eq!(evict, ReactionStep::Evict(played.key()));
        played.reaction.on_failed(&evict, is_refused);
        assert_eq!(played.next_step(WELL), Some(ReactionStep::Ease(played.key())));
    }
}
