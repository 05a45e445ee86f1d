//! Processing of the ends of runs, as workers report them or the planner infers them.

use crate::connection::node_protocol::EndedRun;
use crate::workflow::plan_decision::EndCause;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::RunEnd;
use crate::workflow::worker_inventory::RunKey;

impl Planner {
    /// Records the ends that a worker reports, except those of retained runs. The worker may discard
    /// the ends before the first of these.
    pub(crate) fn on_ends(&mut self, instance: &str, ends: Vec<EndedRun>) {
        let mut last = None;
        let mut has_retained = false;
        for ended in ends {
            if self.is_retained(&(ended.task.clone(), ended.run)) {
                has_retained = true;
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

    fn on_ended(&mut self, instance: &str, ended: EndedRun) {
        let key = (ended.task, ended.run);
        self.mark_begun(&key.0);
        // An end is reported until the runner has discarded it, and counts once.
        let is_new =
            self.inventory.get(instance).is_some_and(|worker| worker.assigned.contains_key(&key));
        match ended.end {
            RunEnd::Done if is_new => self.on_success(instance, &key.0),
            RunEnd::Failed if is_new => self.on_failure(instance, &key.0),
            _ => {}
        }
        if matches!(ended.end, RunEnd::Done | RunEnd::Failed) {
            self.clear_task(&key.0);
        }
        self.end_run(instance, &key, (ended.end, EndCause::Reported), &ended.checkpoint);
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
        let reported = released.and_then(|run| run.last_report).map(|report| report.checkpoint);
        let last_checkpoint = reported.unwrap_or_default();
        let checkpoint = if checkpoint.is_empty() { last_checkpoint.as_str() } else { checkpoint };
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let step = entry.step(&key.0).cloned().unwrap_or_default();
        entry.last_run_ms = self.wall_ms;
        entry.remaining_work = None;
        if !entry.progress.on_end(&key.0, key.1, end, checkpoint, &step) {
            return;
        }
        self.changed_jobs.insert(key.0.job.clone());
        let has_other_runs =
            || entry.progress.task(&key.0).is_some_and(|task| !task.attempts.is_empty());
        let stops_others =
            step.speculative || step.gang || (!step.long_running && has_other_runs());
        if end == RunEnd::Done && stops_others {
            self.stop_remaining_runs(&key.0, step.gang);
        }
        self.update_completion(&key.0.job);
    }
}
