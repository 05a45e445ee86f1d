//! How fast tasks that fill may work beside tasks that serve.
//!
//! The tail of a serving task's response times must stay below its target. In terms of the load that a tail
//! shows (see [`crate::workflow::pair_interference`]) fills add up: what they may add is the load that is aimed at
//! less the load that is there without them. That one is what was measured less what the fills have added
//! over the measured span, each by its image and its pace. The fills that add most are slowed first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::pair_interference::FIRST_ADDED;
use crate::workflow::pair_interference::FIRST_IDLE_SHARE;
use crate::workflow::run_pace::RunPace;
use crate::workflow::target_violations::SustainedViolation;
use crate::workflow::target_violations::TargetViolations;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Kept between the load that is aimed at and the load at the target: what a load swings by within a look and
/// the measured span, and two standard deviations of a measured tail.
const LOAD_MARGIN: f64 = 0.04;
/// Time between two rises: runners measure tails anew that often, and a pace needs some time to have its effect.
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(620);
/// Least load that a fill at full pace is taken to add.
const MIN_ADDED_LOAD: f64 = 0.02;
/// Mean pace below which a fill stands still.
const PAUSED_PACE: f64 = 0.02;

/// A run that should work at another speed.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The run.
    pub key: RunKey,
    /// Share of its full speed, in percent.
    pub percent: u32,
    /// The worst tail as a share of its target, which decided it.
    pub pressure: f64,
}

/// The pace of the fills on one worker.
#[derive(Clone, Debug, Default)]
pub struct PaceController {
    /// When fills were last allowed to work faster.
    last_raised: Option<Instant>,
    /// In their order, so that the same looks give the same paces to the last bit.
    paces: BTreeMap<RunKey, RunPace>,
    /// Runs that another agent may have paced before.
    inherited: BTreeSet<RunKey>,
    /// Whether the runs of the next look are such ones.
    inherits_next_update: bool,
    violations: TargetViolations,
}

/// Tasks of one job that serve on this worker, whose load swings alike, or one that counts by itself.
struct ServingGroup {
    /// What they run.
    image: String,
    /// The load that is aimed at less the load that was measured.
    headroom: f64,
    /// The tail as a share of its target.
    pressure: f64,
}

impl PaceController {
    /// Control of a worker that another agent may have paced: what the first look shows is ordered anew.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// assert!(PaceController::inheriting().take_sustained_violations().is_empty());
    /// ```
    pub fn inheriting() -> PaceController {
        PaceController { inherits_next_update: true, ..PaceController::default() }
    }

    /// Takes in what runs on the worker and gives the changes of pace.
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
        let pressure = groups.iter().map(|group| group.pressure).fold(0.0, f64::max);
        let allowed = self.max_paces(&groups, traits, now);
        self.pace_changes(&allowed, pressure, now)
    }

    /// Tasks that have newly been over their targets for long, and the highest pace of the fills beside them in percent.
    ///
    /// ```
    /// assert!(greengagearch::workflow::pacing::PaceController::default().take_sustained_violations().is_empty());
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

    /// The pace that was ordered for a run last, in percent.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// assert_eq!(PaceController::default().ordered_percent(&("a.0.0.0".parse().unwrap(), 1)), 100);
    /// ```
    pub fn ordered_percent(&self, key: &RunKey) -> u32 {
        let pace = self.paces.get(key).map_or(1.0, RunPace::ordered);
        (pace * 100.0).round() as u32
    }

    /// The mean pace of a run over the span that a tail tells of, in percent.
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

    /// Takes note that an ordered pace was carried out. If another one was ordered meanwhile, it is not known which came last, and the
    /// next look orders the newest again.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    /// use greengagearch::workflow::pacing::PaceChange;
    ///
    /// let change = PaceChange { key: ("a.0.0.0".parse().unwrap(), 1), percent: 50, pressure: 1.0 };
    /// PaceController::default().on_applied(&change);
    /// ```
    pub fn on_applied(&mut self, change: &PaceChange) {
        let is_newest = self.ordered_percent(&change.key) == change.percent;
        if !is_newest {
            self.on_rejected(&change.key);
        }
    }

    /// Takes note that an ordered pace was refused; the next look orders it again.
    ///
    /// ```
    /// use greengagearch::workflow::pacing::PaceController;
    ///
    /// PaceController::default().on_rejected(&("a.0.0.0".parse().unwrap(), 1));
    /// ```
    pub fn on_rejected(&mut self, key: &RunKey) {
        if let Some(pace) = self.paces.get_mut(key) {
            pace.doubt();
        }
    }

    /// Takes note that an ordered pace got no answer: it may be carried out later than newer ones, so that those are repeated.
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

    /// The changes that lead to the allowed paces.
    fn pace_changes(
        &mut self,
        allowed: &BTreeMap<RunKey, f64>,
        pressure: f64,
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
            changes.push(PaceChange { key: key.clone(), percent, pressure });
        }
        changes
    }

    /// Keeps the paces of the fills that run, and starts those of new ones at full speed.
    fn track_runs(
        &mut self,
        running: &[PresentRun],
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) {
        self.record_inherited(running);
        let fills =
            running.iter().filter(|run| traits.get(&run.task).is_some_and(|t| t.best_effort));
        let mut paces = BTreeMap::new();
        for run in fills {
            let key = (run.task.clone(), run.run);
            let known = self.paces.remove(&key);
            let first = || match self.inherited.contains(&key) {
                true => RunPace::inherited(now),
                false => RunPace::started(now),
            };
            let pace = known.unwrap_or_else(first);
            paces.insert(key, pace);
        }
        self.paces = paces;
    }

    /// Remembers what the first look shows: which runs are fills is known only when the planner has described them.
    fn record_inherited(&mut self, running: &[PresentRun]) {
        if std::mem::take(&mut self.inherits_next_update) {
            self.inherited = running.iter().map(|run| (run.task.clone(), run.run)).collect();
        }
    }

    /// Tasks that count by themselves, since they have been over their targets for long.
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

    /// The load that fills have added to tasks of an image over the measured span.
    fn mean_added_load(
        &self,
        image: &str,
        traits: &HashMap<TaskName, TaskTraits>,
        now: Instant,
    ) -> f64 {
        let paces = self.paces.iter();
        paces.map(|(key, pace)| added_load(key, image, traits) * pace.mean(now)).sum()
    }

    /// The highest paces at which no group is expected above its aim.
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
            let mut heaviest: Vec<(f64, RunKey)> =
                allowed.keys().map(|key| (added(key), key.clone())).collect();
            heaviest.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (added, key) in heaviest {
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

/// The tasks that serve, by their job. One tail that stands out from those of its siblings says little.
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

/// What a fill at full pace adds to the load of tasks of an image, as far as that is known.
fn added_load(key: &RunKey, image: &str, traits: &HashMap<TaskName, TaskTraits>) -> f64 {
    let known = traits.get(&key.0).and_then(|traits| traits.added(image));
    known.unwrap_or(FIRST_ADDED).max(MIN_ADDED_LOAD)
}

/// What a tail of a task that serves leaves to fills.
fn serving_group(tail: f64, traits: &TaskTraits) -> ServingGroup {
    let target = traits.target_ms as f64;
    let idle = match traits.idle_tail_ms {
        0 => target * FIRST_IDLE_SHARE,
        known => f64::from(known),
    };
    // load = 1 − idle / tail, so that the difference of two loads needs no load at all.
    let headroom = idle / tail - idle / target - LOAD_MARGIN;
    ServingGroup { image: traits.image.clone(), headroom, pressure: tail / target }
}
