//! What the planner makes of the agents' reports: ends, refusals, runs that are missing or that nobody
//! knows.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::EndedRun;
use crate::connection::node_protocol::ImageEffect;
use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::RejectedRun;
use crate::connection::node_protocol::RunnerLook;
use crate::connection::node_protocol::RunnerStatus;
use crate::connection::node_protocol::StartOrder;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::assigned_run::RunWork;
use crate::workflow::grant::LONGEST_LEASE;
use crate::workflow::grant::surely_expired;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::RunEnd;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;

/// Least time between two messages that tell an agent what was learned of its runs.
const DESCRIBE_PERIOD: Duration = Duration::from_millis(500);
/// Change of a load, in thousandths, that an agent is told: half of what it keeps as margin.
const TOLD_CHANGE: u32 = 30;

/// Whether an agent has to be told anew of a run.
fn is_changed(run: &AssignedRun, new: &TaskTraits) -> bool {
    let Some(told) = &run.told else {
        return true;
    };
    let known = |serving: &str| told.effects.iter().find(|effect| effect.serving == serving);
    let is_other = |effect: &ImageEffect| {
        known(&effect.serving)
            .is_none_or(|old| old.added_permille.abs_diff(effect.added_permille) >= TOLD_CHANGE)
    };
    told.idle_tail_ms != new.idle_tail_ms || new.effects.iter().any(is_other)
}

/// For each refusal of a look, whether the look shows the run all the same.
fn refusals_shown(look: &RunnerLook) -> Vec<bool> {
    let runs = look.rejected.iter().map(|rejected| (rejected.task.clone(), rejected.run));
    runs.map(|key| look.shows(&key)).collect()
}

/// Takes in which of a worker's runs a look shows. Gives those that it does not show though their orders had come.
fn compare_runs(
    worker: &mut WorkerEntry,
    mut present: BTreeMap<RunKey, PresentRun>,
    orders_seen: u64,
    resync: bool,
    now: Instant,
) -> Vec<RunKey> {
    let mut absent = Vec::new();
    let mut changed = false;
    for (key, run) in &mut worker.assigned {
        match present.remove(key) {
            Some(seen) => changed |= run.on_seen(seen, now) && run.fills,
            None if run.order.is_some_and(|order| order <= orders_seen || resync) => {
                absent.push(key.clone());
            }
            None => {}
        }
    }
    if changed {
        worker.fills_changed = Some(now);
    }
    absent
}

impl Planner {
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
    /// let report = NodeReport {
    ///     now: Duration::ZERO,
    ///     runner: None,
    ///     former: vec![],
    ///     unsettled: vec![],
    ///     crashes: vec![],
    ///     look: None,
    /// };
    /// planner.on_report(report, true);
    /// ```
    pub fn on_report(&mut self, report: NodeReport, is_new_link: bool) {
        if let Some(status) = &report.runner {
            let has_former = !report.former.is_empty();
            self.hear(status, has_former, is_new_link);
            self.adopt(&report, &status.instance);
        }
        let mut given_up = Vec::new();
        for crash in &report.crashes {
            given_up.extend(self.on_crash(crash).map(|task| (task, crash.instance.as_str())));
        }
        for former in &report.former {
            self.lose_settled(former, &report.unsettled);
        }
        for (task, worker) in given_up {
            self.give_up(task, worker);
        }
        if let (Some(status), Some(look)) = (report.runner, report.look) {
            self.on_look(&status.instance, look);
        }
    }

    fn hear(&mut self, status: &RunnerStatus, has_former: bool, is_new_link: bool) {
        let worker = self.inventory.entry(&status.instance, self.inherited_lease_end);
        if has_former && worker.status.is_none() {
            // Calls for a former life may have given the new one a lease that nobody knows of.
            worker.lease_end = worker.lease_end.max(surely_expired(self.now, LONGEST_LEASE));
        }
        worker.status = Some(status.clone());
        worker.last_contact = Some(self.now);
        worker.resync |= is_new_link;
    }

    /// Takes runs that were given to former lives and that the present life shows for its own: it has carried out their starts.
    fn adopt(&mut self, report: &NodeReport, instance: &str) {
        let Some(look) = &report.look else {
            return;
        };
        for former in &report.former {
            for key in self.runs_shown(former, look) {
                self.adopt_run(&key, former, instance);
            }
        }
    }

    /// Runs that were given to a life and that a look shows.
    fn runs_shown(&self, life: &str, look: &RunnerLook) -> Vec<RunKey> {
        let runs = self.inventory.get(life).into_iter().flat_map(|worker| worker.assigned.keys());
        runs.filter(|key| look.shows(key)).cloned().collect()
    }

    fn adopt_run(&mut self, key: &RunKey, former: &str, instance: &str) {
        self.decisions.push(PlanDecision::RunAdopted {
            task: key.0.clone(),
            run: key.1,
            from: former.to_string(),
            worker: instance.to_string(),
        });
        let was_stopping = self.inventory.hand_over(former, instance, key);
        self.keep_place(key, instance);
        if was_stopping {
            self.stop_run(instance, key.clone());
        }
    }

    /// Keeps in its job's row on which life a run is.
    fn keep_place(&mut self, key: &RunKey, instance: &str) {
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let task = entry.progress.task_mut(&key.0);
        let attempt =
            task.and_then(|task| task.attempts.iter_mut().find(|attempt| attempt.run == key.1));
        if let Some(attempt) = attempt {
            attempt.worker = instance.to_string();
            self.dirty.insert(key.0.job.clone());
        }
    }

    fn on_look(&mut self, instance: &str, look: RunnerLook) {
        let shown = refusals_shown(&look);
        self.on_ends(instance, look.ended);
        for (rejected, shown) in look.rejected.iter().zip(shown) {
            self.on_rejected(instance, rejected, shown);
        }
        let present = look.present.into_iter().map(|run| ((run.task.clone(), run.run), run));
        let present: BTreeMap<RunKey, PresentRun> = present.collect();
        self.stop_strangers(instance, &present);
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        let resync = std::mem::take(&mut worker.resync);
        let absent = compare_runs(worker, present, look.orders_seen, resync, self.now);
        self.disturbance.learn(worker, self.now);
        let works = worker.assigned.iter().filter(|(_, run)| !run.long_running);
        let works = works.filter_map(|(key, run)| Some((key.0.clone(), run.work?)));
        let works: Vec<(TaskName, RunWork)> = works.collect();
        self.learn_durations(&works);
        self.describe_changed(instance);
        self.clear_survivors(instance);
        for key in absent {
            if resync {
                self.resend(instance, &key);
            } else {
                self.end_absent(instance, &key);
            }
        }
        if resync {
            self.describe_all(instance);
        }
    }

    fn on_ends(&mut self, instance: &str, ends: Vec<EndedRun>) {
        let last = ends.last().map(|ended| ended.number);
        for ended in ends {
            self.on_ended(instance, ended);
        }
        if let Some(last) = last {
            self.held_acks.insert(instance.to_string(), last);
        }
    }

    fn learn_durations(&mut self, works: &[(TaskName, RunWork)]) {
        for (name, work) in works {
            if let Some(entry) = self.jobs.get_mut(&name.job) {
                let span = (f64::from(work.from_percent), f64::from(work.to_percent));
                entry.forecast.on_progress(name.into(), span, work.full_ms);
            }
        }
    }

    fn on_ended(&mut self, instance: &str, ended: EndedRun) {
        let key = (ended.task, ended.run);
        match ended.end {
            RunEnd::Done => self.on_success(instance, &key.0),
            RunEnd::Failed => self.on_failure(instance, &key.0),
            _ => {}
        }
        if matches!(ended.end, RunEnd::Done | RunEnd::Failed) {
            self.clear_task(&key.0);
        }
        self.end_run(instance, &key, ended.end, &ended.checkpoint);
    }

    fn on_success(&mut self, instance: &str, name: &TaskName) {
        if self.suspicion.on_success(instance) {
            let (worker, task) = (instance.to_string(), name.clone());
            self.decisions.push(PlanDecision::WorkerTrusted { worker, task });
        }
    }

    pub(crate) fn on_failure(&mut self, instance: &str, name: &TaskName) {
        if self.suspicion.on_failure(instance, &name.to_string(), self.now) {
            let (worker, task) = (instance.to_string(), name.clone());
            self.decisions.push(PlanDecision::WorkerSuspected { worker, task });
        }
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            let place = (name.occurrence, name.step, name.index);
            entry.failed_on.entry(place).or_default().push(instance.to_string());
        }
    }

    fn on_rejected(&mut self, instance: &str, rejected: &RejectedRun, shown: bool) {
        self.decisions.push(PlanDecision::RunRefused {
            task: rejected.task.clone(),
            run: rejected.run,
            worker: instance.to_string(),
            reason: rejected.reason,
            shown,
        });
        if shown {
            // What becomes of it is told by its end.
            return;
        }
        match rejected.reason {
            RejectReason::Room => self.inventory.on_full(instance, self.now),
            RejectReason::Unwell | RejectReason::Malformed => {
                self.on_failure(instance, &rejected.task);
            }
            RejectReason::Ticket => {
                self.advice.drop_ticket(&rejected.task.step_key(), instance);
            }
            RejectReason::Old | RejectReason::Late | RejectReason::Leaving => {}
        }
        let key = (rejected.task.clone(), rejected.run);
        self.end_run(instance, &key, RunEnd::Lost, "");
    }

    /// Stops runs that the worker has and the planner does not know there.
    pub(crate) fn stop_strangers<V>(&mut self, instance: &str, present: &BTreeMap<RunKey, V>) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let strangers = present.keys().filter(|key| !worker.assigned.contains_key(key));
        let stops = strangers.map(|key| NodeOrder::Stop(key.0.clone(), key.1));
        self.outbox.extend(stops.map(|stop| (instance.to_string(), stop)));
    }

    /// Sends the order of a run again, over a new link that has not carried it.
    pub(crate) fn resend(&mut self, instance: &str, key: &RunKey) {
        let is_ended = self.jobs.get(&key.0.job).is_none_or(|entry| entry.end.is_some());
        match self.start_order(instance, key) {
            Some(order) if !is_ended => {
                let order = StartOrder { is_repeat: true, ..order };
                self.outbox.push((instance.to_string(), NodeOrder::Start(order)));
            }
            // Nobody needs the run, and the agent's look shows that it does not exist.
            _ => self.end_absent(instance, key),
        }
    }

    /// Gives up a run that its worker does not show.
    fn end_absent(&mut self, instance: &str, key: &RunKey) {
        self.decisions.push(PlanDecision::RunAbsent {
            task: key.0.clone(),
            run: key.1,
            worker: instance.to_string(),
        });
        self.end_run(instance, key, RunEnd::Lost, "");
    }

    /// Tells an agent what it has to know of the runs that it has.
    pub(crate) fn describe_all(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let known = worker.assigned.iter().filter(|(_, run)| run.seen.is_some());
        let traits: Vec<(RunKey, TaskTraits)> =
            known.filter_map(|(key, _)| Some((key.clone(), self.traits(&key.0)?))).collect();
        let stopping: Vec<RunKey> = worker
            .assigned
            .iter()
            .filter(|(_, run)| run.stopping)
            .map(|(key, _)| key.clone())
            .collect();
        self.describe(instance, traits);
        let stops = stopping.into_iter().map(|key| NodeOrder::Stop(key.0, key.1));
        self.outbox.extend(stops.map(|order| (instance.to_string(), order)));
        self.stop_unwanted(instance);
    }

    /// Tells an agent what has been learned of its runs since it was told.
    fn describe_changed(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let is_recent = |at: Instant| self.now.saturating_duration_since(at) < DESCRIBE_PERIOD;
        if worker.described.is_some_and(is_recent) {
            return;
        }
        let known = worker.assigned.iter().filter(|(_, run)| run.seen.is_some());
        let watched = known.filter(|(_, run)| run.fills || run.target_ms > 0);
        let mut changed: Vec<(RunKey, TaskTraits)> = Vec::new();
        for (key, run) in watched {
            if let Some(traits) = self.traits(&key.0).filter(|new| is_changed(run, new)) {
                changed.push((key.clone(), traits));
            }
        }
        if let Some(worker) = self.inventory.get_mut(instance) {
            worker.described = Some(self.now);
        }
        self.describe(instance, changed);
    }

    /// Tells an agent of runs, and remembers what it was told.
    fn describe(&mut self, instance: &str, runs: Vec<(RunKey, TaskTraits)>) {
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        for (key, traits) in runs {
            if let Some(run) = worker.assigned.get_mut(&key) {
                run.told = Some(traits.clone());
            }
            self.outbox.push((instance.to_string(), NodeOrder::Describe(traits)));
        }
    }

    /// Stops runs of ended jobs, which a planner before may not have done.
    fn stop_unwanted(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
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
}
