//! Measurements of the planner for its forecast.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::workflow::admission::admission_control::AdmissionControl;
use crate::workflow::admission::admission_control::AdmissionRequest;
use crate::workflow::admission::admission_control::AdmissionResponse;
use crate::workflow::admission::admission_control::BacklogSample;
use crate::workflow::admission::admission_policy::AdmissionPolicy;
use crate::workflow::admission::backlog_forecast::BacklogForecast;
use crate::workflow::admission::backlog_forecast::size_bucket;
use crate::workflow::admission::job_demand::ClassKey;
use crate::workflow::admission::job_demand::WorkClass;
use crate::workflow::admission::job_demand::is_refusable;
use crate::workflow::admission::work_rate::RateSample;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::urgency::JobUrgency;
use crate::workflow::worker_entry::SERVING_UTILIZATION;
use crate::workflow::worker_entry::WorkerEntry;

/// Part of the available capacity from which on tasks that wait or are throttled show that a class
/// is saturated. Less may wait for a moment, or for a worker that only it needs.
const SATURATION_SHARE: f64 = 0.1;

impl Planner {
    /// Computes the next forecast. The first one continues the rates that an earlier planner has
    /// published.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::admission_policy::AdmissionPolicy;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.update_admission(AdmissionPolicy { worthless_after: 3.0 }, None);
    /// assert_eq!(planner.admission().forecast().unwrap().number, 1);
    /// ```
    pub fn update_admission(
        &mut self,
        policy: AdmissionPolicy,
        inherited: Option<&BacklogForecast>,
    ) {
        if let Some(inherited) = inherited {
            self.admission.inherit(inherited);
        }
        let sample = self.backlog_sample();
        let (jobs, ended_jobs) = (&self.jobs, &self.ended_jobs);
        let is_known = |job: &str| jobs.contains_key(job) || ended_jobs.contains_key(job);
        self.admission.update(policy, sample, self.now, is_known);
    }

    /// Answers a host that would refuse a job.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::admission_control::*;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// let request = AdmissionRequest { job: "a".into(), demand };
    /// assert_eq!(planner.request_admission(&request), AdmissionResponse::Unknown);
    /// ```
    pub fn request_admission(&mut self, request: &AdmissionRequest) -> AdmissionResponse {
        let job = &request.job;
        let is_known = self.jobs.contains_key(job) || self.ended_jobs.contains_key(job);
        self.admission.answer(request, self.now, is_known)
    }

    /// Forecast and places.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.admission().forecast().is_none());
    /// ```
    pub fn admission(&self) -> &AdmissionControl {
        &self.admission
    }

    /// Forecast and places, to take what has expired.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.admission_mut().take_expired().is_empty());
    /// ```
    pub fn admission_mut(&mut self) -> &mut AdmissionControl {
        &mut self.admission
    }

    /// Measures usage, capacity and open work of each class. Jobs that are worthless come last in
    /// the order and precede no new job, so that they do not count.
    fn backlog_sample(&self) -> BacklogSample {
        let mut sample = BacklogSample::default();
        let mut unmet: BTreeMap<ClassKey, f64> = BTreeMap::new();
        let mut late_jobs: HashSet<&str> = HashSet::new();
        for (job, entry) in self.jobs.iter().filter(|(_, entry)| entry.end.is_none()) {
            let urgency = JobUrgency::of(entry, self.wall_ms);
            if urgency.is_late() {
                late_jobs.insert(job.as_str());
            }
            let is_long_running = entry.spec.steps.iter().any(|step| step.long_running);
            if is_long_running || urgency.is_worthless() {
                continue;
            }
            let key = (entry.spec.policy.service.clone(), WorkClass::of(&entry.spec));
            *unmet.entry(key.clone()).or_default() += waiting_millicores(entry);
            let core_ms = self.remaining_core_ms(entry);
            let place = (entry.spec.policy.priority, size_bucket(core_ms), urgency.is_late());
            *sample.open.entry(key).or_default().entry(place).or_default() += core_ms;
        }
        for (_, worker) in self.inventory.iter().filter(|(_, worker)| worker.is_open(self.now)) {
            let Some(service) = worker.status.as_ref().map(|status| &status.service) else {
                continue;
            };
            for (class, measured, throttled) in measure_worker(worker, &late_jobs) {
                let key = (service.clone(), class);
                let total = sample.rates.entry(key.clone()).or_default();
                total.done += measured.done;
                total.done_on_time += measured.done_on_time;
                total.available += measured.available;
                *unmet.entry(key).or_default() += throttled;
            }
        }
        for (key, rate) in &mut sample.rates {
            let lacking = unmet.get(key).copied().unwrap_or(0.0);
            rate.is_saturated = lacking > SATURATION_SHARE * rate.available;
        }
        sample
    }

    /// Remaining work of a job. A job without measured progress needs its declared work times the
    /// ratio that its queue has shown.
    fn remaining_core_ms(&self, entry: &JobEntry) -> u64 {
        let core_ms = entry.remaining_work().remaining_core_ms;
        if entry.forecast.measured_work(&entry.spec).is_some() {
            return core_ms;
        }
        (core_ms as f64 * self.admission.ratios.ratio(&entry.spec.policy.queue)) as u64
    }
}

/// Learns from a job that is completed how its work compares with what was declared.
pub(crate) fn learn_ratio(admission: &mut AdmissionControl, entry: &JobEntry) {
    if !is_refusable(&entry.spec) {
        return;
    }
    if let Some(work) = entry.forecast.measured_work(&entry.spec) {
        admission.ratios.record(&entry.spec.policy.queue, work);
    }
}

/// Usage and capacity of a worker by class, and the part of its requests by which runs are
/// throttled, in thousandths of a core.
fn measure_worker(
    worker: &WorkerEntry,
    late_jobs: &HashSet<&str>,
) -> [(WorkClass, RateSample, f64); 2] {
    let capacity = worker.status.as_ref().map_or(0, |status| status.capacity.millicores) as f64;
    let (mut best_effort, mut reserved) = (RateSample::default(), RateSample::default());
    let (mut long_running, mut throttled) = (0.0, 0.0);
    for (key, run) in &worker.assigned {
        let is_late = late_jobs.contains(key.0.job.as_str());
        let requested = run.millicores as f64;
        let report = run.last_report.as_ref();
        if run.best_effort {
            let pace = report.map_or(100, |report| report.pace_percent.min(100));
            throttled += requested * f64::from(100 - pace) / 100.0;
            let usage = report.map_or(0, |report| report.usage) as f64;
            best_effort.done += usage;
            best_effort.done_on_time += if is_late { 0.0 } else { usage };
        } else if run.long_running {
            long_running += requested;
        } else {
            reserved.done += requested;
            reserved.done_on_time += if is_late { 0.0 } else { requested };
        }
    }
    let unused = capacity - (long_running + reserved.done) * SERVING_UTILIZATION;
    best_effort.available = unused.max(0.0);
    reserved.available = (capacity - long_running).max(0.0);
    [(WorkClass::BestEffort, best_effort, throttled), (WorkClass::Reserved, reserved, 0.0)]
}

/// Processor time that the waiting tasks of a job request, in thousandths of a core.
fn waiting_millicores(entry: &JobEntry) -> f64 {
    let mut waiting = 0;
    for (occurrence, steps) in &entry.progress.open {
        for (tasks, step) in steps.iter().zip(&entry.spec.steps) {
            if entry.progress.is_ready(*occurrence, step) {
                let idle = tasks.iter().filter(|task| !task.done && task.attempts.is_empty());
                waiting += idle.count() as u64 * step.resources.millicores;
            }
        }
    }
    waiting as f64
}
