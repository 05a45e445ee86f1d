//! Ejection of slow workers, and the probes that readmit them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::ServiceName;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_speed::speed_model::USUAL_SPEED;
use crate::workflow::worker_speed::speed_model::WorkerSpeed;
use crate::workflow::worker_speed::speed_sample::SpeedSample;

/// Speed below which a worker is ejected.
pub const EJECTION_SPEED: f64 = 0.5;
/// Distinct tasks that have to be slow on a worker before it is ejected.
const SLOW_TASKS: usize = 3;
/// The same for a worker that reported recently that it is unwell. Such a report alone decides
/// nothing, since health reports may be wrong.
const SLOW_TASKS_IF_UNWELL: usize = 2;
/// Time for which a report that a worker is unwell counts.
const HEALTH_REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Probes that have to run fast before a worker is readmitted.
const PASSED_PROBES: usize = 2;
/// One in so many workers of a service is ejected at most.
const WORKERS_PER_EJECTION: usize = 5;
/// Time without a probe after an ejection and after a slow probe. Workers are slow for several
/// seconds, and each probe delays a task.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a probe that was not measured allows another one: longer than most tasks take
/// at full speed.
const PROBE_LIMIT: Duration = Duration::from_secs(3);
/// Time after its last slow sample for which an ejected worker counts as slow. Later it waits for
/// its probes and says nothing about the fleet.
const RECENT_SLOWNESS: Duration = Duration::from_secs(5);
/// Time without a slow sample after which a worker is readmitted without probes, since a service
/// may have no task that can serve as a probe.
const EJECTION_LIMIT: Duration = Duration::from_secs(30);
/// Time without new ejections in a service after too many of its workers were slow at once. Keeps
/// workers from being ejected and readmitted in turn while their number is about the limit.
const FLEET_SLOW_PAUSE: Duration = Duration::from_secs(3);

/// Learned speeds of the workers of each service; `None` for unknown ones.
pub type ServiceSpeeds = BTreeMap<ServiceName, BTreeMap<InstanceId, Option<WorkerSpeed>>>;

/// Why a worker is readmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadmissionReason {
    /// Its probes ran at about the speed of other workers.
    Probes,
    /// So many workers of its service are slow that the median says little.
    FleetSlow,
    /// There has been no sample of it for long.
    NoSamples,
}

/// A change in the standing of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum EjectionChange {
    /// It was found to be slow.
    Slow(InstanceId, WorkerSpeed),
    /// It gets only probes from now on.
    Ejected(InstanceId, WorkerSpeed),
    /// It gets tasks as before.
    Readmitted(InstanceId, ReadmissionReason, Option<WorkerSpeed>),
}

impl EjectionChange {
    /// Label of this kind of change in the log and in the metrics.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::worker_ejection::EjectionChange;
    /// use greengagearch::workflow::worker_speed::worker_ejection::ReadmissionReason;
    ///
    /// let change = EjectionChange::Readmitted("i-1".into(), ReadmissionReason::Probes, None);
    /// assert_eq!(change.label(), "worker_readmitted");
    /// ```
    pub fn label(&self) -> &'static str {
        match self {
            EjectionChange::Slow(..) => "worker_slow",
            EjectionChange::Ejected(..) => "worker_ejected",
            EjectionChange::Readmitted(..) => "worker_readmitted",
        }
    }
}

#[derive(Clone, Debug)]
struct EjectedWorker {
    since: Instant,
    last_slow_at: Instant,
    next_probe_at: Instant,
    /// The task that tries the worker, and since when.
    probe: Option<(TaskName, Instant)>,
    passed: BTreeSet<TaskName>,
}

impl EjectedWorker {
    fn new(now: Instant) -> EjectedWorker {
        EjectedWorker {
            since: now,
            last_slow_at: now,
            next_probe_at: now + PROBE_PAUSE,
            probe: None,
            passed: BTreeSet::new(),
        }
    }

    fn may_probe(&self, now: Instant) -> bool {
        let free_at =
            self.probe.as_ref().map_or(self.next_probe_at, |(_, since)| *since + PROBE_LIMIT);
        now >= free_at.max(self.next_probe_at)
    }
}

/// Which workers are ejected.
#[derive(Clone, Debug, Default)]
pub struct WorkerEjection {
    ejected: BTreeMap<InstanceId, EjectedWorker>,
    /// Workers that are known to be slow, each of which is reported once.
    slow: BTreeSet<InstanceId>,
    /// When workers last reported that they are unwell.
    unwell: BTreeMap<InstanceId, Instant>,
    fleet_slow_until: BTreeMap<ServiceName, Instant>,
}

impl WorkerEjection {
    /// Ejects and readmits workers by their learned speeds. Workers that are not listed are gone,
    /// and their state is deleted.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// let mut ejection = WorkerEjection::default();
    /// assert!(ejection.evaluate(&Default::default(), Instant::now()).is_empty());
    /// ```
    pub fn evaluate(&mut self, services: &ServiceSpeeds, now: Instant) -> Vec<EjectionChange> {
        let known: BTreeSet<&InstanceId> = services.values().flat_map(BTreeMap::keys).collect();
        self.ejected.retain(|worker, _| known.contains(worker));
        self.slow.retain(|worker| known.contains(worker));
        let is_current = |at: &Instant| now.saturating_duration_since(*at) < HEALTH_REPORT_LIFETIME;
        self.unwell.retain(|worker, at| known.contains(worker) && is_current(at));
        self.fleet_slow_until.retain(|_, until| now < *until);
        let mut changes = Vec::new();
        for (service, workers) in services {
            self.evaluate_service(service, workers, now, &mut changes);
        }
        changes
    }

    fn evaluate_service(
        &mut self,
        service: &ServiceName,
        workers: &BTreeMap<InstanceId, Option<WorkerSpeed>>,
        now: Instant,
        changes: &mut Vec<EjectionChange>,
    ) {
        let mut slow: Vec<(InstanceId, WorkerSpeed)> = Vec::new();
        for (worker, speed) in workers {
            match speed.filter(|speed| self.is_slow(worker, speed)) {
                Some(speed) => slow.push((worker.clone(), speed)),
                None => drop(self.slow.remove(worker)),
            }
        }
        slow.sort_by(|a, b| a.1.speed.total_cmp(&b.1.speed));
        for (worker, speed) in &slow {
            if self.slow.insert(worker.clone()) {
                changes.push(EjectionChange::Slow(worker.clone(), *speed));
            }
            // A speed that is old says nothing about the present.
            if let Some(ejected) = self.ejected.get_mut(worker)
                && speed.age < PROBE_PAUSE
            {
                ejected.last_slow_at = now;
            }
        }
        self.readmit(workers, now, changes);
        let limit = workers.len() / WORKERS_PER_EJECTION;
        let is_recent = |ejected: &EjectedWorker| {
            now.saturating_duration_since(ejected.last_slow_at) < RECENT_SLOWNESS
        };
        let ejected = self.ejected.iter().filter(|(worker, _)| workers.contains_key(*worker));
        let recent = ejected.filter(|(_, ejected)| is_recent(ejected)).map(|(worker, _)| worker);
        let affected: BTreeSet<&InstanceId> =
            recent.chain(slow.iter().map(|(worker, _)| worker)).collect();
        if affected.len() > limit {
            self.fleet_slow_until.insert(service.clone(), now + FLEET_SLOW_PAUSE);
            for (worker, speed) in workers {
                if self.ejected.remove(worker).is_some() {
                    let reason = ReadmissionReason::FleetSlow;
                    changes.push(EjectionChange::Readmitted(worker.clone(), reason, *speed));
                }
            }
        }
        if self.fleet_slow_until.contains_key(service) {
            return;
        }
        let ejected = self.ejected.keys().filter(|worker| workers.contains_key(*worker)).count();
        slow.retain(|(worker, _)| !self.ejected.contains_key(worker));
        for (worker, speed) in slow.into_iter().take(limit.saturating_sub(ejected)) {
            self.ejected.insert(worker.clone(), EjectedWorker::new(now));
            changes.push(EjectionChange::Ejected(worker, speed));
        }
    }

    fn is_slow(&self, worker: &str, speed: &WorkerSpeed) -> bool {
        let is_unwell = self.unwell.contains_key(worker);
        let tasks = if is_unwell { SLOW_TASKS_IF_UNWELL } else { SLOW_TASKS };
        speed.is_below(EJECTION_SPEED, tasks)
    }

    fn readmit(
        &mut self,
        workers: &BTreeMap<InstanceId, Option<WorkerSpeed>>,
        now: Instant,
        changes: &mut Vec<EjectionChange>,
    ) {
        for (worker, speed) in workers {
            let Some(ejected) = self.ejected.get(worker) else {
                continue;
            };
            let idle = now.saturating_duration_since(ejected.last_slow_at);
            let reason = if ejected.passed.len() >= PASSED_PROBES {
                ReadmissionReason::Probes
            } else if idle >= EJECTION_LIMIT {
                ReadmissionReason::NoSamples
            } else {
                continue;
            };
            self.ejected.remove(worker);
            changes.push(EjectionChange::Readmitted(worker.clone(), reason, *speed));
        }
    }

    /// Records a sample. On an ejected worker it is the result of a probe, or of a run that was
    /// there before.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::speed_sample::SpeedSample;
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// let (worker, task) = ("i-1".to_string(), "a.0.0.0".parse().unwrap());
    /// let (speed, taken_at, is_serving) = (1.0, Instant::now(), false);
    /// let sample = SpeedSample { worker, task, speed, taken_at, is_serving };
    /// WorkerEjection::default().on_sample(&sample);
    /// ```
    pub fn on_sample(&mut self, sample: &SpeedSample) {
        let Some(ejected) = self.ejected.get_mut(&sample.worker) else {
            return;
        };
        let is_probe = ejected.probe.as_ref().is_some_and(|(task, _)| *task == sample.task);
        // Runs that were there before had a part of their progress before the ejection.
        if !is_probe && sample.taken_at < ejected.since + PROBE_PAUSE {
            return;
        }
        if sample.speed > USUAL_SPEED && !sample.is_serving {
            ejected.passed.insert(sample.task.clone());
            if is_probe {
                ejected.probe = None;
            }
            return;
        }
        ejected.passed.remove(&sample.task);
        // A serving task may have more load than the others of its step, for as long as it runs.
        // Alone it must not keep its worker ejected; several of them do in `evaluate`.
        if sample.speed < EJECTION_SPEED && !sample.is_serving {
            ejected.last_slow_at = sample.taken_at;
        }
        if is_probe {
            ejected.next_probe_at = sample.taken_at + PROBE_PAUSE;
        }
    }

    /// Records a start. On an ejected worker the task is the probe from then on.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// let task = "a.0.0.0".parse().unwrap();
    /// WorkerEjection::default().on_start("i-1", &task, Instant::now());
    /// ```
    pub fn on_start(&mut self, worker: &str, task: &TaskName, now: Instant) {
        if let Some(ejected) = self.ejected.get_mut(worker) {
            ejected.probe = Some((task.clone(), now));
        }
    }

    /// Ends the probes of tasks that are no longer on their worker. The worker keeps its pause.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// WorkerEjection::default().end_probes(|_, _| false);
    /// ```
    pub fn end_probes(&mut self, is_running: impl Fn(&str, &TaskName) -> bool) {
        for (worker, ejected) in &mut self.ejected {
            ejected.probe.take_if(|(task, _)| !is_running(worker, task));
        }
    }

    /// Records that a worker reported itself as unwell.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// WorkerEjection::default().on_unwell("i-1", Instant::now());
    /// ```
    pub fn on_unwell(&mut self, worker: &str, now: Instant) {
        self.unwell.insert(worker.to_string(), now);
    }

    /// Returns whether a worker is ejected.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// assert!(!WorkerEjection::default().is_ejected("i-1"));
    /// ```
    pub fn is_ejected(&self, worker: &str) -> bool {
        self.ejected.contains_key(worker)
    }

    /// The ejected workers.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// assert_eq!(WorkerEjection::default().workers().count(), 0);
    /// ```
    pub fn workers(&self) -> impl Iterator<Item = &InstanceId> {
        self.ejected.keys()
    }

    /// Number of ejected workers.
    ///
    /// ```
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// assert_eq!(WorkerEjection::default().count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.ejected.len()
    }

    /// Returns whether a task may start on a worker; `may_be_probe` tells whether its speed can be
    /// measured there.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::worker_ejection::WorkerEjection;
    ///
    /// assert!(WorkerEjection::default().may_start("i-1", false, Instant::now()));
    /// ```
    pub fn may_start(&self, worker: &str, may_be_probe: bool, now: Instant) -> bool {
        let ejected = self.ejected.get(worker);
        ejected.is_none_or(|ejected| may_be_probe && ejected.may_probe(now))
    }
}

#[cfg(test)]
mod tests {
    use assert_matches::assert_matches;

    use super::*;

    const FAST: Option<WorkerSpeed> = Some(WorkerSpeed {
        speed: 1.0,
        lowest: [0.9, 1.0, 1.1],
        tasks: 4,
        age: Duration::ZERO,
        has_fast_task: true,
    });

    fn slow(speed: f64) -> Option<WorkerSpeed> {
        let lowest = [speed; 3];
        Some(WorkerSpeed { speed, lowest, tasks: 3, age: Duration::ZERO, has_fast_task: false })
    }

    /// A service of ten workers, the first of which have the given speeds.
    fn ten(speeds: &[Option<WorkerSpeed>]) -> ServiceSpeeds {
        let speed = |number: usize| speeds.get(number).copied().unwrap_or(FAST);
        let workers = (0..10).map(|number| (format!("i-{number}"), speed(number)));
        [("s".to_string(), workers.collect())].into()
    }

    fn sample(task: &str, speed: f64, taken_at: Instant) -> SpeedSample {
        let (worker, task) = ("i-0".to_string(), task.parse().unwrap());
        SpeedSample { worker, task, speed, taken_at, is_serving: false }
    }

    #[test]
    fn slow_workers_are_ejected_up_to_a_fifth_of_the_service() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        assert!(ejection.evaluate(&ten(&[]), now).is_empty());
        let changes = ejection.evaluate(&ten(&[slow(0.3), slow(0.2)]), now);
        let ejected: Vec<&str> = changes
            .iter()
            .filter_map(|change| match change {
                EjectionChange::Ejected(worker, _) => Some(worker.as_str()),
                _ => None,
            })
            .collect();
        assert_eq!(ejected, ["i-1", "i-0"], "the slowest first");
    }

    /// If more workers are slow than may be ejected, the load or the network is to blame, and the
    /// others could not take over their work.
    #[test]
    fn nothing_is_ejected_when_the_fleet_is_slow() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.evaluate(&ten(&[slow(0.2)]), now);
        assert!(ejection.is_ejected("i-0"));
        let many = ten(&[slow(0.2), slow(0.2), slow(0.2)]);
        let changes = ejection.evaluate(&many, now);
        assert_matches!(
            changes.last(),
            Some(EjectionChange::Readmitted(_, ReadmissionReason::FleetSlow, _))
        );
        assert_eq!(ejection.count(), 0);
        ejection.evaluate(&ten(&[slow(0.2)]), now + Duration::from_secs(1));
        assert_eq!(ejection.count(), 0, "not back and forth");
        ejection.evaluate(&ten(&[slow(0.2)]), now + FLEET_SLOW_PAUSE);
        assert_eq!(ejection.count(), 1);
    }

    /// Workers that recover while others become slow must not count as a slow fleet.
    #[test]
    fn no_more_than_a_fifth_is_ejected_while_others_recover() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.evaluate(&ten(&[slow(0.2)]), now);
        let later = now + RECENT_SLOWNESS;
        let changes = ejection.evaluate(&ten(&[None, slow(0.3), slow(0.2)]), later);
        let ejected = EjectionChange::Ejected("i-2".into(), slow(0.2).unwrap());
        assert_eq!(changes.last(), Some(&ejected));
        assert_eq!(ejection.count(), 2);
        assert!(ejection.is_ejected("i-0") && !ejection.is_ejected("i-1"));
    }

    #[test]
    fn two_fast_probes_one_after_the_other_readmit_a_worker() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.evaluate(&ten(&[slow(0.2)]), now);
        assert!(!ejection.may_start("i-0", true, now), "a pause comes first");
        let probed = now + PROBE_PAUSE;
        assert!(!ejection.may_start("i-0", false, probed), "only what can be measured");
        assert!(ejection.may_start("i-0", true, probed));
        ejection.on_start("i-0", &"a.0.0.0".parse().unwrap(), probed);
        assert!(!ejection.may_start("i-0", true, probed), "one at a time");
        ejection.on_sample(&sample("a.0.0.0", 0.9, probed));
        assert!(ejection.evaluate(&ten(&[None]), probed).is_empty(), "one is not enough");
        assert!(ejection.may_start("i-0", true, probed));
        ejection.on_start("i-0", &"a.0.0.1".parse().unwrap(), probed);
        ejection.on_sample(&sample("a.0.0.1", 1.0, probed));
        let changes = ejection.evaluate(&ten(&[None]), probed);
        let readmitted = EjectionChange::Readmitted("i-0".into(), ReadmissionReason::Probes, None);
        assert_eq!(changes, [readmitted]);
        assert!(ejection.may_start("i-0", false, probed));
    }

    /// A service without best-effort work has no probes, and its tasks run for months.
    #[test]
    fn one_serving_task_with_more_load_does_not_keep_a_worker_ejected() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.evaluate(&ten(&[slow(0.2)]), now);
        for second in 0..30 {
            let at = now + Duration::from_secs(second);
            ejection.on_sample(&SpeedSample { is_serving: true, ..sample("a.0.0.0", 0.3, at) });
        }
        let changes = ejection.evaluate(&ten(&[None]), now + EJECTION_LIMIT);
        let reason = ReadmissionReason::NoSamples;
        assert_eq!(changes, [EjectionChange::Readmitted("i-0".into(), reason, None)]);
    }

    #[test]
    fn a_slow_probe_is_followed_by_a_pause() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.evaluate(&ten(&[slow(0.2)]), now);
        let probed = now + PROBE_PAUSE;
        ejection.on_start("i-0", &"a.0.0.0".parse().unwrap(), probed);
        ejection.on_sample(&sample("a.0.0.0", 0.2, probed));
        ejection.end_probes(|_, _| false);
        assert!(!ejection.may_start("i-0", true, probed));
        assert!(ejection.may_start("i-0", true, probed + PROBE_PAUSE));
    }

    /// Health reports may be wrong: a worker that reports itself as unwell and is fast stays.
    #[test]
    fn a_health_report_is_evidence_but_does_not_decide() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.on_unwell("i-0", now);
        assert!(ejection.evaluate(&ten(&[]), now).is_empty());
        let two = WorkerSpeed { lowest: [0.2, 0.2, 0.7], ..slow(0.2).unwrap() };
        ejection.evaluate(&ten(&[Some(two), Some(two)]), now);
        assert!(ejection.is_ejected("i-0") && !ejection.is_ejected("i-1"));
    }

    /// A service without tasks that can serve as probes must not lose workers for ever.
    #[test]
    fn an_ejection_without_samples_expires_and_a_worker_that_is_gone_is_deleted() {
        let now = Instant::now();
        let mut ejection = WorkerEjection::default();
        ejection.evaluate(&ten(&[slow(0.2)]), now);
        let changes = ejection.evaluate(&ten(&[None]), now + EJECTION_LIMIT);
        let readmitted =
            EjectionChange::Readmitted("i-0".into(), ReadmissionReason::NoSamples, None);
        assert_eq!(changes, [readmitted]);
        ejection.evaluate(&ten(&[slow(0.2)]), now + EJECTION_LIMIT);
        assert!(ejection.evaluate(&ServiceSpeeds::new(), now + EJECTION_LIMIT).is_empty());
        assert!(ejection.ejected.is_empty() && ejection.slow.is_empty());
    }
}
