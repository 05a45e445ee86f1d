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
const EASE_STEP: f64 = 12.0;
/// Time between two steps: the measured span and the time until a new pace has its effect.
const STEP_PAUSE: Duration = Duration::from_millis(500);
/// Least change of pace that is ordered, in percent.
const LEAST_CHANGE: u32 = 4;
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

/// The pace of all fills on one worker.
#[derive(Clone, Debug)]
pub struct PaceControl {
    percent: f64,
    stepped: Option<Instant>,
    ordered: HashMap<RunKey, u32>,
}

impl Default for PaceControl {
    fn default() -> PaceControl {
        PaceControl { percent: FULL, stepped: None, ordered: HashMap::new() }
    }
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
        let pressure = worst_pressure(running, traits);
        let may_step =
            self.stepped.is_none_or(|at| now.saturating_duration_since(at) >= STEP_PAUSE);
        if may_step {
            self.step(pressure, now);
        }
        let fills = running.iter().filter(|run| traits.get(&run.task).is_some_and(|t| t.fills));
        let percent = self.percent.round() as u32;
        let mut steps = Vec::new();
        let mut ordered = HashMap::new();
        for run in fills {
            let key = (run.task.clone(), run.run);
            let known = self.ordered.get(&key).copied().unwrap_or(100);
            if known.abs_diff(percent) >= LEAST_CHANGE {
                steps.push(PaceStep { key: key.clone(), percent, pressure });
                ordered.insert(key, percent);
            } else {
                ordered.insert(key, known);
            }
        }
        self.ordered = ordered;
        steps
    }

    fn step(&mut self, pressure: f64, now: Instant) {
        if pressure > AIM_SHARE {
            // What exceeds the aim is taken off in proportion, at least a quarter.
            let factor = (AIM_SHARE / pressure).powi(2).min(0.75);
            self.percent *= factor;
            self.stepped = Some(now);
        } else if pressure < EASE_SHARE && self.percent < FULL {
            self.percent = (self.percent + EASE_STEP).min(FULL);
            self.stepped = Some(now);
        }
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
