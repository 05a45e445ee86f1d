//! How fast tasks that fill may work beside tasks that serve.
//!
//! The tail of a serving task's response times must stay below its target. The measured tail is that of the
//! last half second, so that a step shows only in the looks after it. Fills are slowed at once in
//! proportion to the excess, and let up by small steps.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::spec::TaskName;
use crate::workflow::worker_board::RunKey;

/// Share of the target that a tail should not exceed; the rest is for what changes within a look.
const AIM_SHARE: f64 = 0.85;
/// Share of the target below which fills may work faster again.
const EASE_SHARE: f64 = 0.7;
/// What a step lets fills work faster, in percent of their full speed.
const EASE_STEP: f64 = 25.0;
/// Time between two steps: the measured span and the time until a new pace has its effect.
const STEP_PAUSE: Duration = Duration::from_millis(500);
/// Least change of pace that is ordered, in percent.
const LEAST_CHANGE: u32 = 4;
/// Share of the largest expected disturbance from which on a fill is slowed with the one that has it.
const CULPRIT_SHARE: f64 = 0.4;
/// Added to every expected disturbance, in thousandths of a load, for what is not known of it.
const LEAST_WEIGHT: f64 = 30.0;
/// Full speed.
const FULL: f64 = 100.0;

/// A run that should work at another speed.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceStep {
    /// The run.
    pub key: RunKey,
    /// Share of its full speed, in percent.
    pub percent: u32,
    /// The worst tail as a share of its target, which decided it.
    pub pressure: f64,
}

/// The pace of the fills on one worker.
#[derive(Clone, Debug, Default)]
pub struct PaceControl {
    stepped: Option<Instant>,
    paces: HashMap<RunKey, RunPace>,
}

/// The pace of one run, in percent: what it should be, and what was ordered last.
#[derive(Clone, Copy, Debug)]
struct RunPace {
    wanted: f64,
    ordered: u32,
}

impl PaceControl {
    /// Takes in what runs on the worker and gives the changes of pace.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pacing::PaceControl;
    ///
    /// let steps = PaceControl::default().look(&[], &HashMap::new(), Instant::now());
    /// assert!(steps.is_empty());
    /// ```
    pub fn look(
        &mut self,
        running: &[PresentRun],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) -> Vec<PaceStep> {
        self.follow(running, traits);
        let pressure = worst_pressure(running, traits);
        let may_step =
            self.stepped.is_none_or(|at| now.saturating_duration_since(at) >= STEP_PAUSE);
        if may_step && self.step(pressure, traits) {
            self.stepped = Some(now);
        }
        let mut steps = Vec::new();
        for (key, pace) in &mut self.paces {
            let percent = pace.wanted.round() as u32;
            let is_whole = percent == 100 && pace.ordered != 100;
            if pace.ordered.abs_diff(percent) >= LEAST_CHANGE || is_whole {
                pace.ordered = percent;
                steps.push(PaceStep { key: key.clone(), percent, pressure });
            }
        }
        steps
    }

    /// The pace that was ordered for a run last, in percent.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceControl;
    ///
    /// assert_eq!(PaceControl::default().ordered(&("a.0.0.0".parse().unwrap(), 1)), 100);
    /// ```
    pub fn ordered(&self, key: &RunKey) -> u32 {
        self.paces.get(key).map_or(FULL as u32, |pace| pace.ordered)
    }

    /// Keeps the paces of the fills that run, and starts those of new ones at full speed.
    fn follow(&mut self, running: &[PresentRun], traits: &HashMap<TaskName, TaskTraits>) {
        let fills = running.iter().filter(|run| traits.get(&run.task).is_some_and(|t| t.fills));
        let mut paces = HashMap::new();
        for run in fills {
            let key = (run.task.clone(), run.run);
            let first = RunPace { wanted: FULL, ordered: FULL as u32 };
            let pace = self.paces.get(&key).copied().unwrap_or(first);
            paces.insert(key, pace);
        }
        self.paces = paces;
    }

    /// Changes the wanted paces. Says whether it did.
    fn step(&mut self, pressure: f64, traits: &HashMap<TaskName, TaskTraits>) -> bool {
        if pressure > AIM_SHARE {
            // Tails grow faster than the pace, so that the excess is taken off squared.
            let factor = (AIM_SHARE / pressure).powi(2).min(0.75);
            return self.slow_culprits(factor, traits);
        }
        let is_slow = self.paces.values().any(|pace| pace.wanted < FULL);
        if pressure < EASE_SHARE && is_slow {
            let each = self.paces.values_mut();
            each.for_each(|pace| pace.wanted = (pace.wanted + EASE_STEP).min(FULL));
            return true;
        }
        false
    }

    /// Slows the fills that are expected to disturb most among those that still work.
    fn slow_culprits(&mut self, factor: f64, traits: &HashMap<TaskName, TaskTraits>) -> bool {
        let weight = |key: &RunKey, pace: &RunPace| {
            let expected = traits.get(&key.0).map_or(0, |traits| traits.added_permille);
            (f64::from(expected) + LEAST_WEIGHT) * pace.wanted
        };
        let most = self.paces.iter().map(|(key, pace)| weight(key, pace)).fold(0.0, f64::max);
        for (key, pace) in &mut self.paces {
            if weight(key, pace) >= most * CULPRIT_SHARE {
                pace.wanted *= factor;
            }
        }
        most > 0.0
    }
}

/// The worst tail of a serving task, as a share of its target; zero when none serves.
fn worst_pressure(running: &[PresentRun], traits: &HashMap<TaskName, TaskTraits>) -> f64 {
    let pressure = |run: &PresentRun| {
        let target_ms = traits.get(&run.task).map_or(0, |traits| traits.target_ms);
        if target_ms == 0 { 0.0 } else { run.usage as f64 / target_ms as f64 }
    };
    running.iter().map(pressure).fold(0.0, f64::max)
}
