//! How much tasks that fill disturb tasks that serve beside them, learned by pairs of images.
//!
//! A serving task's tail latency behaves like that of a queue: tail = idle tail / (1 − load), where tasks that
//! fill add to the load. So everything adds up in terms of load = 1 − idle tail / tail. The load that a step
//! that serves has without them swings within seconds, for all its tasks alike wherever they run (seen in
//! tails of bridgeway quiet-1); each pair of images has what one filling task at full pace adds. Both are
//! updated by a Kalman filter with a diagonal covariance.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::ImageEffect;
use crate::ids::ImageName;
use crate::ids::JobId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::WorkerEntry;

/// Span over which runners measure tails.
pub const MEASURED_SPAN: Duration = Duration::from_millis(500);
/// Part of the span from which on a task counts in full, since a tail shows the worst part of it.
const FULL_OVERLAP: Duration = Duration::from_millis(200);
/// Part of the span below which a task does not count; samples with tasks between both are not used.
const LEAST_OVERLAP: Duration = Duration::from_millis(50);
/// Idle tail as a share of the least tail that was seen, since some load was there then as well.
const IDLE_SHARE: f64 = 0.85;
/// Idle tail as a share of the target before any tail was seen.
pub(crate) const FIRST_IDLE_SHARE: f64 = 0.2;
/// Load of a serving run before anything was seen of it.
const FIRST_LOAD: f64 = 0.45;
/// Variance of that load.
const FIRST_LOAD_VARIANCE: f64 = 0.04;
/// Growth of the variance of a run's load a second: it swings by a quarter within seconds.
const LOAD_DRIFT: f64 = 0.01;
/// What a filling task adds to a load before its pair was seen.
pub(crate) const FIRST_ADDED: f64 = 0.12;
/// Variance of that.
const FIRST_ADDED_VARIANCE: f64 = 0.04;
/// Growth of a pair's variance a second.
const ADDED_DRIFT: f64 = 0.0005;
/// Variance of a measured load, whatever its size.
const SAMPLE_VARIANCE: f64 = 0.002;
/// Standard deviation of a tail as a share of it.
const TAIL_NOISE: f64 = 0.1;
/// Largest load that a tail is believed to show.
const LARGEST_LOAD: f64 = 0.98;
/// Load from which on a tail is taken to be cut off.
const SATURATED_LOAD: f64 = 0.92;
/// What a load that is cut off is taken to be beyond what its tail shows.
const SATURATION_EXCESS: f64 = 0.25;
/// Room that is left for a load to swing after a task is placed.
const SWING_ROOM: f64 = 0.03;
/// Share of the load at the target up to which a load may be expected when a task that fills is placed.
const ALLOWED_PRESSURE: f64 = 0.97;

/// Load up to which a task that fills is placed whatever the pressure: heavier ones are slowed before it.
const LIGHT_LOAD: f64 = 0.03;

/// A value and how sure it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    pub(crate) value: f64,
    pub(crate) variance: f64,
    pub(crate) at: Instant,
}

impl Estimate {
    fn drift(&mut self, now: Instant, growth: f64, largest: f64) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.variance = (self.variance + growth * passed).min(largest);
        self.at = now;
    }

    /// Takes in the part of a surprise that falls on this value, which counted with `weight`.
    fn correct(&mut self, surprise: f64, weight: f64, spread: f64, limits: (f64, f64)) {
        let gain = weight * self.variance / spread;
        self.value = (self.value + gain * surprise).clamp(limits.0, limits.1);
        self.variance *= 1.0 - gain * weight;
    }
}

/// What a task that fills would do to the tasks that serve on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRisk {
    /// The worst load that is expected, as a share of the load at the target.
    pub load_ratio: f64,
    /// The most that the task itself adds to a load.
    pub added_load: f64,
    /// Whether a pair that was never seen is among those that decide it.
    pub is_unmeasured: bool,
}

impl PlacementRisk {
    /// Whether the task puts no target in danger.
    ///
    /// ```
    /// use greengagearch::workflow::pair_interference::PlacementRisk;
    ///
    /// assert!(PlacementRisk { load_ratio: 0.5, added_load: 0.1, is_unmeasured: false }.is_low());
    /// ```
    pub fn is_low(&self) -> bool {
        self.load_ratio <= ALLOWED_PRESSURE || self.added_load <= LIGHT_LOAD
    }
}

/// The learner.
#[derive(Clone, Debug, Default)]
pub struct PairInterferenceModel {
    pub(crate) min_tails: BTreeMap<ImageName, f64>,
    /// By job and step, whose tasks swing alike.
    loads: BTreeMap<JobId, BTreeMap<u32, Estimate>>,
    /// By the image that serves, then by the one that fills.
    pub(crate) pairs: BTreeMap<ImageName, BTreeMap<ImageName, Estimate>>,
}

impl PairInterferenceModel {
    /// Learns from the tails that a worker has just reported.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let mut inventory = WorkerInventory::default();
    /// PairInterferenceModel::default().learn(inventory.entry("i-1", Instant::now()), Instant::now());
    /// ```
    pub fn learn(&mut self, worker: &WorkerEntry, now: Instant) {
        let mut tails: BTreeMap<(JobId, u32), Vec<(f64, &AssignedRun)>> = BTreeMap::new();
        for (key, run) in worker.assigned.iter().filter(|(_, run)| run.target_ms > 0) {
            let tail = run.last_report.as_ref().map_or(0, |seen| seen.usage) as f64;
            if tail > 0.0 {
                let least = self.min_tails.entry(run.image.clone()).or_insert(tail);
                *least = least.min(tail);
                tails.entry(load_key(&key.0)).or_default().push((tail, run));
            }
        }
        let Some(fills) = measured_fills(worker, now) else {
            return;
        };
        for (key, mut tails) in tails {
            tails.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (tail, run) = tails[(tails.len() - 1) / 2];
            self.learn_tail(key, run, tail, &fills, now);
        }
    }

    fn learn_tail(
        &mut self,
        key: (JobId, u32),
        run: &AssignedRun,
        tail: f64,
        fills: &BTreeMap<ImageName, f64>,
        now: Instant,
    ) {
        let measured = (1.0 - self.idle_tail(run) / tail).clamp(0.0, LARGEST_LOAD);
        let first = Estimate { value: FIRST_LOAD, variance: FIRST_LOAD_VARIANCE, at: now };
        let (job, step) = key;
        let load = self.loads.entry(job).or_default().entry(step).or_insert(first);
        load.drift(now, LOAD_DRIFT, FIRST_LOAD_VARIANCE);
        let noise = SAMPLE_VARIANCE + (TAIL_NOISE * (1.0 - measured)).powi(2);
        let (mut expected, mut spread) = (load.value, load.variance + noise);
        let pairs = self.pairs.entry(run.image.clone()).or_default();
        for (image, weight) in fills {
            let first = Estimate { value: FIRST_ADDED, variance: FIRST_ADDED_VARIANCE, at: now };
            let pair = pairs.entry(image.clone()).or_insert(first);
            pair.drift(now, ADDED_DRIFT, FIRST_ADDED_VARIANCE);
            expected += weight * pair.value;
            spread += weight * weight * pair.variance;
        }
        // Tails are cut off where queues grow without end; how far the load is beyond is not seen.
        let is_saturated = measured > SATURATED_LOAD && expected < measured;
        let surprise = measured - expected + if is_saturated { SATURATION_EXCESS } else { 0.0 };
        load.correct(surprise, 1.0, spread, (0.0, LARGEST_LOAD));
        for (image, weight) in fills {
            if let Some(pair) = pairs.get_mut(image) {
                pair.correct(surprise, *weight, spread, (0.0, 2.0));
            }
        }
    }

    /// Forgets the loads of a job that has ended.
    ///
    /// ```
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    ///
    /// PairInterferenceModel::default().forget_job("a");
    /// ```
    pub fn forget_job(&mut self, job: &str) {
        self.loads.remove(job);
    }

    /// The tail of a serving run without any load, in milliseconds.
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
        let least = self.min_tails.get(&run.image);
        least.map_or(run.target_ms as f64 * FIRST_IDLE_SHARE, |least| least * IDLE_SHARE)
    }

    /// The tail of an image that serves without any load, in milliseconds; zero when none was seen.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert_eq!(model.idle_tail_of_image("x"), 0.0);
    /// ```
    pub fn idle_tail_of_image(&self, image: &str) -> f64 {
        self.min_tails.get(image).map_or(0.0, |least| least * IDLE_SHARE)
    }

    /// What a task of an image that fills would do on a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::pair_interference::PairInterferenceModel;
    /// use greengagearch::workflow::worker_inventory::WorkerInventory;
    ///
    /// let mut inventory = WorkerInventory::default();
    /// let risk = PairInterferenceModel::default().risk(inventory.entry("i-1", Instant::now()), "x");
    /// assert_eq!(risk.load_ratio, 0.0);
    /// ```
    pub fn risk(&self, worker: &WorkerEntry, image: &str) -> PlacementRisk {
        let mut risk = PlacementRisk { load_ratio: 0.0, added_load: 0.0, is_unmeasured: false };
        let mut last_step = None;
        for (key, run) in worker.assigned.iter().filter(|(_, run)| run.target_ms > 0) {
            // Tasks of one step come one after another, and one says what all do.
            let step = Some((key.0.job.as_str(), key.0.step));
            if std::mem::replace(&mut last_step, step) == step {
                continue;
            }
            let load = self.load(&key.0).map_or(FIRST_LOAD, |load| load.value);
            let fills = worker.assigned.values().filter(|other| other.best_effort);
            let added: f64 = fills.map(|other| self.added(&run.image, &other.image)).sum();
            let own = self.added(&run.image, image);
            let expected = load + SWING_ROOM + added + own;
            risk.added_load = risk.added_load.max(own);
            risk.load_ratio = risk.load_ratio.max(expected / self.target_load(run));
            risk.is_unmeasured |= self.pair(&run.image, image).is_none();
        }
        risk
    }

    /// What one task of an image that fills adds to the loads of the images that it was seen beside.
    ///
    /// ```
    /// let model = greengagearch::workflow::pair_interference::PairInterferenceModel::default();
    /// assert!(model.effects("x").is_empty());
    /// ```
    pub fn effects(&self, image: &str) -> Vec<ImageEffect> {
        let effect = |(serving, pairs): (&ImageName, &BTreeMap<ImageName, Estimate>)| {
            let added_permille = (pairs.get(image)?.value * 1_000.0) as u32;
            Some(ImageEffect { serving: serving.clone(), added_permille })
        };
        self.pairs.iter().filter_map(effect).collect()
    }

    /// All pairs that were learned, as `serving/filling=load`, for the log.
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

    /// All pairs: the image that serves, the one that fills, and what is known of them.
    pub(crate) fn each_pair(&self) -> impl Iterator<Item = (&ImageName, &ImageName, &Estimate)> {
        self.pairs.iter().flat_map(|(serving, pairs)| {
            pairs.iter().map(move |(filling, pair)| (serving, filling, pair))
        })
    }

    fn load(&self, task: &TaskName) -> Option<&Estimate> {
        self.loads.get(&task.job)?.get(&task.step)
    }

    fn pair(&self, serving: &str, filling: &str) -> Option<&Estimate> {
        self.pairs.get(serving)?.get(filling)
    }

    fn added(&self, serving: &str, image: &str) -> f64 {
        self.pair(serving, image).map_or(FIRST_ADDED, |pair| pair.value)
    }

    /// The load at which a run's tail is at its target.
    fn target_load(&self, run: &AssignedRun) -> f64 {
        (1.0 - self.idle_tail(run) / run.target_ms as f64).max(0.1)
    }
}

/// The step whose tasks share a load.
fn load_key(name: &TaskName) -> (JobId, u32) {
    (name.job.clone(), name.step)
}

/// Tasks that filled on a worker in the span that its newest tails tell of, by image, one at half pace as one
/// half; nothing when one of them ran for a part of the span that counts neither in full nor not at all.
fn measured_fills(worker: &WorkerEntry, now: Instant) -> Option<BTreeMap<ImageName, f64>> {
    let span_start = now.checked_sub(MEASURED_SPAN)?;
    let mut fills = BTreeMap::new();
    let mut add = |image: &str, begin: Instant, end: Instant, percent: u32| {
        let overlap = end.min(now).saturating_duration_since(begin.max(span_start));
        if overlap >= FULL_OVERLAP {
            *fills.entry(image.to_string()).or_default() += f64::from(percent) / 100.0;
        }
        overlap >= FULL_OVERLAP || overlap < LEAST_OVERLAP
    };
    let mut is_clear = true;
    for run in worker.assigned.values().filter(|run| run.best_effort) {
        if let Some(begin) = run.first_reported_at {
            let measured = run.last_report.as_ref().map_or(0, |seen| seen.measured_percent);
            is_clear &= add(&run.image, begin, now, measured);
        }
    }
    for ended in &worker.ended_best_effort {
        is_clear &= add(&ended.image, ended.started_at, ended.ended_at, ended.pace_percent);
    }
    is_clear.then_some(fills)
}
