//! How fast tasks that fill may work beside tasks that serve.
//!
//! The tail of a serving task's response times must stay below its target. In terms of load (see
//! [`crate::workflow::disturbance`]) what fills add is proportional to their pace, so that the
//! excess or the slack over the aim says by how much paces have to change: those that add most are slowed
//! first, those that add least are let up first. The measured tail is that of the last half second, so
//! that a step shows only in the looks after it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::spec::TaskName;
use crate::workflow::worker_board::RunKey;

/// Share of the load at the target that a load should not exceed; the rest is for what changes between
/// two looks.
const AIM_SHARE: f64 = 0.9;
/// Idle tail as a share of the target, where it is not known.
const FIRST_IDLE_SHARE: f64 = 0.2;
/// Least that a fill is taken to add to a load at full pace, for what is not known of it.
const LEAST_ADDED: f64 = 0.03;
/// How much more than the excess is taken off, because what fills add may be underrated.
const SLOW_FACTOR: f64 = 1.3;
/// Part of the slack that is given back in one step.
const EASE_FACTOR: f64 = 0.5;
/// Slack below which paces stay as they are.
const LEAST_SLACK: f64 = 0.04;
/// Time between two steps: the measured span and the time until a new pace has its effect.
const STEP_PAUSE: Duration = Duration::from_millis(550);
/// Least change of pace that is ordered, in percent.
const LEAST_CHANGE: u32 = 4;

/// A run that should work at another speed.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceStep {
    /// The run.
    pub key: RunKey,
    /// Share of its full speed, in percent.
    pub percent: u32,
    /// The worst excess of a load over its aim, which decided it; below zero for slack.
    pub excess: f64,
}

/// The pace of the fills on one worker.
#[derive(Clone, Debug, Default)]
pub struct PaceControl {
    stepped: Option<Instant>,
    paces: HashMap<RunKey, RunPace>,
}

/// The pace of one run: what it should be, from 0 to 1, and what was ordered last, in percent.
#[derive(Clone, Copy, Debug)]
struct RunPace {
    wanted: f64,
    ordered: u32,
    added: f64,
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
        let excess = worst_excess(running, traits);
        let may_step =
            self.stepped.is_none_or(|at| now.saturating_duration_since(at) >= STEP_PAUSE);
        if may_step && self.step(excess) {
            self.stepped = Some(now);
        }
        let mut steps = Vec::new();
        for (key, pace) in &mut self.paces {
            let percent = (pace.wanted * 100.0).round() as u32;
            let is_whole = percent == 100 && pace.ordered != 100;
            if pace.ordered.abs_diff(percent) >= LEAST_CHANGE || is_whole {
                pace.ordered = percent;
                steps.push(PaceStep { key: key.clone(), percent, excess });
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
        self.paces.get(key).map_or(100, |pace| pace.ordered)
    }

    /// Keeps the paces of the fills that run, and starts those of new ones at full speed.
    fn follow(&mut self, running: &[PresentRun], traits: &HashMap<TaskName, TaskTraits>) {
        let mut paces = HashMap::new();
        for run in running {
            let Some(traits) = traits.get(&run.task).filter(|traits| traits.fills) else {
                continue;
            };
            let key = (run.task.clone(), run.run);
            let added = (f64::from(traits.added_permille) / 1_000.0).max(LEAST_ADDED);
            let first = RunPace { wanted: 1.0, ordered: 100, added };
            let pace = self.paces.get(&key).copied().unwrap_or(first);
            paces.insert(key, RunPace { added, ..pace });
        }
        self.paces = paces;
    }

    /// Changes the wanted paces. Says whether it did.
    fn step(&mut self, excess: f64) -> bool {
        let mut paces: Vec<&mut RunPace> = self.paces.values_mut().collect();
        paces.sort_by(|a, b| b.added.total_cmp(&a.added));
        if excess > 0.0 {
            let mut left = excess * SLOW_FACTOR;
            for pace in paces {
                let taken = (left / pace.added).min(pace.wanted);
                pace.wanted -= taken;
                left -= taken * pace.added;
            }
            return true;
        }
        let mut slack = -excess * EASE_FACTOR;
        if -excess < LEAST_SLACK || paces.iter().all(|pace| pace.wanted >= 1.0) {
            return false;
        }
        for pace in paces.into_iter().rev() {
            let given = (slack / pace.added).min(1.0 - pace.wanted);
            pace.wanted += given;
            slack -= given * pace.added;
        }
        true
    }
}

/// The worst excess of a serving task's load over its aim; a large slack when none serves.
fn worst_excess(running: &[PresentRun], traits: &HashMap<TaskName, TaskTraits>) -> f64 {
    let excess = |run: &PresentRun| {
        let traits = traits.get(&run.task).filter(|traits| traits.target_ms > 0)?;
        let target = traits.target_ms as f64;
        let known = f64::from(traits.idle_tail_ms);
        let idle = if known > 0.0 { known } else { target * FIRST_IDLE_SHARE };
        let load = 1.0 - idle / (run.usage as f64).max(idle);
        Some(load - (1.0 - idle / target) * AIM_SHARE)
    };
    running.iter().filter_map(excess).fold(-1.0, f64::max)
}
