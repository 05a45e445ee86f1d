//! Admission control under load: a planner with simulated workers, several hosts that admit at the same time, and callers
//! that return when they are told to.

mod planning;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use greengagearch::workflow::admission::admission_control::AdmissionRequest;
use greengagearch::workflow::admission::admission_control::AdmissionResponse;
use greengagearch::workflow::admission::admission_ledger::AdmissionLedger;
use greengagearch::workflow::admission::admission_ledger::ForecastView;
use greengagearch::workflow::admission::admission_policy::AdmissionPolicy;
use greengagearch::workflow::admission::admission_policy::AdmissionVerdict;
use greengagearch::workflow::admission::backlog_forecast::BacklogForecast;
use greengagearch::workflow::admission::job_demand::JobDemand;
use greengagearch::workflow::progress::JobEnd;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const POLICY: AdmissionPolicy = AdmissionPolicy { worthless_after: 3.0 };
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two heartbeats.
const HEARTBEAT: u64 = 4;
const HOSTS: usize = 4;
/// Cores of the simulated workers of [`PlannedFleet`], in thousandths.
const WORKER_MILLICORES: u64 = 4_000;
const WORKERS: [&str; 10] = ["i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8", "i9"];
/// Bulk jobs of 8 core-seconds per second that the 40 cores of the workers complete.
const BULK_CAPACITY: f64 = 5.0;

/// Two steps of four best-effort tasks, each a second on a core. Objective 5 s, worthless after 15 s.
fn bulk(number: u64) -> WorkflowSpec {
    let tasks = StepSpec {
        best_effort: true,
        checkpoints: true,
        image: format!("f{}", number % 3),
        estimate_ms: 1_000,
        ..step(4, 1_000)
    };
    let mut spec = job(vec![tasks.clone(), StepSpec { after: vec![0], ..tasks }]);
    spec.policy.queue = "bulk".to_string();
    (spec.policy.priority, spec.policy.target_ms) = (2, 1_000);
    spec
}

/// Four tasks of half a second on a quarter of a core.
fn quick(_: u64) -> WorkflowSpec {
    let mut spec = job(vec![step(4, 250)]);
    spec.policy.queue = "quick".to_string();
    spec.policy.stretch = 1.5;
    spec
}

/// Jobs that arrive at a rate.
struct Arrivals {
    name: &'static str,
    spec: fn(u64) -> WorkflowSpec,
    /// Jobs per second at a time in seconds.
    rate: fn(f64) -> f64,
    due: f64,
    count: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    refusals: BTreeMap<String, u64>,
    accepted: BTreeMap<String, u64>,
    /// Accepted jobs that ended, counted from their first submission, in time to have their full value, and those that ended worthless or not at all; without those
    /// that their callers cancelled.
    in_time: u64,
    worthless: u64,
    /// Longest time from the first refusal of a caller who always returns as told to its admission. The rules bound it
    /// only for callers with a place.
    longest_return: Duration,
    returned: u64,
}

struct LoadRun {
    fleet: PlannedFleet,
    ledgers: Vec<AdmissionLedger>,
    published: Option<(BacklogForecast, u64)>,
    is_enabled: bool,
    tick: u64,
    work_done_ms: BTreeMap<String, f64>,
    /// Callers that return: by tick, their jobs with the tick of the first refusal.
    returns: BTreeMap<u64, Vec<(String, WorkflowSpec, u64)>>,
    /// First submission and objective of each accepted job.
    accepted_at: BTreeMap<String, (u64, u64)>,
    cancelled: BTreeSet<String>,
    outcome: Outcome,
}

impl LoadRun {
    fn new(is_enabled: bool) -> LoadRun {
        LoadRun {
            fleet: PlannedFleet::new(&WORKERS),
            ledgers: vec![AdmissionLedger::default(); HOSTS],
            published: None,
            is_enabled,
            tick: 0,
            work_done_ms: BTreeMap::new(),
            returns: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    /// The decision of a host and, if it would refuse, of the planner. Returns when to come back.
    fn refusal(&mut self, job: &str, spec: &WorkflowSpec) -> Option<Duration> {
        if !self.is_enabled || self.fleet.records.contains_key(job) {
            return None;
        }
        let (forecast, published_at) = self.published.as_ref()?;
        let demand = JobDemand::of(spec, forecast.ratio(&spec.policy.queue))?;
        let age = TICK * (self.tick - published_at) as u32;
        let view = Some(ForecastView { forecast, epoch: 1, age, hosts: HOSTS });
        let (host, now) = (self.tick as usize * 7 % HOSTS, self.fleet.now());
        let verdict = self.ledgers[host].decide(POLICY, view, &demand, now);
        let AdmissionVerdict::Refuse { retry_after, .. } = verdict else {
            return None;
        };
        let request = AdmissionRequest { job: job.to_string(), demand };
        match self.fleet.planner.request_admission(&request) {
            AdmissionResponse::Admitted { .. } => None,
            AdmissionResponse::Refused(refusal, _) => Some(refusal.retry_after),
            AdmissionResponse::Unknown => Some(retry_after),
        }
    }

    fn submit(&mut self, job: String, mut spec: WorkflowSpec, first: u64) {
        let queue = spec.policy.queue.clone();
        if let Some(retry_after) = self.refusal(&job, &spec) {
            *self.outcome.refusals.entry(queue).or_default() += 1;
            let at = self.tick + retry_after.as_millis().div_ceil(TICK.as_millis()) as u64;
            // A third of the callers gives up.
            if !job.ends_with(['0', '3', '6']) {
                self.returns.entry(at).or_default().push((job, spec, first));
            }
            return;
        }
        if first < self.tick {
            let waited = TICK * (self.tick - first) as u32;
            self.outcome.longest_return = self.outcome.longest_return.max(waited);
            self.outcome.returned += 1;
        }
        *self.outcome.accepted.entry(queue).or_default() += 1;
        spec.accepted_ms = self.fleet.wall_ms;
        let objective_ms = JobDemand::of(&spec, 1.0).unwrap().objective_ms;
        self.accepted_at.insert(job.clone(), (first, objective_ms));
        self.fleet.submit(&job, spec);
    }

    /// Runs for a time in seconds.
    fn run(&mut self, arrivals: &mut [Arrivals], seconds: u64) {
        for _ in 0..seconds * 10 {
            self.step(arrivals);
        }
    }

    fn step(&mut self, arrivals: &mut [Arrivals]) {
        self.tick += 1;
        for (job, spec, first) in self.returns.remove(&self.tick).unwrap_or_default() {
            self.submit(job, spec, first);
        }
        for arrival in arrivals {
            arrival.due += (arrival.rate)(self.tick as f64 / 10.0) / 10.0;
            while arrival.due >= 1.0 {
                arrival.due -= 1.0;
                arrival.count += 1;
                let job = format!("{}{:05}", arrival.name, arrival.count);
                self.submit(job, (arrival.spec)(arrival.count), self.tick);
            }
        }
        self.cancel_some();
        self.work();
        self.fleet.round();
        self.note_ends();
        if self.is_enabled && self.tick.is_multiple_of(HEARTBEAT) {
            let inherited = self.published.as_ref().map(|(forecast, _)| forecast);
            self.fleet.planner.update_admission(POLICY, inherited);
            let forecast = self.fleet.planner.admission().forecast().cloned().unwrap();
            self.published = Some((forecast, self.tick));
        }
    }

    /// A third of the callers cancels a job that is not done after a second and a half.
    fn cancel_some(&mut self) {
        let is_given_up = |(job, (at, _)): &(&String, &(u64, u64))| {
            job.ends_with(['1', '4', '7']) && self.tick >= at + 15
        };
        let given_up: Vec<String> =
            self.accepted_at.iter().filter(is_given_up).map(|(job, _)| job.clone()).collect();
        for job in given_up {
            self.fleet.cancel(&job);
            self.accepted_at.remove(&job);
            self.cancelled.insert(job);
        }
    }

    /// Advances the runs by a tick: reserved ones at full pace, best-effort ones share the rest of their worker.
    fn work(&mut self) {
        let mut ended = Vec::new();
        for (name, runner) in &mut self.fleet.runners {
            let is_quick = |task: &str| task.starts_with("quick");
            let quick = runner.present.keys().filter(|key| is_quick(&key.0.job)).count() as u64;
            let bulk = runner.present.len() as u64 - quick;
            let left = WORKER_MILLICORES.saturating_sub(quick * 250);
            let pace = (left as f64 / (bulk.max(1) * 1_000) as f64).min(1.0);
            for (key, run) in &mut runner.present {
                let (work_ms, pace, usage) = if is_quick(&key.0.job) {
                    (500.0, 1.0, 250.0)
                } else {
                    (1_000.0, pace, 1_000.0)
                };
                let done = self.work_done_ms.entry(key.0.to_string()).or_default();
                *done += TICK.as_millis() as f64 * pace;
                run.progress_percent = (*done * 100.0 / work_ms).min(99.0) as u32;
                run.pace_percent = (pace * 100.0) as u32;
                run.usage = (usage * pace) as u64;
                if *done >= work_ms {
                    ended.push((name.clone(), key.clone()));
                }
            }
        }
        for (name, key) in ended {
            self.fleet.end(&name, &key, RunEnd::Done, "");
        }
    }

    fn note_ends(&mut self) {
        let tick = self.tick;
        let (planner, outcome) = (&self.fleet.planner, &mut self.outcome);
        self.accepted_at.retain(|job, (at, objective_ms)| {
            let age_ms = (tick - *at) * TICK.as_millis() as u64;
            if planner.status(job) == Some(JobStatus::Ended(JobEnd::Completed)) {
                outcome.in_time += u64::from(age_ms <= *objective_ms);
                outcome.worthless += u64::from(age_ms > *objective_ms * 3);
                return false;
            }
            true
        });
    }

    /// Waits for the last jobs and counts those that did not end.
    fn finish(mut self) -> Outcome {
        self.returns.clear();
        self.run(&mut [], 40);
        assert!(self.cancelled.iter().all(|job| {
            self.fleet
                .planner
                .status(job)
                .is_none_or(|status| matches!(status, JobStatus::Ended(_)))
        }));
        self.outcome.worthless += self.accepted_at.len() as u64;
        self.outcome
    }
}

fn arrivals(name: &'static str, spec: fn(u64) -> WorkflowSpec, rate: fn(f64) -> f64) -> Arrivals {
    Arrivals { name, spec, rate, due: 0.0, count: 0 }
}

/// A service that is just saturated, with a burst of bulk jobs of 2.6 times and quick jobs of 1.9 times the usual rate.
fn burst_load() -> [Arrivals; 2] {
    [
        arrivals("bulk", bulk, |at| {
            BULK_CAPACITY * 1.2 * if (15.0..35.0).contains(&at) { 2.6 } else { 1.0 }
        }),
        arrivals("quick", quick, |at| if (15.0..35.0).contains(&at) { 3.8 } else { 2.0 }),
    ]
}

/// Guards against a backlog of worthless jobs after a burst, and against refusals of quick jobs and of callers who return as
/// told. A third of the callers cancels.
#[test]
fn a_burst_on_a_saturated_service_is_refused_as_far_as_it_would_end_worthless() {
    let run = |is_enabled| {
        let mut run = LoadRun::new(is_enabled);
        run.run(&mut burst_load(), 50);
        run.finish()
    };
    let (open, controlled) = (run(false), run(true));
    assert_eq!(open.refusals.len(), 0);
    assert!(controlled.refusals["bulk"] > 0);
    assert_eq!(controlled.refusals.get("quick"), None);
    assert!(controlled.returned > 0);
    assert!(controlled.longest_return <= Duration::from_secs(32), "{controlled:?}");
    assert!(controlled.worthless * 2 < open.worthless, "{open:?} {controlled:?}");
    assert!(controlled.in_time >= open.in_time, "{open:?} {controlled:?}");
}

/// Guards against refusals on a service whose usual load it can serve, also by a successor without state that reads the whole
/// backlog while its workers report one after another.
#[test]
fn usual_load_is_never_refused_also_by_a_successor() {
    let mut run = LoadRun::new(true);
    let mut load = [
        arrivals("bulk", bulk, |at| BULK_CAPACITY * (0.8 + 0.4 * (at * 0.42).sin())),
        arrivals("quick", quick, |_| 2.0),
    ];
    run.run(&mut load, 40);
    let inherited_lease_end = run.fleet.now();
    run.fleet.take_over(inherited_lease_end);
    run.run(&mut load, 5);
    run.published = None;
    run.fleet.take_over(inherited_lease_end);
    run.run(&mut load, 40);
    let outcome = run.finish();
    assert_eq!(outcome.refusals.len(), 0, "{outcome:?}");
    assert!(outcome.accepted["bulk"] > 200, "{outcome:?}");
}

/// Guards against a backlog of cancelled jobs, and against declared durations that are believed although the jobs of their queue
/// have taken three times as long.
#[test]
fn cancelled_jobs_leave_the_backlog_and_completed_ones_teach_what_work_costs() {
    let mut fleet = PlannedFleet::new(&WORKERS);
    let open_core_ms = |fleet: &mut PlannedFleet| -> u64 {
        fleet.planner.update_admission(POLICY, None);
        let forecast = fleet.planner.admission().forecast().unwrap();
        forecast.classes.iter().map(|class| class.open_core_ms()).sum()
    };
    for number in 0..10 {
        fleet.submit(&format!("a{number}"), quick(0));
        fleet.round();
        for percent in [1, 41, 81] {
            for runner in fleet.runners.values_mut() {
                runner.present.values_mut().for_each(|run| run.progress_percent = percent);
            }
            fleet.report_all();
            fleet.pass(Duration::from_millis(600));
        }
        fleet.end_all(RunEnd::Done);
        assert!(fleet.finish(&format!("a{number}"), 5).is_some());
    }
    assert_eq!(open_core_ms(&mut fleet), 0);
    let ratio = fleet.planner.admission().forecast().unwrap().ratio("quick");
    assert!((2.5..=3.5).contains(&ratio), "{ratio}");
    fleet.submit("b", WorkflowSpec { accepted_ms: fleet.wall_ms, ..quick(0) });
    assert_eq!(open_core_ms(&mut fleet), (500.0 * ratio) as u64);
    fleet.cancel("b");
    assert_eq!(open_core_ms(&mut fleet), 0);
}
