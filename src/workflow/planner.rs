//! The planner: keeps all jobs and workers, and decides what starts and stops where.
//!
//! Events come in through the `on_` functions; [`Planner::plan`] assigns tasks. What has to be stored
//! first is taken out with [`Planner::take_batch`], and only after [`Planner::on_committed`] do the starts
//! of the batch become orders. So whatever runs is known to the store, and no end is forgotten by a
//! worker before the store holds it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::RejectedRun;
use crate::connection::node_protocol::RunnerLook;
use crate::connection::node_protocol::StartOrder;
use crate::connection::node_protocol::TaskTraits;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::QueueName;
use crate::ids::RowVersion;
use crate::process::suspicion::WorkerSuspicion;
use crate::workflow::disturbance::DisturbanceModel;
use crate::workflow::planner_batch::PlanBatch;
use crate::workflow::progress::JobEnd;
use crate::workflow::progress::JobProgress;
use crate::workflow::progress::JobRecord;
use crate::workflow::progress::JobStatus;
use crate::workflow::progress::RunEnd;
use crate::workflow::spec::StepSpec;
use crate::workflow::spec::TaskName;
use crate::workflow::spec::WorkflowSpec;
use crate::workflow::worker_board::RunKey;
use crate::workflow::worker_board::WorkerBoard;

/// A job that is worked on.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// What was submitted.
    pub spec: WorkflowSpec,
    /// Version of the job's row.
    pub record_version: RowVersion,
    /// How far it has come.
    pub progress: JobProgress,
    /// Version of the row of its progress; zero when there is none.
    pub progress_version: RowVersion,
    /// The end that was decided.
    pub end: Option<JobEnd>,
    /// Whether the end is stored.
    pub end_stored: bool,
    /// Workers on which a task has failed, by occurrence, step and position.
    pub failed_on: HashMap<(u32, u32, u32), Vec<InstanceId>>,
    /// The next occurrence to open.
    pub next_occurrence: u32,
    /// When a run of it last started or ended, in milliseconds since the Unix epoch.
    pub last_run_ms: u64,
}

impl JobEntry {
    fn new(spec: WorkflowSpec, record_version: RowVersion) -> JobEntry {
        JobEntry {
            last_run_ms: spec.accepted_ms,
            spec,
            record_version,
            progress: JobProgress::default(),
            progress_version: 0,
            end: None,
            end_stored: false,
            failed_on: HashMap::new(),
            next_occurrence: 0,
        }
    }

    /// The step of a task.
    pub(crate) fn step(&self, name: &TaskName) -> Option<&StepSpec> {
        self.spec.steps.get(name.step as usize)
    }

    /// The longest chain of estimated work of an occurrence whose steps are not done, in milliseconds.
    pub(crate) fn rest_of_chain_ms(&self, occurrence: u32) -> u64 {
        let Some(steps) = self.progress.open.get(&occurrence) else {
            return 0;
        };
        let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
        for (step, tasks) in self.spec.steps.iter().zip(steps) {
            let begin = step.after.iter().filter_map(|before| ends.get(*before)).max();
            let is_done = tasks.iter().all(|task| task.done);
            let span = if is_done { 0 } else { step.estimate_ms };
            ends.push(begin.copied().unwrap_or(0) + span);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    fn counts(&self) -> Vec<u32> {
        self.spec.steps.iter().map(|step| step.count).collect()
    }

    /// Whether nothing is left to do but to write the end and forget the job.
    pub(crate) fn is_over(&self) -> bool {
        self.end.is_some() && self.progress.attempts("").is_empty()
    }
}

/// A job that has ended, kept for callers that ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// How it ended.
    pub end: JobEnd,
    /// When, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// Version of its row.
    pub version: RowVersion,
}

/// Numbers of what a planner has in hand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerLoad {
    /// Jobs that are not forgotten.
    pub jobs: usize,
    /// Tasks whose turn has come and that do not run.
    pub waiting: usize,
    /// Runs that serve.
    pub serving: usize,
    /// Runs that fill.
    pub filling: usize,
    /// Runs that fill and are held up.
    pub slowed: usize,
    /// Other runs.
    pub others: usize,
    /// Workers that take new work.
    pub workers: usize,
    /// Workers on which something serves.
    pub serving_workers: usize,
}

/// An order and the life of the runner that it is for.
pub type AddressedOrder = (InstanceId, NodeOrder);

/// What the planner knows and has decided.
#[derive(Clone, Debug)]
pub struct Planner {
    /// The time at which the planner decides.
    pub(crate) now: Instant,
    /// The same on the wall clock, in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    pub(crate) last_order: u64,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) ended: BTreeMap<JobId, EndedJob>,
    pub(crate) board: WorkerBoard,
    pub(crate) suspicion: WorkerSuspicion,
    pub(crate) disturbance: DisturbanceModel,
    pub(crate) dirty: BTreeSet<JobId>,
    pub(crate) held_starts: BTreeMap<JobId, Vec<(InstanceId, RunKey)>>,
    pub(crate) held_acks: BTreeMap<InstanceId, u64>,
    pub(crate) outbox: Vec<AddressedOrder>,
    pub(crate) stored_ends: BTreeMap<InstanceId, u64>,
    /// When leases that earlier planners granted have surely expired.
    pub(crate) inherited_end: Instant,
}

impl Planner {
    /// A planner that has taken over; leases of planners before it last until `inherited_end` at most.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.pending().is_empty());
    /// ```
    pub fn new(inherited_end: Instant) -> Planner {
        Planner {
            now: inherited_end,
            wall_ms: 0,
            last_order: 0,
            jobs: BTreeMap::new(),
            ended: BTreeMap::new(),
            board: WorkerBoard::default(),
            suspicion: WorkerSuspicion::default(),
            disturbance: DisturbanceModel::default(),
            dirty: BTreeSet::new(),
            held_starts: BTreeMap::new(),
            held_acks: BTreeMap::new(),
            outbox: Vec::new(),
            stored_ends: BTreeMap::new(),
            inherited_end,
        }
    }

    /// Sets the time at which the planner decides next.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// greengagearch::workflow::planner::Planner::new(now).set_time(now, 0);
    /// ```
    pub fn set_time(&mut self, now: Instant, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
    }

    /// Takes in the row of a job, new or changed. Rows older than what is known say nothing.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::planner::Planner;
    /// use greengagearch::workflow::progress::JobEnd;
    /// use greengagearch::workflow::progress::JobRecord;
    /// use greengagearch::workflow::progress::JobStatus;
    ///
    /// let mut planner = Planner::new(Instant::now());
    /// let record = JobRecord::Ended { end: JobEnd::Failed, digest: 0, ended_ms: 0 };
    /// planner.on_record("a", 3, record);
    /// assert_eq!(planner.status("a"), Some(JobStatus::Ended(JobEnd::Failed)));
    /// ```
    pub fn on_record(&mut self, job: &str, version: RowVersion, record: JobRecord) {
        match record {
            JobRecord::Ended { end, ended_ms, .. } => {
                self.on_ended_record(job, version, end, ended_ms)
            }
            JobRecord::Live { spec, cancelled } => {
                if self.ended.get(job).is_some_and(|ended| ended.version >= version) {
                    return;
                }
                let made = || JobEntry::new(spec, version);
                let entry = self.jobs.entry(job.to_string()).or_insert_with(made);
                if version < entry.record_version || entry.end_stored {
                    return;
                }
                entry.record_version = version;
                if !entry.spec.is_timed() && entry.next_occurrence == 0 {
                    let counts = entry.counts();
                    entry.progress.open_occurrence(0, &counts);
                    entry.next_occurrence = 1;
                }
                if cancelled {
                    self.close(job, JobEnd::Cancelled);
                }
            }
        }
    }

    fn on_ended_record(&mut self, job: &str, version: RowVersion, end: JobEnd, ended_ms: u64) {
        self.ended.insert(job.to_string(), EndedJob { end, ended_ms, version });
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record_version = version.max(entry.record_version);
            entry.end = Some(end);
            entry.end_stored = true;
        }
    }

    /// Takes in the row of a job's progress after a takeover. The job's own row comes first; a job that has
    /// ended needs its spec no more, only its runs.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_progress("unknown", 1, Default::default());
    /// ```
    pub fn on_progress(&mut self, job: &str, version: RowVersion, progress: JobProgress) {
        if let Some(ended) = self.ended.get(job).copied() {
            self.jobs.entry(job.to_string()).or_insert_with(|| {
                let mut entry = JobEntry::new(WorkflowSpec::unknown(), ended.version);
                entry.end = Some(ended.end);
                entry.end_stored = true;
                entry
            });
        }
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let numbers = progress.open.keys().chain(&progress.finished);
        entry.next_occurrence = numbers.max().map_or(0, |last| last + 1);
        entry.progress = progress;
        entry.progress_version = version;
        let unknown = StepSpec::default();
        for (name, attempt) in entry.progress.attempts(job) {
            let step = entry.step(&name).unwrap_or(&unknown);
            let key = (name, attempt.run);
            self.board.assign(&attempt.worker, key.clone(), step, self.now, self.inherited_end);
            if let Some(worker) = self.board.get_mut(&attempt.worker)
                && let Some(run) = worker.assigned.get_mut(&key)
            {
                // The planner before may have sent the order; the first look will tell.
                run.order = Some(0);
            }
        }
        if entry.is_over() {
            self.dirty.insert(job.to_string());
        }
        self.settle(job);
    }

    /// Takes in what an agent reports, and whether it came over a new link.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::node_protocol::NodeReport;
    /// use greengagearch::workflow::planner::Planner;
    ///
    /// let mut planner = Planner::new(Instant::now());
    /// let report = NodeReport { now: Duration::ZERO, runner: None, former: vec![], look: None };
    /// planner.on_report(report, true);
    /// ```
    pub fn on_report(&mut self, report: NodeReport, is_new_link: bool) {
        for former in &report.former {
            self.lose(former);
        }
        let Some(status) = report.runner else {
            return;
        };
        let instance = status.instance.clone();
        let worker = self.board.entry(&instance, self.inherited_end);
        worker.status = Some(status);
        worker.heard = Some(self.now);
        worker.resync |= is_new_link;
        if let Some(look) = report.look {
            self.on_look(&instance, look);
        }
    }

    fn on_look(&mut self, instance: &str, look: RunnerLook) {
        let last = look.ended.last().map(|ended| ended.number);
        for ended in look.ended {
            self.on_ended(instance, ended);
        }
        if let Some(last) = last {
            self.held_acks.insert(instance.to_string(), last);
        }
        for rejected in look.rejected {
            self.on_rejected(instance, &rejected);
        }
        let mut present: BTreeMap<RunKey, _> = BTreeMap::new();
        for run in look.present {
            present.insert((run.task.clone(), run.run), run);
        }
        self.stop_strangers(instance, &present);
        let Some(worker) = self.board.get_mut(instance) else {
            return;
        };
        let resync = std::mem::take(&mut worker.resync);
        let mut absent = Vec::new();
        let mut changed = false;
        for (key, run) in &mut worker.assigned {
            match present.remove(key) {
                Some(seen) => changed |= run.on_seen(seen, self.now) && run.fills,
                None if run.order.is_some_and(|order| order <= look.orders_seen || resync) => {
                    absent.push(key.clone());
                }
                None => {}
            }
        }
        if changed {
            worker.fills_changed = self.now;
        }
        self.disturbance.learn(worker, self.now);
        for key in absent {
            if resync {
                self.resend(instance, &key);
            } else {
                self.end_run(instance, &key, RunEnd::Lost, "");
            }
        }
        if resync {
            self.describe_all(instance);
        }
    }

    /// Takes note of an extension of the leases on a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_grant("i-1", Instant::now());
    /// ```
    pub fn on_grant(&mut self, instance: &str, surely_expired: Instant) {
        let worker = self.board.entry(instance, self.inherited_end);
        worker.lease_end = worker.lease_end.max(surely_expired);
    }

    /// Opens occurrences that are due, gives up what silent workers had, and moves tasks that are held up.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_tick();
    /// ```
    pub fn on_tick(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        for instance in self.board.expired(now) {
            self.lose(&instance);
        }
        self.move_held_up();
        for entry in self.jobs.values_mut() {
            let spec = &entry.spec;
            while entry.next_occurrence < spec.times
                && spec.due_ms(entry.next_occurrence) <= wall_ms
            {
                let counts: Vec<u32> = spec.steps.iter().map(|step| step.count).collect();
                entry.progress.open_occurrence(entry.next_occurrence, &counts);
                entry.next_occurrence += 1;
            }
        }
    }

    /// The state of a job; nothing when it is not known here.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.status("a"), None);
    /// ```
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        if let Some(ended) = self.ended.get(job) {
            return Some(JobStatus::Ended(ended.end));
        }
        let entry = self.jobs.get(job)?;
        Some(if entry.progress.begun { JobStatus::Running } else { JobStatus::Queued })
    }

    /// Jobs of each queue of which no task has started.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// assert!(greengagearch::workflow::planner::Planner::new(Instant::now()).pending().is_empty());
    /// ```
    pub fn pending(&self) -> BTreeMap<QueueName, u64> {
        let mut counts = BTreeMap::new();
        let waiting = self.jobs.values().filter(|job| job.end.is_none() && !job.progress.begun);
        for job in waiting {
            *counts.entry(job.spec.policy.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// What waits and what runs, for the log.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.load().jobs, 0);
    /// ```
    pub fn load(&self) -> PlannerLoad {
        let mut load = PlannerLoad { jobs: self.jobs.len(), ..PlannerLoad::default() };
        for entry in self.jobs.values().filter(|entry| entry.end.is_none()) {
            for (occurrence, steps) in &entry.progress.open {
                for (tasks, step) in steps.iter().zip(&entry.spec.steps) {
                    let idle = tasks.iter().filter(|task| !task.done && task.attempts.is_empty());
                    if entry.progress.is_ready(*occurrence, step) {
                        load.waiting += idle.count();
                    }
                }
            }
        }
        for (_, worker) in self.board.iter() {
            load.workers += usize::from(worker.is_open(self.now));
            load.serving_workers += usize::from(worker.is_serving());
            for run in worker.assigned.values() {
                load.serving += usize::from(run.target_ms > 0);
                load.filling += usize::from(run.fills);
                load.slowed += usize::from(run.slow_since.is_some());
                load.others += usize::from(!run.fills && run.target_ms == 0);
            }
        }
        load
    }

    /// What was learned of images that disturb each other, for the log.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.learned_pairs(), "");
    /// ```
    pub fn learned_pairs(&self) -> String {
        self.disturbance.summary()
    }

    /// Orders that may leave now.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_orders().is_empty());
    /// ```
    pub fn take_orders(&mut self) -> Vec<AddressedOrder> {
        std::mem::take(&mut self.outbox)
    }

    /// Number of the last end of a worker that is stored, so that the worker may forget it.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.acked("i-1"), 0);
    /// ```
    pub fn acked(&self, instance: &str) -> u64 {
        self.stored_ends.get(instance).copied().unwrap_or(0)
    }

    /// Numbers an order for a worker and remembers which run it starts.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.number_order("i-1", &[]), None);
    /// ```
    pub fn number_order(&mut self, instance: &str, orders: &[NodeOrder]) -> Option<u64> {
        let worker = self.board.get_mut(instance)?;
        // Numbers rise over all workers: an agent counts them over the lives of its runner.
        self.last_order += 1;
        let number = self.last_order;
        for order in orders {
            if let NodeOrder::Start(start) = order {
                let key = (start.traits.task.clone(), start.run);
                if let Some(run) = worker.assigned.get_mut(&key) {
                    run.order = Some(number);
                }
            }
        }
        Some(number)
    }

    fn on_ended(&mut self, instance: &str, ended: EndedRun) {
        let key = (ended.task, ended.run);
        match ended.end {
            RunEnd::Done => self.suspicion.on_success(instance),
            RunEnd::Failed => self.on_failure(instance, &key.0),
            _ => {}
        }
        self.end_run(instance, &key, ended.end, &ended.checkpoint);
    }

    fn on_failure(&mut self, instance: &str, name: &TaskName) {
        self.suspicion.on_failure(instance, &name.to_string(), self.now);
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            let place = (name.occurrence, name.step, name.index);
            entry.failed_on.entry(place).or_default().push(instance.to_string());
        }
    }

    fn on_rejected(&mut self, instance: &str, rejected: &RejectedRun) {
        match rejected.reason {
            RejectReason::Room => self.board.on_full(instance, self.now),
            RejectReason::Unwell => self.on_failure(instance, &rejected.task),
            RejectReason::Old
            | RejectReason::Late
            | RejectReason::Leaving
            | RejectReason::Malformed => {}
        }
        let key = (rejected.task.clone(), rejected.run);
        self.end_run(instance, &key, RunEnd::Lost, "");
    }

    /// Takes a run off its worker and its job.
    pub(crate) fn end_run(&mut self, instance: &str, key: &RunKey, end: RunEnd, checkpoint: &str) {
        let released = self.board.release(instance, key, self.now);
        self.disturbance.forget_run(key);
        let seen = released.and_then(|run| run.seen).map(|seen| seen.checkpoint);
        let known = seen.unwrap_or_default();
        let checkpoint = if checkpoint.is_empty() { known.as_str() } else { checkpoint };
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let step = entry.step(&key.0).cloned().unwrap_or_default();
        entry.last_run_ms = self.wall_ms;
        if !entry.progress.on_end(&key.0, key.1, end, checkpoint, &step) {
            return;
        }
        self.dirty.insert(key.0.job.clone());
        if end == RunEnd::Done && (step.speculative || step.gang) {
            self.stop_copies(&key.0, step.gang);
        }
        self.settle(&key.0.job);
    }

    /// Stops what still runs of a task, or of its whole step, that is done.
    fn stop_copies(&mut self, name: &TaskName, whole_step: bool) {
        let Some(entry) = self.jobs.get(&name.job) else {
            return;
        };
        let is_same = |other: &TaskName| {
            other.occurrence == name.occurrence
                && other.step == name.step
                && (whole_step || other.index == name.index)
        };
        let attempts = entry.progress.attempts(&name.job);
        for (task, attempt) in attempts.into_iter().filter(|(task, _)| is_same(task)) {
            self.stop_run(&attempt.worker, (task, attempt.run));
        }
    }

    /// Closes occurrences and decides whether the job has ended.
    pub(crate) fn settle(&mut self, job: &str) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.end.is_some() {
            return;
        }
        let open: Vec<u32> = entry.progress.open.keys().copied().collect();
        if entry.spec.is_timed() {
            for occurrence in open {
                entry.progress.close_occurrence(occurrence);
            }
        }
        if entry.progress.most_failures() >= entry.spec.policy.max_attempts {
            self.close(job, JobEnd::Failed);
        } else if entry.next_occurrence >= entry.spec.occurrences() && entry.progress.is_all_done()
        {
            self.close(job, JobEnd::Completed);
        }
    }

    /// Ends a job and stops what still runs of it.
    fn close(&mut self, job: &str, end: JobEnd) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.end.is_some() {
            return;
        }
        entry.end = Some(end);
        self.dirty.insert(job.to_string());
        for (name, attempt) in entry.progress.attempts(job) {
            self.stop_run(&attempt.worker, (name, attempt.run));
        }
    }

    /// Orders a run to stop; a run whose start has not left yet is just taken back.
    pub(crate) fn stop_run(&mut self, instance: &str, key: RunKey) {
        let Some(worker) = self.board.get_mut(instance) else {
            return;
        };
        let Some(run) = worker.assigned.get_mut(&key) else {
            return;
        };
        if run.order.is_some() {
            if !std::mem::replace(&mut run.stopping, true) {
                self.outbox.push((instance.to_string(), NodeOrder::Stop(key.0, key.1)));
            }
            return;
        }
        self.board.release(instance, &key, self.now);
        if let Some(entry) = self.jobs.get_mut(&key.0.job)
            && let Some(task) = entry.progress.task_mut(&key.0)
        {
            task.attempts.retain(|attempt| attempt.run != key.1);
            self.dirty.insert(key.0.job);
        }
    }

    /// Stops runs that the worker has and the planner does not know there.
    fn stop_strangers<V>(&mut self, instance: &str, present: &BTreeMap<RunKey, V>) {
        let Some(worker) = self.board.get(instance) else {
            return;
        };
        let strangers = present.keys().filter(|key| !worker.assigned.contains_key(key));
        let stops = strangers.map(|key| NodeOrder::Stop(key.0.clone(), key.1));
        self.outbox.extend(stops.map(|stop| (instance.to_string(), stop)));
    }

    /// Sends the order of a run again, over a new link that has not carried it.
    fn resend(&mut self, instance: &str, key: &RunKey) {
        let is_ended = self.jobs.get(&key.0.job).is_none_or(|entry| entry.end.is_some());
        match self.start_order(instance, key) {
            Some(order) if !is_ended => {
                self.outbox.push((instance.to_string(), NodeOrder::Start(order)));
            }
            // Nobody needs the run, and the agent's look shows that it does not exist.
            _ => self.end_run(instance, key, RunEnd::Lost, ""),
        }
    }

    /// Tells an agent what it has to know of the runs that it has.
    fn describe_all(&mut self, instance: &str) {
        let Some(worker) = self.board.get(instance) else {
            return;
        };
        let known = worker.assigned.iter().filter(|(_, run)| run.seen.is_some());
        let traits: Vec<TaskTraits> =
            known.filter_map(|(key, _)| self.traits(instance, &key.0)).collect();
        let stopping: Vec<RunKey> = worker
            .assigned
            .iter()
            .filter(|(_, run)| run.stopping)
            .map(|(key, _)| key.clone())
            .collect();
        let described = traits.into_iter().map(NodeOrder::Describe);
        self.outbox.extend(described.map(|order| (instance.to_string(), order)));
        let stops = stopping.into_iter().map(|key| NodeOrder::Stop(key.0, key.1));
        self.outbox.extend(stops.map(|order| (instance.to_string(), order)));
        self.stop_unwanted(instance);
    }

    /// Stops runs of ended jobs, which a planner before may not have done.
    fn stop_unwanted(&mut self, instance: &str) {
        let Some(worker) = self.board.get(instance) else {
            return;
        };
        let is_over = |key: &&RunKey| {
            self.jobs.get(&key.0.job).is_none_or(|entry| {
                let is_done = entry.progress.task(&key.0).is_some_and(|task| task.done);
                entry.end.is_some() || is_done
            })
        };
        let unwanted: Vec<RunKey> = worker.assigned.keys().filter(is_over).cloned().collect();
        for key in unwanted {
            self.stop_run(instance, key);
        }
    }

    fn traits(&self, instance: &str, name: &TaskName) -> Option<TaskTraits> {
        let step = self.jobs.get(&name.job)?.step(name)?;
        let worker = self.board.get(instance);
        let weight = worker.map_or(0.0, |worker| self.disturbance.weight(worker, &step.image));
        Some(TaskTraits {
            task: name.clone(),
            image: step.image.clone(),
            target_ms: step.target_ms,
            fills: step.fills,
            added_permille: (weight * 1_000.0) as u32,
            idle_tail_ms: self.disturbance.idle_tail_of(&step.image).round() as u32,
        })
    }

    /// The order that starts a run.
    pub(crate) fn start_order(&self, instance: &str, key: &RunKey) -> Option<StartOrder> {
        let entry = self.jobs.get(&key.0.job)?;
        let task = entry.progress.task(&key.0)?;
        Some(StartOrder {
            run: key.1,
            payload: entry.spec.payload.clone(),
            checkpoint: task.checkpoint.clone(),
            ticket: None,
            traits: self.traits(instance, &key.0)?,
        })
    }

    /// Gives up everything on a life of a runner that has surely ended.
    fn lose(&mut self, instance: &str) {
        let Some(worker) = self.board.get(instance) else {
            return;
        };
        let keys: Vec<RunKey> = worker.assigned.keys().cloned().collect();
        for key in keys {
            self.end_run(instance, &key, RunEnd::Lost, "");
        }
        self.board.forget(instance);
        self.held_acks.remove(instance);
        self.stored_ends.remove(instance);
    }

    /// Removes ended jobs whose states nobody has to know any more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.expired_records(Duration::ZERO).is_empty());
    /// ```
    pub fn expired_records(&self, kept_for: Duration) -> Vec<(JobId, RowVersion)> {
        let kept_ms = u64::try_from(kept_for.as_millis()).unwrap_or(u64::MAX);
        let is_expired = |ended: &EndedJob| self.wall_ms.saturating_sub(ended.ended_ms) > kept_ms;
        let expired = self.ended.iter().filter(|(_, ended)| is_expired(ended));
        expired.map(|(job, ended)| (job.clone(), ended.version)).collect()
    }

    /// The batch that has to be stored next, if there is anything.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_batch().is_none());
    /// ```
    pub fn take_batch(&mut self) -> Option<PlanBatch> {
        PlanBatch::take(self)
    }
}
