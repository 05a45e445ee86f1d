//! Runs that stay assigned because an attempt to start them may still be carried out (see
//! [`StartDoubts`](crate::workflow::start_doubts::StartDoubts)).

use crate::connection::node_protocol::NodeReport;
use crate::ids::InstanceId;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::RunEnd;
use crate::workflow::spec::StepSpec;
use crate::workflow::start_doubts::LATE_DELIVERY_SPAN;
use crate::workflow::task_progress::RunAttempt;
use crate::workflow::worker_inventory::RunKey;

impl Planner {
    /// Records the starts that an agent reports as in doubt, and in the rows of their jobs that they
    /// are, so that the next planner knows them even if the agent is restarted as well.
    pub(crate) fn record_doubts(&mut self, report: &NodeReport, is_new_link: bool) {
        if report.now >= LATE_DELIVERY_SPAN {
            self.settle_doubts(report);
        } else if let Some(status) =
            report.runner.as_ref().filter(|_| is_new_link && report.keeps_id)
        {
            self.assume_doubts(&status.instance);
        }
        self.start_doubts.on_report(&report.in_doubt, self.now);
        let keys: Vec<RunKey> = report.in_doubt.iter().map(|start| start.key.clone()).collect();
        self.store_doubts(&keys);
    }

    /// Removes the known doubts about the runs of an agent's runner, which its report replaces. No
    /// start of an earlier agent can be carried out any more, so the agent knows all of them.
    fn settle_doubts(&mut self, report: &NodeReport) {
        let current = report.runner.iter().map(|status| &status.instance);
        let instances: Vec<&InstanceId> = current.chain(&report.former).collect();
        for worker in instances.into_iter().filter_map(|instance| self.inventory.get(instance)) {
            worker.assigned.keys().for_each(|key| self.start_doubts.settle(key));
        }
    }

    /// Assumes that attempts to start the runs of a worker are in doubt, unless it has shown that
    /// they are not: its agent may have been restarted, and does not know them then.
    fn assume_doubts(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let unsettled = worker.assigned.iter().filter(|(_, run)| !run.is_settled);
        let sent = unsettled.filter(|(_, run)| {
            matches!(run.delivery, OrderDelivery::Queued | OrderDelivery::Sent(_))
        });
        let keys: Vec<RunKey> = sent.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.start_doubts.restore(key, self.now));
        self.store_doubts(&keys);
    }

    fn store_doubts(&mut self, keys: &[RunKey]) {
        for key in keys {
            let (name, run) = key;
            if !self.may_begin(key) {
                continue;
            }
            let task = self.jobs.get_mut(&name.job).and_then(|entry| entry.progress.task_mut(name));
            let attempts = task.into_iter().flat_map(|task| &mut task.attempts);
            for attempt in attempts.filter(|attempt| attempt.run == *run && !attempt.in_doubt) {
                attempt.in_doubt = true;
                self.changed_jobs.insert(name.job.clone());
                self.decisions.push(PlanDecision::StartInDoubt {
                    task: name.clone(),
                    run: *run,
                    worker: attempt.worker.clone(),
                });
            }
        }
    }

    /// Returns whether an attempt to start a run may still be carried out. Of a long-running task
    /// nothing is ever done, and it must not be away for so long.
    fn may_begin(&self, key: &RunKey) -> bool {
        if !self.start_doubts.contains(key, self.now) {
            return false;
        }
        !self.step_of(key).is_some_and(|step| step.long_running)
    }

    fn step_of(&self, key: &RunKey) -> Option<&StepSpec> {
        self.jobs.get(&key.0.job)?.step(&key.0)
    }

    /// Returns whether a run has to stay assigned whatever its worker reports, since an attempt to
    /// start it may still be carried out.
    pub(crate) fn is_retained(&self, key: &RunKey) -> bool {
        self.may_begin(key) && (self.is_needed(key) || self.has_recorded_end(key))
    }

    /// Returns whether the task of a run has still to be done.
    fn is_needed(&self, key: &RunKey) -> bool {
        let entry = self.jobs.get(&key.0.job).filter(|entry| entry.end.is_none());
        let task = entry.and_then(|entry| entry.progress.task(&key.0));
        task.is_some_and(|task| !task.done)
    }

    /// Returns whether a run that is needed may be active on a silent host, where the next instance
    /// of the runner has carried out an attempt to start it.
    pub(crate) fn may_be_active(&self, key: &RunKey) -> bool {
        if !self.start_doubts.may_be_active(key, self.now) {
            return false;
        }
        !self.step_of(key).is_some_and(|step| step.long_running) && self.is_needed(key)
    }

    /// Returns whether the end of a run has to be recorded while the run stays assigned: it counts
    /// as soon as it is acknowledged, even if its job has ended or another member of its gang is
    /// done. Copies of a speculative task may run again.
    pub(crate) fn retains_end(&self, key: &RunKey, end: RunEnd) -> bool {
        if !self.may_begin(key) {
            return false;
        }
        let is_speculative = self.step_of(key).is_some_and(|step| step.speculative);
        let counts = matches!(end, RunEnd::Done | RunEnd::Failed) && !is_speculative;
        self.is_retained(key) || (counts && self.attempt(key).is_some())
    }

    fn attempt(&self, key: &RunKey) -> Option<&RunAttempt> {
        self.jobs.get(&key.0.job)?.progress.task(&key.0)?.attempt(key.1)
    }

    /// Returns whether the end of a run is recorded that is still assigned.
    pub(crate) fn has_recorded_end(&self, key: &RunKey) -> bool {
        self.attempt(key).is_some_and(|attempt| attempt.end.is_some())
    }

    /// Returns whether a task of a job that is done may begin again, since an attempt to start one
    /// of its runs may still be carried out.
    pub(crate) fn may_begin_again(&self, job: &str) -> bool {
        let Some(entry) = self.jobs.get(job) else {
            return false;
        };
        entry.progress.attempts(job).into_iter().any(|(name, attempt)| {
            let is_gang = entry.step(&name).is_some_and(|step| step.gang);
            (attempt.end.is_some() || is_gang) && self.may_begin(&(name, attempt.run))
        })
    }
}
