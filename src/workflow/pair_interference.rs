//! Model of how much best-effort tasks slow down serving tasks on the same worker, learned for each
//! pair of images.
//!
//! Serving tasks are latency-critical: they have a target for the tail latency of their responses.
//! Best-effort tasks use the processor time that the other tasks leave. A serving task's tail
//! latency follows that of a queue: tail = idle tail / (1 − load), where the idle tail is the tail
//! latency without any load. Best-effort tasks add to the load, so that their effects are additive
//! in terms of load = 1 − idle tail / tail.
//!
//! Two kinds of values are estimated. The load of a serving step without best-effort tasks
//! fluctuates within seconds, equally for all tasks of the step on any worker. For each pair of a
//! serving and a best-effort image, the model has the load that one best-effort task at full pace
//! adds. A Kalman filter with a diagonal covariance matrix updates both.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::ImageInterference;
use crate::ids::ImageName;
use crate::ids::JobId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::Competitors;
use crate::workflow::worker_entry::WorkerEntry;

/// Window over which runners measure tail latencies.
pub const MEASUREMENT_WINDOW: Duration = Duration::from_millis(500);
/// A best-effort task that ran for at least this part of the window counts in full, since the
/// tail latency shows the worst part of the window.
const FULL_OVERLAP: Duration = Duration::from_millis(200);
/// A best-effort task that ran for less than this part of the window does not count. A sample with
/// a task between this and [`FULL_OVERLAP`] is discarded.
const MIN_OVERLAP: Duration = Duration::from_millis(50);
/// Idle tail as a share of the lowest measured tail, which was measured under some load.
const IDLE_TAIL_SHARE: f64 = 0.85;
/// Idle tail as a share of the target, used before any tail is measured.
pub(crate) const INITIAL_IDLE_TAIL_SHARE: f64 = 0.2;
/// Initial estimate of the load of a serving step.
const INITIAL_LOAD: f64 = 0.45;
/// Variance of the initial load estimate; the variance never grows beyond it.
const INITIAL_LOAD_VARIANCE: f64 = 0.04;
/// Growth of the variance of a load estimate per second: loads change by a quarter within seconds.
const LOAD_VARIANCE_GROWTH: f64 = 0.01;
/// Initial estimate of the load that a best-effort task at full pace adds.
pub(crate) const INITIAL_ADDED_LOAD: f64 = 0.12;
/// Variance of the initial added load; the variance never grows beyond it.
const INITIAL_ADDED_VARIANCE: f64 = 0.04;
/// Growth of the variance of an added load per second.
const ADDED_VARIANCE_GROWTH: f64 = 0.0005;
/// Part of a sample's variance that does not depend on the load.
const BASE_SAMPLE_VARIANCE: f64 = 0.002;
/// Relative standard deviation of a measured tail.
const TAIL_RELATIVE_DEVIATION: f64 = 0.1;
/// Upper limit for a load that is derived from a tail.
const MAX_LOAD: f64 = 0.98;
/// Load above which a tail is assumed to be truncated, since queues grow without limit.
const SATURATED_LOAD: f64 = 0.92;
/// Amount by which the load of a truncated tail is assumed to exceed the derived load.
const SATURATION_EXCESS: f64 = 0.25;
/// Margin for fluctuations of the load after a task is placed.
const LOAD_FLUCTUATION_MARGIN: f64 = 0.03;
/// Limit for the expected load after a best-effort task is placed, as a ratio to the load at the
/// target.
const MAX_LOAD_RATIO: f64 = 0.97;

/// A best-effort task that adds no more load than this is placed at any load ratio, because heavier
/// ones on the worker are throttled before it.
const LIGHT_ADDED_LOAD: f64 = 0.03;

/// An estimated value, its variance and the time of the last update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) value: f64,
    pub(crate) variance: f64,
    pub(crate) at: Instant,
}

impl Estimate {
    fn advance(&mut self, now: Instant, growth_per_second: f64, max_variance: f64) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.variance = (self.variance + growth_per_second * elapsed).min(max_variance);
        self.at = now;
    }

    /// Applies the share of the innovation (measured minus expected load) that falls to this value,
    /// which contributes to the expected load with `weight`.
    fn correct(
        &mut self,
        innovation: f64,
        weight: f64,
        innovation_variance: f64,
        limits: (f64, f64),
    ) {
        let gain = weight * self.variance / innovation_variance;
        self.value = (self.value + gain * innovation).clamp(limits.0, limits.1);
        self.variance *= 1.0 - gain * weight;
    }
}

/// Predicted effect of placing a best-effort task on a worker with serving tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRisk {
    /// The highest expected load of a serving task, as a ratio to its load at the target.
    pub load_ratio: f64,
    /// The highest load that the task itself adds to a serving task.
    pub added_load: f64,
    /// Whether there are no measurements yet for one of the pairs of images.
    pub is_unmeasured: bool,
}

impl PlacementRisk {
    /// Whether the task may be placed: the serving tasks are expected to stay within their targets,
    /// or it adds little load.
    ///
    /// ```
    /// use greengagearch::workflow::pair_interference::PlacementRisk;
    ///
    /// assert!(PlacementRisk { load_ratio: 0.5, added_load: 0.1, is_unmeasured: false }.is_low());
    /// ```
    pub fn is_low(&self) -> bool {
        self.load_ratio <= MAX_LOAD_RATIO || self.added_load <= LIGHT_ADDED_LOAD
    }
}

/// Estimates of loads and of the load that best-effort images add to serving images.
#[derive(Clone, Debug, Default)]
pub struct PairInterferenceModel {
    /// Lowest measured tail by serving image, in milliseconds.
    pub(crate) min_tails: BTreeMap<ImageName, f64>,
    /// Load without best-effort tasks, by job and step.
    loads: BTreeMap<JobId, BTreeMap<u32, Estimate>>,
    /// Added load by serving image, then by best-effort image.
    pub(crate) pairs: BTreeMap<ImageName, BTreeMap<ImageName, Estimate>>,
}

impl PairInterferenceModel {
    /// Updates the estimates with the tails that a worker has just reported.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let mut inventory = WorkerInventory::default();
    /// let now = Instant::now();
    /// PairInterferenceModel::default().learn(inventory.entry("i-1", now), now);
    /// ```
    pub fn learn(&mut self, worker: &WorkerEntry, now: Instant) {
        let mut tails: BTreeMap<(JobId, u32), Vec<(f64, &AssignedRun)>> = BTreeMap::new();
        for (key, run) in worker.assigned.iter().filter(|(_, run)| run.target_ms > 0) {
            let tail = run.last_report.as_ref().map_or(0, |report| report.usage) as f64;
            if tail > 0.0 {
                let min_tail = self.min_tails.entry(run.image.clone()).or_insert(tail);
                *min_tail = min_tail.min(tail);
                tails.entry(step_key(&key.0)).or_default().push((tail, run));
            }
        }
        let Some(best_effort) = measured_best_effort(worker, now) else {
            return;
        };
        for (key, mut tails) in tails {
            tails.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (tail, run) = tails[(tails.len() - 1) / 2];
            self.learn_tail(key, run, tail, &best_effort, now);
        }
    }

    fn learn_tail(
        &mut self,
        key: (JobId, u32),
        run: &AssignedRun,
        tail: f64,
        best_effort: &BTreeMap<ImageName, f64>,
        now: Instant,
    ) {
        let measured = (1.0 - self.idle_tail(run) / tail).clamp(0.0, MAX_LOAD);
        let initial = Estimate { value: INITIAL_LOAD, variance: INITIAL_LOAD_VARIANCE, at: now };
        let (job, step) = key;
        let load = self.loads.entry(job).or_default().entry(step).or_insert(initial);
        load.advance(now, LOAD_VARIANCE_GROWTH, INITIAL_LOAD_VARIANCE);
        let sample_variance =
            BASE_SAMPLE_VARIANCE + (TAIL_RELATIVE_DEVIATION * (1.0 - measured)).powi(2);
        let (mut expected, mut innovation_variance) = (load.value, load.variance + sample_variance);
        let pairs = self.pairs.entry(run.image.clone()).or_default();
        for (image, weight) in best_effort {
            let initial =
                Estimate { value: INITIAL_ADDED_LOAD, variance: INITIAL_ADDED_VARIANCE, at: now };
            let pair = pairs.entry(image.clone()).or_insert(initial);
            pair.advance(now, ADDED_VARIANCE_GROWTH, INITIAL_ADDED_VARIANCE);
            expected += weight * pair.value;
            innovation_variance += weight * weight * pair.variance;
        }
        // The tail of a saturated queue is truncated, so that it does not show the full load.
        let is_truncated = measured > SATURATED_LOAD && expected < measured;
        let innovation = measured - expected + if is_truncated { SATURATION_EXCESS } else { 0.0 };
        load.correct(innovation, 1.0, innovation_variance, (0.0, MAX_LOAD));
        for (image, weight) in best_effort {
            if let Some(pair) = pairs.get_mut(image) {
                pair.correct(innovation, *weight, innovation_variance, (0.0, 2.0));
            }
        }
    }

    /// Removes the load estimates of a job that has ended.
    ///
    /// ```
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    ///
    /// PairInterferenceModel::default().forget_job("a");
    /// ```
    pub fn forget_job(&mut self, job: &str) {
        self.loads.remove(job);
    }

    /// The tail latency of a serving run without load, in milliseconds.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::spec::StepSpec;
    /// use greengagearch::workflow::task_name::TaskName;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let now = Instant::now();
    /// let mut inventory = WorkerInventory::default();
    /// let step = StepSpec { target_ms: 50, ..StepSpec::default() };
    /// let key: (TaskName, u32) = ("a.0.0.0".parse().unwrap(), 1);
    /// inventory.assign("i-1", key.clone(), &step, now, now);
    /// let run = &inventory.get("i-1").unwrap().assigned[&key];
    /// assert_eq!(PairInterferenceModel::default().idle_tail(run), 10.0);
    /// ```
    pub fn idle_tail(&self, run: &AssignedRun) -> f64 {
        let min_tail = self.min_tails.get(&run.image);
        min_tail.map_or(run.target_ms as f64 * INITIAL_IDLE_TAIL_SHARE, |min_tail| {
            min_tail * IDLE_TAIL_SHARE
        })
    }

    /// The tail latency of a serving image without load, in milliseconds; zero before any tail is
    /// measured.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert_eq!(model.idle_tail_of_image("x"), 0.0);
    /// ```
    pub fn idle_tail_of_image(&self, image: &str) -> f64 {
        self.min_tails.get(image).map_or(0.0, |min_tail| min_tail * IDLE_TAIL_SHARE)
    }

    /// Predicts the effect of placing a best-effort task of an image on a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::worker_entry::Competitors;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let mut inventory = WorkerInventory::default();
    /// let worker = inventory.entry("i-1", Instant::now());
    /// let risk = PairInterferenceModel::default().risk(worker, "x", Competitors::All);
    /// assert_eq!(risk.load_ratio, 0.0);
    /// ```
    pub fn risk(
        &self,
        worker: &WorkerEntry,
        image: &str,
        competitors: Competitors,
    ) -> PlacementRisk {
        let mut risk = PlacementRisk { load_ratio: 0.0, added_load: 0.0, is_unmeasured: false };
        let mut last_step = None;
        for (key, run) in worker.assigned.iter().filter(|(_, run)| run.target_ms > 0) {
            // Tasks of one step are adjacent and have the same load, so that one of them suffices.
            let step = Some((key.0.job.as_str(), key.0.step));
            if std::mem::replace(&mut last_step, step) == step {
                continue;
            }
            let load = self.load(&key.0).map_or(INITIAL_LOAD, |load| load.value);
            let others = worker.best_effort_runs(competitors);
            let added: f64 = others.map(|other| self.added(&run.image, &other.image)).sum();
            let added_by_task = self.added(&run.image, image);
            let expected = load + LOAD_FLUCTUATION_MARGIN + added + added_by_task;
            risk.added_load = risk.added_load.max(added_by_task);
            risk.load_ratio = risk.load_ratio.max(expected / self.target_load(run));
            risk.is_unmeasured |= self.pair(&run.image, image).is_none();
        }
        risk
    }

    /// The load that one task of a best-effort image adds to each serving image for which there are
    /// measurements.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert!(model.effects("x").is_empty());
    /// ```
    pub fn effects(&self, image: &str) -> Vec<ImageInterference> {
        let effect = |(serving, pairs): (&ImageName, &BTreeMap<ImageName, Estimate>)| {
            let added_permille = (pairs.get(image)?.value * 1_000.0) as u32;
            Some(ImageInterference { serving: serving.clone(), added_permille })
        };
        self.pairs.iter().filter_map(effect).collect()
    }

    /// All known pairs as `serving/best-effort=load`, for the log.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert_eq!(model.summary(), "");
    /// ```
    pub fn summary(&self) -> String {
        let pairs = self
            .each_pair()
            .map(|(serving, filling, pair)| format!("{serving}/{filling}={:.2}", pair.value));
        pairs.collect::<Vec<String>>().join(" ")
    }

    /// Iterates over all known pairs: serving image, best-effort image and added load.
    pub(crate) fn each_pair(&self) -> impl Iterator<Item = (&ImageName, &ImageName, &Estimate)> {
        self.pairs.iter().flat_map(|(serving, pairs)| {
            pairs.iter().map(move |(best_effort, pair)| (serving, best_effort, pair))
        })
    }

    fn load(&self, task: &TaskName) -> Option<&Estimate> {
        self.loads.get(&task.job)?.get(&task.step)
    }

    fn pair(&self, serving: &str, best_effort: &str) -> Option<&Estimate> {
        self.pairs.get(serving)?.get(best_effort)
    }

    fn added(&self, serving: &str, image: &str) -> f64 {
        self.pair(serving, image).map_or(INITIAL_ADDED_LOAD, |pair| pair.value)
    }

    /// The load at which the tail latency of a run equals its target.
    fn target_load(&self, run: &AssignedRun) -> f64 {
        (1.0 - self.idle_tail(run) / run.target_ms as f64).max(0.1)
    }
}

/// The job and step for which a load is estimated.
fn step_key(name: &TaskName) -> (JobId, u32) {
    (name.job.clone(), name.step)
}

/// Best-effort tasks in the measurement window before `now`, by image and weighted by their pace: a
/// task at half pace counts as 0.5. `None` if a task ran for a part of the window that is neither
/// short enough to be ignored nor long enough to count in full.
fn measured_best_effort(worker: &WorkerEntry, now: Instant) -> Option<BTreeMap<ImageName, f64>> {
    let window_start = now.checked_sub(MEASUREMENT_WINDOW)?;
    let mut best_effort = BTreeMap::new();
    let mut add = |image: &str, start: Instant, end: Instant, percent: u32| {
        let overlap = end.min(now).saturating_duration_since(start.max(window_start));
        if overlap >= FULL_OVERLAP {
            *best_effort.entry(image.to_string()).or_default() += f64::from(percent) / 100.0;
        }
        overlap >= FULL_OVERLAP || overlap < MIN_OVERLAP
    };
    let mut is_unambiguous = true;
    for run in worker.assigned.values().filter(|run| run.best_effort) {
        if let Some(start) = run.first_reported_at {
            let measured = run.last_report.as_ref().map_or(0, |report| report.mean_pace_percent);
            is_unambiguous &= add(&run.image, start, now, measured);
        }
    }
    for ended in &worker.ended_best_effort {
        is_unambiguous &= add(&ended.image, ended.started_at, ended.ended_at, ended.pace_percent);
    }
    is_unambiguous.then_some(best_effort)
}
