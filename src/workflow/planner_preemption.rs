//! Preemption: stops lower-priority runs for a task that fits on no worker.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::placement::is_eligible;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;

/// Minimum time without a run of its job, in milliseconds, before a task may preempt others, so
/// that capacity that is about to become free is used first.
const MIN_WAIT_MS: u64 = 400;
/// Minimum time between two preemptions for one job, in milliseconds: covers the stops and the
/// snapshot that reports the ends.
const MIN_PREEMPTION_INTERVAL_MS: u64 = 1_500;
/// Work that a task with checkpoints is assumed to lose by a stop, at most.
const MAX_CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Runs on one worker that would have to stop.
struct Preemption {
    worker: InstanceId,
    runs: Vec<RunKey>,
    /// Processor time lost by stopping them, in thousandths of a core times milliseconds.
    loss: u64,
}

impl Planner {
    /// Preempts runs for a task that fits on no worker. Best-effort tasks preempt nothing.
    pub(crate) fn preempt_for(&mut self, name: &TaskName, spec: &StepSpec) {
        self.reserve_by_wait(name, spec);
        let Some(entry) = self.jobs.get(&name.job) else {
            return;
        };
        let is_early = self.wall_ms.saturating_sub(entry.last_run_ms) < MIN_WAIT_MS;
        let is_recent =
            self.wall_ms.saturating_sub(entry.last_preemption_ms) < MIN_PREEMPTION_INTERVAL_MS;
        if spec.best_effort || is_early || is_recent {
            return;
        }
        let Some(cheapest) = self.cheapest_preemption(name, spec) else {
            return;
        };
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            entry.last_preemption_ms = self.wall_ms;
        }
        for key in cheapest.runs {
            self.decisions.push(PlanDecision::Preempted {
                task: key.0.clone(),
                run: key.1,
                worker: cheapest.worker.clone(),
                preemptor: name.clone(),
            });
            self.stop_run(&cheapest.worker, key);
        }
    }

    fn cheapest_preemption(&self, name: &TaskName, spec: &StepSpec) -> Option<Preemption> {
        let request = self.placement_request(name, spec, None, None)?;
        let view = self.placement_view();
        let fitting = self
            .inventory
            .iter()
            .filter(|(instance, worker)| is_eligible(&request, &view, instance, worker));
        let preemptions =
            fitting.filter_map(|(instance, worker)| self.preemption(name, spec, instance, worker));
        preemptions.min_by_key(|preemption| preemption.loss)
    }

    /// Selects the runs that would have to stop on a worker, cheapest first; `None` if stopping all
    /// of them would not free enough.
    fn preemption(
        &self,
        name: &TaskName,
        spec: &StepSpec,
        instance: &str,
        worker: &WorkerEntry,
    ) -> Option<Preemption> {
        let requested = spec.reserved_resources();
        let mut free = worker.free_resources();
        // Runs that are stopping free their resources without a preemption.
        let stopping = worker.assigned.values().filter(|run| run.stopping);
        stopping.for_each(|run| free = free.plus(&run.reserved));
        let mut candidates: Vec<(u64, &RunKey, &AssignedRun)> = worker
            .assigned
            .iter()
            .filter(|(key, run)| !run.stopping && self.takes_precedence(name, spec, &key.0, run))
            .map(|(key, run)| (self.lost_processor_time(run), key, run))
            .collect();
        candidates.sort_by_key(|(loss, key, _)| (*loss, (*key).clone()));
        let mut preemption = Preemption { worker: instance.to_string(), runs: Vec::new(), loss: 0 };
        for (loss, key, run) in candidates {
            if free.contains(&requested) {
                break;
            }
            free = free.plus(&run.reserved);
            preemption.runs.push(key.clone());
            preemption.loss += loss;
        }
        free.contains(&requested).then_some(preemption)
    }

    /// Returns whether a task may preempt a run: by the priority of its queue, and a long-running
    /// task also a best-effort run.
    fn takes_precedence(
        &self,
        name: &TaskName,
        spec: &StepSpec,
        other: &TaskName,
        run: &AssignedRun,
    ) -> bool {
        let priority = |job: &str| self.jobs.get(job).map(|entry| entry.spec.policy.priority);
        let is_urgent = priority(&name.job) < priority(&other.job);
        !run.long_running && (is_urgent || spec.long_running && run.best_effort)
    }

    /// Processor time lost by stopping a run. A task with checkpoints loses only the work since the
    /// last one.
    pub(crate) fn lost_processor_time(&self, run: &AssignedRun) -> u64 {
        let ran = self.now.saturating_duration_since(run.assigned_at);
        let loss = if run.checkpoints { ran.min(MAX_CHECKPOINT_INTERVAL) } else { ran };
        u64::try_from(loss.as_millis()).unwrap_or(u64::MAX).saturating_mul(run.millicores)
    }
}
