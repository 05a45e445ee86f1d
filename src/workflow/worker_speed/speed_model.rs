//! Speed of each worker, from samples of several tasks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::workflow::advice_cache::StepKey;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;
use crate::workflow::worker_speed::speed_sample::ProgressReport;
use crate::workflow::worker_speed::speed_sample::RateWindow;
use crate::workflow::worker_speed::speed_sample::SampleGroup;
use crate::workflow::worker_speed::speed_sample::SpeedSample;
use crate::workflow::worker_speed::speed_sample::TaskRate;
use crate::workflow::worker_speed::speed_sample::reference_rate;

/// Time in which the weight of a sample halves. Workers are slow for seconds, not for minutes.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Age at which a sample is discarded; its weight is an eighth then.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(15);
/// Distinct tasks that have to be sampled before a speed is known. Three tasks of a hundred take
/// seven times as long as the others of their step, wherever they run.
const MIN_TASKS: usize = 3;
/// Least sum of the weights of the samples of a known speed: three samples that are 8 s old.
const MIN_WEIGHT: f64 = 1.0;
/// Speed from which a task counts as running at the usual speed. Tasks of a step differ by a fifth.
pub const USUAL_SPEED: f64 = 0.75;
/// Age up to which the rate of a run describes what it does now.
const MAX_RATE_AGE: Duration = Duration::from_secs(1);

/// Learned speed of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerSpeed {
    /// Weighted median of the samples; 1 is the median of the service.
    pub speed: f64,
    /// The lowest samples, in ascending order.
    pub lowest: [f64; MIN_TASKS],
    /// Number of distinct tasks that were sampled.
    pub tasks: usize,
    /// Age of the newest sample.
    pub age: Duration,
    /// Whether a task that is not a serving task has just run at about the usual speed.
    pub has_fast_task: bool,
}

impl WorkerSpeed {
    /// Returns whether the worker is slower than `limit`: its median is, `tasks` distinct tasks are
    /// (at most three), and no task runs at the usual speed. The median alone would be below the
    /// limit whenever a few large tasks meet on one worker, where they last longer than others.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::workflow::worker_speed::speed_model::WorkerSpeed;
    ///
    /// let age = Duration::ZERO;
    /// let lowest = [0.1, 0.2, 1.0];
    /// let speed = WorkerSpeed { speed: 0.2, lowest, tasks: 3, age, has_fast_task: false };
    /// assert!(speed.is_below(0.5, 2));
    /// assert!(!speed.is_below(0.5, 3));
    /// ```
    pub fn is_below(&self, limit: f64, tasks: usize) -> bool {
        let decisive = self.lowest[tasks.clamp(1, MIN_TASKS) - 1];
        self.speed < limit && decisive < limit && !self.has_fast_task
    }
}

/// What a task shows of its worker.
#[derive(Clone, Debug)]
struct TaskRecord {
    sample: SpeedSample,
    /// Since when the task has been slow.
    slow_since: Option<Instant>,
    /// Whether another task ran at the usual speed beside it. The task itself is large then, and
    /// says nothing about the worker.
    is_large: bool,
}

impl TaskRecord {
    fn new(sample: SpeedSample, previous: Option<&TaskRecord>) -> TaskRecord {
        let is_slow = sample.speed < USUAL_SPEED;
        let since = previous.and_then(|previous| previous.slow_since).unwrap_or(sample.taken_at);
        let is_large = is_slow && previous.is_some_and(|previous| previous.is_large);
        TaskRecord { sample, slow_since: is_slow.then_some(since), is_large }
    }

    /// Records that another task ran at the usual speed on the worker.
    fn on_fast_task(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_current = age(self.sample.taken_at) < MAX_RATE_AGE;
        self.is_large |=
            is_current && self.slow_since.is_some_and(|since| age(since) >= MAX_RATE_AGE);
    }
}

/// Progress, rates and samples of all workers.
#[derive(Clone, Debug, Default)]
pub struct SpeedModel {
    windows: HashMap<RunKey, (InstanceId, RateWindow)>,
    /// The newest rate of each task, also of ended ones, by group and index of the task.
    rates: BTreeMap<SampleGroup, BTreeMap<u32, TaskRate>>,
    samples: BTreeMap<InstanceId, BTreeMap<TaskName, TaskRecord>>,
}

impl SpeedModel {
    /// Adds a report of a run's progress. Returns the sample that it gives, if any.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::speed_model::SpeedModel;
    /// use greengagearch::workflow::worker_speed::speed_sample::ProgressReport;
    ///
    /// let mut model = SpeedModel::default();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// let report = ProgressReport { at: Duration::ZERO, percent: 5, is_full_pace: true };
    /// assert!(model.on_progress("i-1", &key, report, Instant::now()).is_none());
    /// ```
    pub fn on_progress(
        &mut self,
        worker: &str,
        key: &RunKey,
        report: ProgressReport,
        now: Instant,
    ) -> Option<SpeedSample> {
        let start = || (worker.to_string(), RateWindow::default());
        let (on_worker, window) = self.windows.entry(key.clone()).or_insert_with(start);
        if on_worker != worker {
            (*on_worker, *window) = start();
        }
        let rate = window.add(report)?;
        let group = SampleGroup { step: key.0.step_key(), domain: String::new() };
        self.on_rate(group, &key.0, TaskRate { worker: worker.to_string(), rate, at: now })
    }

    /// Adds the rate of a task. Returns the sample that it gives, if any.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::task_name::TaskName;
    /// use greengagearch::workflow::worker_speed::speed_model::SpeedModel;
    /// use greengagearch::workflow::worker_speed::speed_sample::SampleGroup;
    /// use greengagearch::workflow::worker_speed::speed_sample::TaskRate;
    ///
    /// let mut model = SpeedModel::default();
    /// let task: TaskName = "a.0.0.0".parse().unwrap();
    /// let group = SampleGroup { step: task.step_key(), domain: "d".into() };
    /// let rate = TaskRate { worker: "i-1".into(), rate: 0.1, at: Instant::now() };
    /// assert!(model.on_rate(group, &task, rate).is_none());
    /// ```
    pub fn on_rate(
        &mut self,
        group: SampleGroup,
        task: &TaskName,
        rate: TaskRate,
    ) -> Option<SpeedSample> {
        let is_serving = !group.domain.is_empty();
        let rates = self.rates.entry(group).or_default();
        rates.insert(task.index, rate.clone());
        // Tail latencies follow the demand, so that older ones do not compare with new ones.
        let is_comparable = |other: &&TaskRate| {
            !is_serving || rate.at.saturating_duration_since(other.at) < MAX_RATE_AGE
        };
        let others = other_rates(rates, task.index).filter(is_comparable);
        let sample = SpeedSample::compare(task.clone(), &rate, others)?;
        let sample = SpeedSample { is_serving, ..sample };
        let records = self.samples.entry(rate.worker).or_default();
        if sample.speed > USUAL_SPEED && !is_serving {
            records.values_mut().for_each(|record| record.on_fast_task(rate.at));
        }
        let record = TaskRecord::new(sample.clone(), records.get(task));
        records.insert(task.clone(), record);
        Some(sample)
    }

    /// Speed of a worker, if enough tasks were sampled there recently.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::speed_model::SpeedModel;
    ///
    /// assert!(SpeedModel::default().speed("i-1", Instant::now()).is_none());
    /// ```
    pub fn speed(&self, worker: &str, now: Instant) -> Option<WorkerSpeed> {
        let age = |sample: &SpeedSample| now.saturating_duration_since(sample.taken_at);
        let records = self.samples.get(worker)?.values().filter(|record| !record.is_large);
        let samples = records.map(|record| &record.sample);
        let recent = samples.filter(|sample| age(sample) < MAX_SAMPLE_AGE);
        let half_lives =
            |sample: &SpeedSample| age(sample).as_secs_f64() / SAMPLE_HALF_LIFE.as_secs_f64();
        let mut weighted: Vec<(f64, f64)> =
            recent.clone().map(|sample| (sample.speed, 0.5_f64.powf(half_lives(sample)))).collect();
        let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        if weighted.len() < MIN_TASKS || total < MIN_WEIGHT {
            return None;
        }
        weighted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut below = 0.0;
        let median = weighted.iter().find(|(_, weight)| {
            below += weight;
            below >= total / 2.0
        });
        Some(WorkerSpeed {
            speed: median?.0,
            lowest: [weighted[0].0, weighted[1].0, weighted[2].0],
            tasks: weighted.len(),
            age: recent.clone().map(age).min()?,
            has_fast_task: recent.clone().any(|sample| {
                !sample.is_serving && sample.speed > USUAL_SPEED && age(sample) < MAX_RATE_AGE
            }),
        })
    }

    /// Current rate of a run, in percent per millisecond; `None` if it is unknown or outdated.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::speed_model::SpeedModel;
    ///
    /// let task = "a.0.0.0".parse().unwrap();
    /// assert!(SpeedModel::default().rate(&task, "i-1", Instant::now()).is_none());
    /// ```
    pub fn rate(&self, task: &TaskName, worker: &str, now: Instant) -> Option<f64> {
        let rate = self.group(task)?.get(&task.index).filter(|rate| rate.worker == worker)?;
        (now.saturating_duration_since(rate.at) < MAX_RATE_AGE).then_some(rate.rate)
    }

    /// Median rate of the other tasks of a step on workers other than `worker`, in percent per
    /// millisecond.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::speed_model::SpeedModel;
    ///
    /// assert!(SpeedModel::default().reference(&"a.0.0.0".parse().unwrap(), "i-1").is_none());
    /// ```
    pub fn reference(&self, task: &TaskName, worker: &str) -> Option<f64> {
        reference_rate(worker, other_rates(self.group(task)?, task.index))
    }

    fn group(&self, task: &TaskName) -> Option<&BTreeMap<u32, TaskRate>> {
        self.rates.get(&SampleGroup { step: task.step_key(), domain: String::new() })
    }

    /// Discards the samples of a worker, so that only new ones count.
    ///
    /// ```
    /// greengagearch::workflow::worker_speed::speed_model::SpeedModel::default().forget("i-1");
    /// ```
    pub fn forget(&mut self, worker: &str) {
        self.samples.remove(worker);
    }

    /// Discards what belongs to ended runs, steps that are not open and workers that are gone, and
    /// old samples.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::speed_model::SpeedModel;
    ///
    /// SpeedModel::default().retain(|_, _| true, |_| true, |_| true, Instant::now());
    /// ```
    pub fn retain(
        &mut self,
        is_assigned: impl Fn(&str, &RunKey) -> bool,
        is_open: impl Fn(&StepKey) -> bool,
        is_known: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        self.windows.retain(|key, (worker, _)| is_assigned(worker, key));
        self.rates.retain(|group, _| is_open(&group.step));
        let is_recent = |record: &TaskRecord| {
            now.saturating_duration_since(record.sample.taken_at) < MAX_SAMPLE_AGE
        };
        self.samples.values_mut().for_each(|records| records.retain(|_, one| is_recent(one)));
        self.samples.retain(|worker, samples| is_known(worker) && !samples.is_empty());
    }
}

/// Rates of the other tasks of a group, the next ones by index first.
fn other_rates(rates: &BTreeMap<u32, TaskRate>, index: u32) -> impl Iterator<Item = &TaskRate> {
    let following = rates.range((Bound::Excluded(index), Bound::Unbounded));
    following.chain(rates.range(..index)).map(|(_, rate)| rate)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    /// Adds a rate for a task of a job whose other tasks run at 0.1 on other workers.
    fn sample(model: &mut SpeedModel, job: &str, worker: &str, speed: f64, at: Instant) {
        let name = |index: u32| -> TaskName { format!("{job}.0.0.{index}").parse().unwrap() };
        let group = SampleGroup { step: name(0).step_key(), domain: String::new() };
        let rate = |worker: &str, rate| TaskRate { worker: worker.to_string(), rate, at };
        for index in 1..4 {
            model.on_rate(group.clone(), &name(index), rate("other", 0.1));
        }
        assert!(model.on_rate(group, &name(0), rate(worker, 0.1 * speed)).is_some());
    }

    /// Two large tasks and one normal one on a worker are chance; three large ones hardly are.
    #[test]
    fn large_tasks_do_not_make_a_worker_slow() {
        let now = Instant::now();
        let mut model = SpeedModel::default();
        sample(&mut model, "a", "i-1", 0.14, now);
        sample(&mut model, "b", "i-1", 0.14, now);
        assert!(model.speed("i-1", now).is_none(), "two tasks are too few");
        sample(&mut model, "c", "i-1", 1.1, now);
        assert!(!model.speed("i-1", now).unwrap().is_below(0.5, 3));
        sample(&mut model, "d", "i-1", 0.9, now);
        sample(&mut model, "e", "i-1", 1.0, now);
        assert_eq!(model.speed("i-1", now).unwrap().speed, 0.9);
    }

    /// Three large tasks meet on a worker now and then, and last long. Beside a task at the usual
    /// speed they say nothing about the worker.
    #[test]
    fn a_task_at_the_usual_speed_speaks_for_the_worker() {
        let now = Instant::now();
        let mut model = SpeedModel::default();
        for job in ["a", "b", "c"] {
            sample(&mut model, job, "i-1", 0.14, now);
        }
        sample(&mut model, "d", "i-1", 1.0, now);
        assert!(!model.speed("i-1", now).unwrap().is_below(0.5, 3));
        assert!(model.speed("i-1", now + 2 * SECOND).unwrap().is_below(0.5, 3));
        for job in ["a", "b", "c"] {
            sample(&mut model, job, "i-1", 0.14, now + 2 * SECOND);
        }
        sample(&mut model, "e", "i-1", 1.0, now + 2 * SECOND);
        sample(&mut model, "a", "i-1", 0.14, now + 4 * SECOND);
        assert!(model.speed("i-1", now + 4 * SECOND).is_none(), "three tasks are large");
    }

    /// When a worker becomes slow, its runs show it one after the other.
    #[test]
    fn tasks_that_have_just_become_slow_are_not_large() {
        let now = Instant::now();
        let mut model = SpeedModel::default();
        for job in ["a", "b", "c"] {
            sample(&mut model, job, "i-1", 0.2, now);
        }
        sample(&mut model, "d", "i-1", 0.8, now + SECOND / 2);
        sample(&mut model, "d", "i-1", 0.2, now + SECOND);
        assert!(model.speed("i-1", now + SECOND).unwrap().is_below(0.5, 3));
    }

    #[test]
    fn three_slow_tasks_show_a_slow_worker() {
        let now = Instant::now();
        let mut model = SpeedModel::default();
        for (job, speed) in [("a", 0.2), ("b", 0.17), ("c", 0.25)] {
            sample(&mut model, job, "i-1", speed, now);
        }
        let speed = model.speed("i-1", now).unwrap();
        assert!((speed.speed - 0.2).abs() < 1e-9);
        assert!(speed.is_below(0.5, 3));
    }

    /// Slowness ends after seconds. Old samples must not outweigh new ones or last for long.
    #[test]
    fn old_samples_give_way_and_expire() {
        let start = Instant::now();
        let mut model = SpeedModel::default();
        for job in ["a", "b", "c"] {
            sample(&mut model, job, "i-1", 0.2, start);
        }
        let later = start + 8 * SECOND;
        for job in ["d", "e"] {
            sample(&mut model, job, "i-1", 1.0, later);
        }
        assert!((model.speed("i-1", later).unwrap().speed - 1.0).abs() < 1e-9);
        assert!(model.speed("i-1", start + 20 * SECOND).is_none());
    }

    /// A worker whose tails are compared with those of a time of less demand would look slow.
    #[test]
    fn tail_latencies_of_another_time_are_not_compared() {
        let now = Instant::now();
        let mut model = SpeedModel::default();
        let name = |index: u32| -> TaskName { format!("a.0.0.{index}").parse().unwrap() };
        let group = SampleGroup { step: name(0).step_key(), domain: "d".into() };
        let rate = |worker: &str, rate, at| TaskRate { worker: worker.to_string(), rate, at };
        for index in 1..4 {
            model.on_rate(group.clone(), &name(index), rate("other", 0.1, now));
        }
        let later = now + 2 * SECOND;
        assert!(model.on_rate(group.clone(), &name(0), rate("i-1", 0.03, later)).is_none());
        assert!(model.on_rate(group, &name(0), rate("i-1", 0.03, now)).is_some());
    }

    /// A report of one task must not cost more in a step of thousands of tasks.
    #[test]
    fn few_rates_are_compared_in_a_large_step() {
        let others = std::cell::Cell::new(0);
        let rate = TaskRate { worker: "other".into(), rate: 0.1, at: Instant::now() };
        let rates: BTreeMap<u32, TaskRate> =
            (0..20_000).map(|index| (index, rate.clone())).collect();
        let counted = other_rates(&rates, 9_000).inspect(|_| others.set(others.get() + 1));
        assert_eq!(reference_rate("i-1", counted), Some(0.1));
        assert!(others.get() < 100, "{} rates of 20,000 were compared", others.get());
        assert_eq!(other_rates(&rates, 9_000).count(), 19_999);
    }

    #[test]
    fn what_is_gone_is_discarded() {
        let now = Instant::now();
        let mut model = SpeedModel::default();
        for job in ["a", "b", "c"] {
            sample(&mut model, job, "i-1", 0.2, now);
        }
        let key = ("a.0.0.0".parse().unwrap(), 1);
        let report = ProgressReport { at: SECOND, percent: 5, is_full_pace: true };
        model.on_progress("i-1", &key, report, now);
        model.retain(|_, _| false, |_| false, |_| false, now);
        assert!(model.samples.is_empty() && model.rates.is_empty() && model.windows.is_empty());
    }
}
