//! Processing of the ends of runs, as workers report them or the planner infers them.

use crate::connection::node_protocol::EndedRun;
use crate::ids::CheckpointRef;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::plan_decision::EndCause;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::RunEnd;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Returns the checkpoint that a run has ended with, or the last that was reported of it.
fn last_checkpoint(at_end: &str, run: Option<&AssignedRun>) -> CheckpointRef {
    let reported = run.and_then(|run| run.last_report.as_ref()).map(|report| &report.checkpoint);
    match at_end {
        "" => reported.cloned().unwrap_or_default(),
        _ => at_end.to_string(),
    }
}

impl Planner {
    /// Records the ends that a worker reports, and has it discard those before the first end of a
    /// retained run: once an end is acknowledged, its task must not begin again, not even by an
    /// attempt that is carried out late. The later ends are numbered and wait as well.
    pub(crate) fn on_ends(&mut self, instance: &str, ends: Vec<EndedRun>) {
        let mut last = None;
        let mut has_retained = false;
        for ended in ends {
            if self.retains_end(&(ended.task.clone(), ended.run), ended.end) {
                has_retained = true;
                self.record_retained_end(instance, ended);
                continue;
            }
            if !has_retained {
                last = Some(ended.number);
            }
            self.on_ended(instance, ended);
        }
        if let Some(last) = last {
            self.record_reported_end(instance, last);
        }
    }

    /// Records the end of a run that stays assigned. Without the record a crash of the runner would
    /// lose the end, since the runner keeps its ends in memory only.
    fn record_retained_end(&mut self, instance: &str, ended: EndedRun) {
        let key = (ended.task, ended.run);
        self.mark_begun(&key.0);
        let worker = self.inventory.get(instance);
        let run = worker.and_then(|worker| worker.assigned.get(&key));
        let checkpoint = last_checkpoint(&ended.checkpoint, run);
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let step = entry.step(&key.0).cloned().unwrap_or_default();
        if !entry.progress.record_end(&key.0, key.1, ended.end, &checkpoint, &step) {
            return;
        }
        entry.on_run_end(self.wall_ms);
        self.decisions.push(PlanDecision::EndRecorded {
            task: key.0.clone(),
            run: key.1,
            worker: instance.to_string(),
            end: ended.end,
        });
        self.learn_from_end(instance, &key.0, ended.end);
        if let Some(worker) = self.inventory.get_mut(instance) {
            worker.isolated.take_if(|isolated| *isolated == key);
        }
        self.apply_run_end(&key, ended.end, &step);
    }

    fn on_ended(&mut self, instance: &str, ended: EndedRun) {
        let key = (ended.task, ended.run);
        self.mark_begun(&key.0);
        // An end is reported until the runner has discarded it, and counts once.
        let worker = self.inventory.get(instance);
        let is_new = worker.is_some_and(|worker| worker.assigned.contains_key(&key));
        if is_new && !self.has_recorded_end(&key) {
            self.learn_from_end(instance, &key.0, ended.end);
        } else if matches!(ended.end, RunEnd::Done | RunEnd::Failed) {
            self.clear_task(&key.0);
        }
        self.end_run(instance, &key, (ended.end, EndCause::Reported), &ended.checkpoint);
    }

    /// Updates what is suspected of the worker and the task of a run that has ended.
    fn learn_from_end(&mut self, instance: &str, name: &TaskName, end: RunEnd) {
        match end {
            RunEnd::Done => self.on_success(instance, name),
            RunEnd::Failed => self.on_failure(instance, name),
            _ => return,
        }
        self.clear_task(name);
    }

    /// Removes a run from its worker and records its end in its job.
    pub(crate) fn end_run(
        &mut self,
        instance: &str,
        key: &RunKey,
        (end, cause): (RunEnd, EndCause),
        checkpoint: &str,
    ) {
        let released = self.inventory.release(instance, key, self.now);
        if let Some(run) = &released {
            let ran = self.now.saturating_duration_since(run.assigned_at);
            self.decisions.push(PlanDecision::RunEnded {
                task: key.0.clone(),
                run: key.1,
                worker: instance.to_string(),
                end,
                cause,
                ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
            });
        }
        let checkpoint = last_checkpoint(checkpoint, released.as_ref());
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let step = entry.step(&key.0).cloned().unwrap_or_default();
        entry.on_run_end(self.wall_ms);
        if entry.progress.on_end(&key.0, key.1, end, &checkpoint, &step) {
            self.apply_run_end(key, end, &step);
        }
    }

    /// Updates the other runs and the completion of a job whose progress an end has changed.
    fn apply_run_end(&mut self, key: &RunKey, end: RunEnd, step: &StepSpec) {
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        self.changed_jobs.insert(key.0.job.clone());
        let has_other_runs = || {
            let mut attempts =
                entry.progress.task(&key.0).into_iter().flat_map(|one| &one.attempts);
            attempts.any(|attempt| attempt.run != key.1)
        };
        let stops_others =
            step.speculative || step.gang || (!step.long_running && has_other_runs());
        if end == RunEnd::Done && stops_others {
            self.stop_remaining_runs(&key.0, step.gang);
        }
        self.update_completion(&key.0.job);
    }
}
