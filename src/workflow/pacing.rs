//! Controller for the pace of the best-effort runs on a worker. The pace of a run is its speed as a
//! share of its full speed.
//!
//! The tail latency of a serving task must stay below its target. In terms of load (see
//! [`crate::workflow::pair_interference`]) the effects of best-effort runs are additive. They may
//! add the target load minus the load of the serving task without them. The latter is the measured
//! load minus the load that the best-effort runs added during the measurement window, which follows
//! from their images and their paces. Runs that yield are throttled before the others, and among
//! them those that add the most load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::pair_interference::INITIAL_ADDED_LOAD;
use crate::workflow::pair_interference::INITIAL_IDLE_TAIL_SHARE;
use crate::workflow::run_pace::RunPace;
use crate::workflow::target_violations::SustainedViolation;
use crate::workflow::target_violations::TargetViolations;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Distance of the controlled load from the load at the target. It covers the change of a load
/// within a control period and the measurement window, and two standard deviations of a measured
/// tail.
const LOAD_MARGIN: f64 = 0.04;
/// Minimum time between two increases: the measurement window of the runners plus the delay until a
/// pace takes effect.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(620);
/// Lower limit for the load that a best-effort run at full pace is assumed to add.
const MIN_ADDED_LOAD: f64 = 0.02;
/// Mean pace below which a run counts as paused.
const PAUSED_PACE: f64 = 0.02;

/// An order to change the pace of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The run.
    pub key: RunKey,
    /// The new pace, in percent of the run's full speed.
    pub percent: u32,
    /// The highest ratio of a tail latency to its target on the worker.
    pub tail_ratio: f64,
}

/// Controls the paces of the best-effort runs on one worker.
#[derive(Clone, Debug, Default)]
pub struct PaceController {
    /// When a pace was last increased.
    last_raised: Option<Instant>,
    /// Sorted, so that the same input always gives exactly the same paces.
    paces: BTreeMap<RunKey, RunPace>,
    /// Runs whose pace a previous agent may have set.
    inherited: BTreeSet<RunKey>,
    /// Whether the runs of the next update are inherited from a previous agent.
    inherits_next_update: bool,
    violations: TargetViolations,
}

/// Serving tasks of one step on this worker, which have the same load, or a single serving task
/// that has exceeded its target for long.
struct ServingGroup {
    /// Their image.
    image: String,
    /// The controlled load minus the measured load.
    headroom: f64,
    /// Ratio of the tail latency to its target.
    tail_ratio: f64,
}

impl PaceController {
    /// A controller for a worker on which a previous agent may have set paces. The pace of each run
    /// in the first update is ordered again.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// assert!(PaceController::inheriting().take_sustained_violations().is_empty());
    /// ```
    pub fn inheriting() -> PaceController {
        PaceController { inherits_next_update: true, ..PaceController::default() }
    }

    /// Records the runs on the worker and returns the changes of pace to be ordered.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// let changes = PaceController::default().update(&[], &HashMap::new(), Instant::now());
    /// assert!(changes.is_empty());
    /// ```
    pub fn update(
        &mut self,
        running: &[PresentRun],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) -> Vec<PaceChange> {
        self.track_runs(running, traits, now);
        self.violations.record(running, traits, now);
        let is_paused = |pace: &RunPace| pace.mean(now) < PAUSED_PACE;
        if !self.violations.is_empty() && self.paces.values().all(is_paused) {
            self.violations.exonerate_best_effort(now);
        }
        let mut groups = serving_groups(running, traits);
        groups.extend(self.victim_groups(running, traits, now));
        let tail_ratio = groups.iter().map(|group| group.tail_ratio).fold(0.0, f64::max);
        let allowed = self.max_paces(&groups, traits, now);
        self.pace_changes(&allowed, tail_ratio, now)
    }

    /// Removes and returns the violations that have become sustained, each with the highest pace of
    /// the best-effort runs on the worker in percent.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// assert!(PaceController::default().take_sustained_violations().is_empty());
    /// ```
    pub fn take_sustained_violations(&mut self) -> Vec<(SustainedViolation, u32)> {
        let highest = self.paces.values().map(RunPace::ordered).fold(0.0, f64::max);
        let percent = (highest * 100.0).round() as u32;
        self.violations
            .take_new_violations()
            .into_iter()
            .map(|violation| (violation, percent))
            .collect()
    }

    /// The pace that was last ordered for a run, in percent; 100 for an unknown run.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(PaceController::default().ordered_percent(&key), 100);
    /// ```
    pub fn ordered_percent(&self, key: &RunKey) -> u32 {
        let pace = self.paces.get(key).map_or(1.0, RunPace::ordered);
        (pace * 100.0).round() as u32
    }

    /// The mean pace of a run over the measurement window, in percent; zero for an unknown run.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(PaceController::default().mean_percent(&key, Instant::now()), 0);
    /// ```
    pub fn mean_percent(&self, key: &RunKey, now: Instant) -> u32 {
        let mean = self.paces.get(key).map_or(0.0, |pace| pace.mean(now));
        (mean * 100.0).round() as u32
    }

    /// Records that the runner has applied a change. If another change was ordered meanwhile, it is
    /// unknown which one was applied last, and the next update orders the newest pace again.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    /// use greengagearch::workflow::pacing::PaceChange;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let change = PaceChange { key, percent: 50, tail_ratio: 1.0 };
    /// PaceController::default().on_applied(&change);
    /// ```
    pub fn on_applied(&mut self, change: &PaceChange) {
        let is_newest = self.ordered_percent(&change.key) == change.percent;
        if !is_newest {
            self.on_rejected(&change.key);
        }
    }

    /// Records that the runner has rejected a change; the next update orders the pace again.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// PaceController::default().on_rejected(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_rejected(&mut self, key: &RunKey) {
        if let Some(pace) = self.paces.get_mut(key) {
            pace.mark_uncertain();
        }
    }

    /// Records that the runner did not answer to a change. It may still be applied after newer
    /// ones, which are therefore repeated.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// PaceController::default().on_unanswered(&("a.0.0.0".parse().unwrap(), 1), Instant::now());
    /// ```
    pub fn on_unanswered(&mut self, key: &RunKey, now: Instant) {
        if let Some(pace) = self.paces.get_mut(key) {
            pace.on_unanswered(now);
        }
    }

    /// The changes that bring the paces closer to the allowed ones.
    fn pace_changes(
        &mut self,
        allowed: &BTreeMap<RunKey, f64>,
        tail_ratio: f64,
        now: Instant,
    ) -> Vec<PaceChange> {
        let may_raise = self
            .last_raised
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_RAISE_INTERVAL);
        let mut changes = Vec::new();
        for (key, pace) in &mut self.paces {
            let allowed = allowed.get(key).copied().unwrap_or(1.0);
            let Some(wanted) = pace.next(allowed, may_raise, now) else {
                continue;
            };
            if wanted > pace.ordered() {
                self.last_raised = Some(now);
            }
            pace.order(wanted, now);
            let percent = (wanted * 100.0).round() as u32;
            changes.push(PaceChange { key: key.clone(), percent, tail_ratio });
        }
        changes
    }

    /// Removes the paces of ended best-effort runs and adds those of new ones, which start at full
    /// pace.
    fn track_runs(
        &mut self,
        running: &[PresentRun],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) {
        self.record_inherited(running);
        let best_effort =
            running.iter().filter(|run| traits.get(&run.task).is_some_and(|t| t.best_effort));
        let mut paces = BTreeMap::new();
        for run in best_effort {
            let key = (run.task.clone(), run.run);
            let known = self.paces.remove(&key);
            let new_pace = || match self.inherited.contains(&key) {
                true => RunPace::inherited(now),
                false => RunPace::started(now),
            };
            let pace = known.unwrap_or_else(new_pace);
            paces.insert(key, pace);
        }
        self.paces = paces;
    }

    /// Records all runs of the first update as inherited, since it is unknown which of them are
    /// best-effort until the planner has sent their traits.
    fn record_inherited(&mut self, running: &[PresentRun]) {
        if std::mem::take(&mut self.inherits_next_update) {
            self.inherited = running.iter().map(|run| (run.task.clone(), run.run)).collect();
        }
    }

    /// Groups of one for the tasks that have exceeded their targets for long.
    fn victim_groups(
        &self,
        running: &[PresentRun],
        known: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) -> Vec<ServingGroup> {
        let mut victims = Vec::new();
        if self.violations.is_empty() {
            return victims;
        }
        for run in running.iter().filter(|run| run.usage > 0) {
            let Some(traits) = known.get(&run.task).filter(|traits| traits.target_ms > 0) else {
                continue;
            };
            let group = serving_group(run.usage as f64, traits);
            let is_caused_by_best_effort =
                || group.headroom + self.mean_added_load(&group.image, known, now) > 0.0;
            if self.violations.is_interference_victim(
                &(run.task.clone(), run.run),
                is_caused_by_best_effort,
                now,
            ) {
                victims.push(group);
            }
        }
        victims
    }

    /// The load that best-effort runs added to tasks of an image during the measurement window.
    fn mean_added_load(
        &self,
        image: &str,
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) -> f64 {
        let paces = self.paces.iter();
        paces.map(|(key, pace)| added_load(key, image, traits) * pace.mean(now)).sum()
    }

    /// The highest paces at which no group is expected to exceed its controlled load.
    fn max_paces(
        &self,
        groups: &[ServingGroup],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) -> BTreeMap<RunKey, f64> {
        let mut allowed: BTreeMap<RunKey, f64> =
            self.paces.keys().map(|key| (key.clone(), 1.0)).collect();
        for group in groups {
            let added = |key: &RunKey| added_load(key, &group.image, traits);
            let budget = group.headroom + self.mean_added_load(&group.image, traits, now);
            let mut excess: f64 =
                allowed.iter().map(|(key, pace)| added(key) * pace).sum::<f64>() - budget;
            let yields = |key: &RunKey| traits.get(&key.0).is_some_and(|traits| traits.yields);
            let mut candidates: Vec<(bool, f64, RunKey)> =
                allowed.keys().map(|key| (yields(key), added(key), key.clone())).collect();
            candidates.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
            for (_, added, key) in candidates {
                if excess <= 0.0 {
                    break;
                }
                if let Some(pace) = allowed.get_mut(&key) {
                    let cut = pace.min(excess / added);
                    *pace -= cut;
                    excess -= cut * added;
                }
            }
        }
        allowed
    }
}

/// Groups the serving tasks by job and step. Each group has the median tail, since a single outlier
/// is not significant.
fn serving_groups(
    running: &[PresentRun],
    traits: &HashMap<TaskName, TaskTraits>,
) -> Vec<ServingGroup> {
    let mut tails: BTreeMap<(&str, u32), Vec<(f64, &TaskTraits)>> = BTreeMap::new();
    for run in running {
        let serving = traits.get(&run.task).filter(|traits| traits.target_ms > 0);
        if let (Some(traits), true) = (serving, run.usage > 0) {
            let group = tails.entry((run.task.job.as_str(), run.task.step)).or_default();
            group.push((run.usage as f64, traits));
        }
    }
    let group = |mut tails: Vec<(f64, &TaskTraits)>| {
        tails.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (tail, traits) = tails[(tails.len() - 1) / 2];
        serving_group(tail, traits)
    };
    tails.into_values().map(group).collect()
}

/// The load that a best-effort run at full pace adds to tasks of an image; an initial estimate
/// before it is known.
fn added_load(key: &RunKey, image: &str, traits: &HashMap<TaskName, TaskTraits>) -> f64 {
    let known = traits.get(&key.0).and_then(|traits| traits.added_load(image));
    known.unwrap_or(INITIAL_ADDED_LOAD).max(MIN_ADDED_LOAD)
}

/// The group of a serving task with a measured tail.
fn serving_group(tail: f64, traits: &TaskTraits) -> ServingGroup {
    let target = traits.target_ms as f64;
    let idle = match traits.idle_tail_ms {
        0 => target * INITIAL_IDLE_TAIL_SHARE,
        known => f64::from(known),
    };
    // load = 1 − idle / tail, so that the difference of two loads is a difference of these ratios.
    let headroom = idle / tail - idle / target - LOAD_MARGIN;
    ServingGroup { image: traits.image.clone(), headroom, tail_ratio: tail / target }
}
