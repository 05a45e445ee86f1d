//! A planner with agents that are played by the test: reports go in, orders come out.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RejectedRun;
use greengagearch::connection::node_protocol::RunnerCrash;
use greengagearch::connection::node_protocol::RunnerSnapshot;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::workflow::planner::Planner;
use greengagearch::workflow::planner_batch::PlanWrite;
use greengagearch::workflow::progress::JobProgress;
use greengagearch::workflow::progress::JobRecord;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::QueuePolicy;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch::workflow::worker_inventory::RunKey;

pub const SERVICE: &str = "s";

/// One life of a runner as the test plays it.
#[derive(Clone, Debug, Default)]
pub struct PlayedRunner {
    pub present: BTreeMap<RunKey, PresentRun>,
    pub ended: Vec<EndedRun>,
    pub rejected: Vec<RejectedRun>,
    pub orders_seen: u64,
    pub ends: u64,
    pub stops: Vec<RunKey>,
    pub starts: Vec<RunKey>,
    pub labels: Vec<String>,
    pub draining: bool,
    /// Failure domain; empty for the one that all others share.
    pub domain: String,
    pub accelerators: u64,
    /// Maximum number of ends that a response lists, if there is one.
    pub max_listed_ends: Option<usize>,
}

impl PlayedRunner {
    fn listed_ends(&self) -> usize {
        self.max_listed_ends.unwrap_or(usize::MAX)
    }
}

/// A planner, the rows that it has stored, and its runners.
pub struct PlannedFleet {
    pub planner: Planner,
    pub records: BTreeMap<String, JobRecord>,
    pub progress: BTreeMap<String, (u64, JobProgress)>,
    pub runners: BTreeMap<String, PlayedRunner>,
    pub started: Instant,
    pub clock: Duration,
    pub wall_ms: u64,
    pub version: u64,
}

impl PlannedFleet {
    pub fn new(runners: &[&str]) -> PlannedFleet {
        let started = Instant::now();
        let mut fleet = PlannedFleet {
            planner: Planner::new(started),
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            runners: BTreeMap::new(),
            started,
            clock: Duration::ZERO,
            wall_ms: 1_000_000,
            version: 0,
        };
        fleet.pass(Duration::from_millis(1));
        for (number, runner) in runners.iter().enumerate() {
            let labels = vec!["a".to_string(), format!("r{}", number / 2)];
            let played = PlayedRunner { labels, ..PlayedRunner::default() };
            fleet.runners.insert(runner.to_string(), played);
            fleet.report(runner, true);
        }
        fleet
    }

    pub fn now(&self) -> Instant {
        self.started + self.clock
    }

    pub fn pass(&mut self, span: Duration) {
        self.clock += span;
        self.wall_ms += span.as_millis() as u64;
        self.planner.set_time(self.now(), self.wall_ms);
    }

    pub fn submit(&mut self, job: &str, spec: WorkflowSpec) {
        self.version += 1;
        let record = JobRecord::Live { spec, cancelled: false };
        self.records.insert(job.to_string(), record.clone());
        self.planner.on_record(job, self.version, record);
    }

    pub fn cancel(&mut self, job: &str) {
        let Some(JobRecord::Live { spec, .. }) = self.records.get(job).cloned() else {
            return;
        };
        self.version += 1;
        let record = JobRecord::Live { spec, cancelled: true };
        self.records.insert(job.to_string(), record.clone());
        self.planner.on_record(job, self.version, record);
    }

    /// The report of a runner's agent, as things stand.
    pub fn report_of(&self, instance: &str) -> NodeReport {
        let runner = &self.runners[instance];
        let status = RunnerStatus {
            instance: instance.to_string(),
            service: SERVICE.to_string(),
            domain: if runner.domain.is_empty() { "d".into() } else { runner.domain.clone() },
            capacity: ResourceVector {
                millicores: 4_000,
                memory_mib: 4_000,
                accelerators: runner.accelerators,
            },
            labels: runner.labels.clone(),
            draining: runner.draining,
        };
        let look = RunnerSnapshot {
            present: runner.present.values().cloned().collect(),
            ended: runner.ended.iter().take(runner.listed_ends()).cloned().collect(),
            may_omit_ends: runner.ended.len() >= runner.listed_ends(),
            rejected: runner.rejected.clone(),
            orders_seen: runner.orders_seen,
        };
        NodeReport {
            now: self.clock,
            runner: Some(status),
            former: vec![],
            unsettled: Vec::new(),
            keeps_id: false,
            in_doubt: Vec::new(),
            crashes: vec![],
            snapshot: Some(look),
        }
    }

    pub fn report(&mut self, instance: &str, is_new_link: bool) {
        let report = self.report_of(instance);
        self.runners.get_mut(instance).unwrap().rejected.clear();
        self.planner.set_time(self.now(), self.wall_ms);
        self.planner.on_report(report, is_new_link);
    }

    pub fn report_all(&mut self) {
        let names: Vec<String> = self.runners.keys().cloned().collect();
        names.iter().for_each(|name| self.report(name, false));
    }

    /// Plans, and stores what has to be stored.
    pub fn plan(&mut self) {
        self.planner.set_time(self.now(), self.wall_ms);
        self.planner.plan();
        self.store();
    }

    /// Stores all batches.
    pub fn store(&mut self) {
        while self.store_one().is_some() {}
    }

    /// Stores one batch; gives the number of its rows.
    pub fn store_one(&mut self) -> Option<usize> {
        let batch = self.planner.take_batch()?;
        let rows = batch.writes.len();
        self.version += 1;
        for write in &batch.writes {
            match write.clone() {
                PlanWrite::Progress(job, _, Some(progress)) => {
                    self.progress.insert(job, (self.version, progress));
                }
                PlanWrite::Progress(job, _, None) => {
                    self.progress.remove(&job);
                }
                PlanWrite::End(job, _, record) => {
                    self.records.insert(job, record);
                }
            }
        }
        self.planner.on_committed(batch, self.version);
        Some(rows)
    }

    /// Delivers orders: runners take every start, and end every run that is stopped.
    pub fn deliver(&mut self) -> Vec<(String, NodeOrder)> {
        let orders = self.planner.take_orders();
        for (instance, order) in &orders {
            let number = self.planner.assign_order_number(instance, std::slice::from_ref(order));
            let Some(runner) = self.runners.get_mut(instance) else {
                continue;
            };
            runner.orders_seen = number.unwrap_or(0).max(runner.orders_seen);
            match order {
                NodeOrder::Start(start) => {
                    let key = (start.traits.task.clone(), start.run);
                    runner.starts.push(key.clone());
                    runner.present.insert(key.clone(), present(&key));
                }
                NodeOrder::Stop(task, run) => {
                    let key = (task.clone(), *run);
                    runner.stops.push(key.clone());
                    if runner.present.contains_key(&key) {
                        self.end(instance, &key, RunEnd::Stopped, "");
                    }
                }
                NodeOrder::Describe(_) => {}
            }
        }
        orders
    }

    /// Delivers orders. Gives the runs that are ordered to start.
    pub fn deliver_starts(&mut self) -> Vec<RunKey> {
        let starts = self.deliver().into_iter().filter_map(|(_, order)| match order {
            NodeOrder::Start(start) => Some((start.traits.task, start.run)),
            _ => None,
        });
        starts.collect()
    }

    /// Ends a run at its runner.
    pub fn end(&mut self, instance: &str, key: &RunKey, end: RunEnd, checkpoint: &str) {
        let runner = self.runners.get_mut(instance).unwrap();
        runner.present.remove(key);
        runner.ends += 1;
        runner.ended.push(EndedRun {
            number: runner.ends,
            task: key.0.clone(),
            run: key.1,
            end,
            checkpoint: checkpoint.to_string(),
        });
    }

    /// Plans, stores, delivers and reports once.
    pub fn round(&mut self) {
        self.plan();
        self.deliver();
        self.pass(Duration::from_millis(100));
        self.report_all();
        self.planner.on_tick();
        self.store();
    }

    /// An agent tells that the life of its runner has broken off; no other one has registered yet.
    pub fn tell_crash(&mut self, crash: RunnerCrash) {
        let report = NodeReport {
            now: self.clock,
            runner: None,
            former: vec![crash.instance.clone()],
            unsettled: Vec::new(),
            keeps_id: false,
            in_doubt: Vec::new(),
            crashes: vec![crash],
            snapshot: None,
        };
        self.planner.set_time(self.now(), self.wall_ms);
        self.planner.on_report(report, false);
    }

    /// Everything that runs anywhere.
    pub fn running(&self) -> Vec<(String, RunKey)> {
        let each = self.runners.iter();
        each.flat_map(|(name, one)| one.present.keys().map(|key| (name.clone(), key.clone())))
            .collect()
    }

    /// Ends everything that runs in the same way.
    pub fn end_all(&mut self, end: RunEnd) {
        for (instance, key) in self.running() {
            self.end(&instance, &key, end, "");
        }
    }

    /// Plans until a job has ended or rounds are over, ending all runs as done.
    pub fn finish(&mut self, job: &str, rounds: usize) -> Option<JobStatus> {
        for _ in 0..rounds {
            self.round();
            if matches!(self.planner.status(job), Some(JobStatus::Ended(_))) {
                break;
            }
            self.end_all(RunEnd::Done);
        }
        self.planner.status(job)
    }

    /// A runner refuses a run.
    pub fn reject(&mut self, instance: &str, key: &RunKey, reason: RejectReason) {
        let runner = self.runners.get_mut(instance).unwrap();
        runner.present.remove(key);
        runner.rejected.push(RejectedRun { task: key.0.clone(), run: key.1, reason });
    }

    /// Another planner takes over with what is stored.
    pub fn take_over(&mut self, inherited_lease_end: Instant) {
        let mut planner = Planner::new(inherited_lease_end);
        planner.set_time(self.now(), self.wall_ms);
        for (job, record) in &self.records {
            planner.on_record(job, self.version, record.clone());
        }
        for (job, (version, progress)) in &self.progress {
            planner.on_progress(job, *version, progress.clone());
        }
        self.planner = planner;
        for runner in self.runners.values_mut() {
            runner.orders_seen = 0;
        }
    }
}

pub fn present(key: &RunKey) -> PresentRun {
    PresentRun { is_started: true, ..PresentRun::ordered(key.0.clone(), key.1) }
}

pub fn policy() -> QueuePolicy {
    QueuePolicy {
        queue: "q".to_string(),
        service: SERVICE.to_string(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target_ms: 500,
        advice: None,
    }
}

pub fn step(count: u32, millicores: u64) -> StepSpec {
    let resources = ResourceVector { millicores, memory_mib: 100, accelerators: 0 };
    StepSpec { count, resources, estimate_ms: 500, ..StepSpec::default() }
}

pub fn job(steps: Vec<StepSpec>) -> WorkflowSpec {
    WorkflowSpec {
        policy: policy(),
        payload: "work".to_string(),
        steps,
        times: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 1_000_000,
    }
}
