//! Processing of the agents' reports: run ends, rejected starts, and runs that are missing or
//! unknown to the planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::PresentRun;
use crate::connection::node_protocol::RejectReason;
use crate::connection::node_protocol::RejectedRun;
use crate::connection::node_protocol::RunnerSnapshot;
use crate::connection::node_protocol::RunnerStatus;
use crate::connection::node_protocol::StartOrder;
use crate::ids::InstanceId;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::grant::MAX_LEASE;
use crate::workflow::grant::expired_by;
use crate::workflow::plan_decision::EndCause;
use crate::workflow::plan_decision::LossReason;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::RunEnd;
use crate::workflow::report_interval::silence_timeout;
use crate::workflow::start_doubts::StartDoubts;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::OmissionChange;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;

/// For each rejected run of a snapshot, whether the snapshot shows the run all the same.
fn rejections_shown(snapshot: &RunnerSnapshot) -> Vec<bool> {
    let runs = snapshot.rejected.iter().map(|rejected| (rejected.task.clone(), rejected.run));
    runs.map(|key| snapshot.lists(&key)).collect()
}

/// Updates a worker's runs from a snapshot. Returns the runs that the snapshot does not show
/// although their orders are not on their way.
fn update_runs(
    worker: &mut WorkerEntry,
    mut present: BTreeMap<RunKey, PresentRun>,
    doubts: &StartDoubts,
    orders_seen: u64,
    resync: bool,
    now: Instant,
) -> Vec<RunKey> {
    let mut absent = Vec::new();
    let mut changed = false;
    for (key, run) in &mut worker.assigned {
        match present.remove(key) {
            Some(report) => {
                run.is_settled |= report.is_started && !doubts.contains(key, now);
                changed |= run.on_report(report, now) && run.best_effort;
            }
            None if run.delivery.is_over(orders_seen, resync) => {
                absent.push(key.clone());
            }
            None => {}
        }
    }
    if changed {
        worker.best_effort_changed = Some(now);
    }
    absent
}

impl Planner {
    /// Processes the report of an agent; `is_new_link` tells whether it is the first one on a new
    /// link.
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
    ///     keeps_id: false,
    ///     former: vec![],
    ///     unsettled: vec![],
    ///     in_doubt: vec![],
    ///     crashes: vec![],
    ///     snapshot: None,
    /// };
    /// planner.on_report(report, true);
    /// ```
    pub fn on_report(&mut self, report: NodeReport, is_new_link: bool) {
        self.record_doubts(&report, is_new_link);
        if let Some(status) = &report.runner {
            let has_former = !report.former.is_empty();
            self.record_status(status, has_former, is_new_link);
            self.adopt_runs(&report, &status.instance);
        }
        // An instance under the same id may have carried out starts meant for former ones.
        if !report.keeps_id || report.snapshot.is_some() {
            self.on_former_instances(&report);
        }
        if let (Some(status), Some(snapshot)) = (report.runner, report.snapshot) {
            self.on_snapshot(&status.instance, snapshot, report.now);
        }
    }

    /// Gives up the runs of instances that have ended, and tasks that are found to crash them.
    fn on_former_instances(&mut self, report: &NodeReport) {
        let mut given_up = Vec::new();
        for crash in &report.crashes {
            given_up.extend(self.on_crash(crash).map(|task| (task, crash.instance.as_str())));
        }
        for former in &report.former {
            self.give_up_settled_runs(former, &report.unsettled, LossReason::InstanceEnded);
        }
        for (task, worker) in given_up {
            self.give_up_task(task, worker);
        }
    }

    fn record_status(&mut self, status: &RunnerStatus, has_former: bool, is_new_link: bool) {
        let worker = self.inventory.entry(&status.instance, self.inherited_lease_end);
        if has_former && worker.status.is_none() {
            // Grants meant for a former instance may have extended a lease of the new one without
            // the planner knowing.
            worker.lease_end = worker.lease_end.max(expired_by(self.now, MAX_LEASE));
        }
        worker.is_evacuated = self.evacuations.requested.contains(&status.domain);
        worker.status = Some(status.clone());
        worker.last_contact = Some(self.now);
        worker.silence_timeout = silence_timeout(self.report_interval);
        worker.resync |= is_new_link;
        worker.may_omit_ends &= !is_new_link;
    }

    /// Transfers runs assigned to former instances that the current instance shows as its own,
    /// since it has carried out their start orders. An agent that was restarted does not know the
    /// former instances.
    fn adopt_runs(&mut self, report: &NodeReport, instance: &str) {
        let Some(snapshot) = &report.snapshot else {
            return;
        };
        let present = snapshot.present.iter().map(|run| (run.task.clone(), run.run));
        let ended = snapshot.ended.iter().map(|run| (run.task.clone(), run.run));
        for key in present.chain(ended) {
            if let Some(former) = self.assigned_instance(&key).filter(|former| former != instance) {
                self.adopt_run(&key, &former, instance);
            }
        }
    }

    /// The instance to which an active run is assigned.
    fn assigned_instance(&self, key: &RunKey) -> Option<InstanceId> {
        let task = self.jobs.get(&key.0.job)?.progress.task(&key.0)?;
        task.attempt(key.1).map(|attempt| attempt.worker.clone())
    }

    fn adopt_run(&mut self, key: &RunKey, former: &str, instance: &str) {
        self.decisions.push(PlanDecision::RunAdopted {
            task: key.0.clone(),
            run: key.1,
            from: former.to_string(),
            worker: instance.to_string(),
        });
        let was_stopping = self.inventory.transfer(former, instance, key);
        let is_done = self.record_instance(key, instance);
        if was_stopping || is_done {
            self.stop_run(instance, key.clone());
        }
    }

    /// Records in the row of the job which instance has a run. A recorded end that did not complete
    /// the task is discarded, since the run has begun again. Returns whether the task is done.
    fn record_instance(&mut self, key: &RunKey, instance: &str) -> bool {
        let entry = self.jobs.get_mut(&key.0.job);
        let Some(task) = entry.and_then(|entry| entry.progress.task_mut(&key.0)) else {
            return false;
        };
        let is_done = task.done;
        if let Some(attempt) = task.attempt_mut(key.1) {
            attempt.worker = instance.to_string();
            attempt.end.take_if(|end| *end != RunEnd::Done);
            self.changed_jobs.insert(key.0.job.clone());
        }
        is_done
    }

    fn on_snapshot(&mut self, instance: &str, snapshot: RunnerSnapshot, sent_at: Duration) {
        let shown = rejections_shown(&snapshot);
        let ended = snapshot.ended.iter().map(|ended| (ended.task.clone(), ended.run));
        let ended: BTreeSet<RunKey> = ended.collect();
        self.on_ends(instance, snapshot.ended);
        for (rejected, shown) in snapshot.rejected.iter().zip(shown) {
            self.on_rejected(instance, rejected, shown);
        }
        let present = snapshot.present.into_iter().map(|run| ((run.task.clone(), run.run), run));
        let present: BTreeMap<RunKey, PresentRun> = present.collect();
        self.stop_unknown_runs(instance, &present);
        let started = present.iter().filter(|(_, run)| run.is_started);
        started.for_each(|(key, _)| self.mark_begun(&key.0));
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        let resync = worker.resync;
        let omission = worker.record_omission(snapshot.may_omit_ends);
        let absent = update_runs(
            worker,
            present,
            &self.start_doubts,
            snapshot.orders_seen,
            resync,
            self.now,
        );
        self.interference.learn(worker, self.now);
        self.learn_progress(instance, sent_at);
        self.send_changed_traits(instance);
        self.clear_surviving_tasks(instance);
        self.log_omission(instance, omission, ended.len());
        // A run whose end may be omitted from the list is not absent.
        for key in absent.into_iter().filter(|_| !snapshot.may_omit_ends) {
            let is_lost_order = resync && !ended.contains(&key) && !self.has_recorded_end(&key);
            match (is_lost_order, self.is_retained(&key)) {
                (true, _) => self.resend_start(instance, &key),
                (false, true) => {}
                (false, false) => self.end_absent_run(instance, &key),
            }
        }
        if resync && omission != Some(OmissionChange::Continues) {
            self.send_all_traits(instance);
        }
    }

    fn log_omission(&mut self, instance: &str, change: Option<OmissionChange>, listed: usize) {
        let may_omit = match change {
            Some(OmissionChange::Begins) => true,
            Some(OmissionChange::Ends) => false,
            Some(OmissionChange::Continues) | None => return,
        };
        let (worker, acked) = (instance.to_string(), self.last_acked_end(instance));
        self.decisions.push(PlanDecision::EndsOmitted { worker, may_omit, listed, acked });
    }

    /// Records that a run of a job's task has started. Until then the job counts as pending, whatever
    /// was assigned: workers may refuse starts, or not answer them, for seconds.
    pub(crate) fn mark_begun(&mut self, name: &TaskName) {
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            entry.progress.begun = true;
        }
    }

    pub(crate) fn on_success(&mut self, instance: &str, name: &TaskName) {
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
            let position = (name.occurrence, name.step, name.index);
            entry.failed_on.entry(position).or_default().push(instance.to_string());
        }
    }

    fn on_rejected(&mut self, instance: &str, rejected: &RejectedRun, shown: bool) {
        self.decisions.push(PlanDecision::RunRejected {
            task: rejected.task.clone(),
            run: rejected.run,
            worker: instance.to_string(),
            reason: rejected.reason,
            shown,
        });
        if shown {
            // The end of the run decides its outcome.
            return;
        }
        match rejected.reason {
            RejectReason::Room => self.inventory.on_full(instance, self.now),
            reason @ (RejectReason::Unwell | RejectReason::Malformed) => {
                self.note_health(instance, reason);
                self.on_failure(instance, &rejected.task);
            }
            RejectReason::Ticket => {
                self.advice.drop_ticket(&rejected.task.step_key(), instance);
            }
            RejectReason::Old | RejectReason::Late | RejectReason::Leaving => {}
        }
        let key = (rejected.task.clone(), rejected.run);
        if !self.is_retained(&key) {
            self.end_run(instance, &key, (RunEnd::Lost, EndCause::Rejected), "");
        }
    }

    /// Stops runs that the worker reports but that are not assigned to it.
    fn stop_unknown_runs(&mut self, instance: &str, present: &BTreeMap<RunKey, PresentRun>) {
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        let unknown = present.iter().filter(|(key, _)| !worker.assigned.contains_key(key));
        let unknown: BTreeMap<RunKey, bool> =
            unknown.map(|(key, run)| (key.clone(), run.is_started)).collect();
        let former = std::mem::replace(&mut worker.unknown_runs, unknown.clone());
        for (key, started) in unknown {
            // The snapshots repeat the run until the stop takes effect.
            if former.get(&key).is_none_or(|was_started| started && !was_started) {
                self.decisions.push(PlanDecision::RunUnknown {
                    task: key.0.clone(),
                    run: key.1,
                    worker: instance.to_string(),
                    started,
                });
            }
            self.outbox.push((instance.to_string(), NodeOrder::Stop(key.0, key.1)));
        }
    }

    /// Sends the start order of a run again, on a new link over which it has not been sent.
    pub(crate) fn resend_start(&mut self, instance: &str, key: &RunKey) {
        let is_ended = self.jobs.get(&key.0.job).is_none_or(|entry| entry.end.is_some());
        match self.start_order(instance, key) {
            Some(order) if !is_ended => {
                let order = StartOrder { is_repeat: true, ..order };
                if let Some(worker) = self.inventory.get_mut(instance)
                    && let Some(run) = worker.assigned.get_mut(key)
                {
                    run.delivery = OrderDelivery::Queued;
                }
                self.outbox.push((instance.to_string(), NodeOrder::Start(order)));
            }
            // The run is not needed any more, and the snapshot shows that it does not exist.
            _ => self.end_absent_run(instance, key),
        }
    }

    /// Gives up a run that its worker's snapshot does not show.
    fn end_absent_run(&mut self, instance: &str, key: &RunKey) {
        self.decisions.push(PlanDecision::RunAbsent {
            task: key.0.clone(),
            run: key.1,
            worker: instance.to_string(),
        });
        self.end_run(instance, key, (RunEnd::Lost, EndCause::Absent), "");
    }

    /// Stops runs of ended jobs and completed tasks, which the previous planner may not have
    /// stopped.
    pub(crate) fn stop_obsolete_runs(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let is_obsolete = |key: &&RunKey| {
            self.jobs.get(&key.0.job).is_none_or(|entry| {
                let is_done = entry.progress.task(&key.0).is_some_and(|task| task.done);
                entry.end.is_some() || is_done
            })
        };
        let obsolete: Vec<RunKey> = worker.assigned.keys().filter(is_obsolete).cloned().collect();
        for key in obsolete {
            self.stop_run(instance, key);
        }
    }
}
