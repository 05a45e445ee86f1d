//! Makes room for tasks that go before others: stops runs of lower priority where no worker has room.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::placement::fits_but_for_room;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;

/// Time without a run of its job after which a task may displace others, in milliseconds: room that is about to
/// become free anyhow is taken first.
const WAITED_MS: u64 = 400;
/// Time between two displacements for one job, in milliseconds: stops and the look that shows their ends.
const PAUSE_MS: u64 = 1_500;
/// Most time between two savings of a task's work, from the users' sheets.
const SAVED_EVERY: Duration = Duration::from_millis(1_000);

/// Runs on one worker that would have to stop.
struct Preemption {
    worker: InstanceId,
    runs: Vec<RunKey>,
    /// Processor time that is lost, in thousandths of a core times milliseconds.
    lost: u64,
}

impl Planner {
    /// Stops what has to make room for a task that found none. Nothing is stopped for tasks that fill.
    pub(crate) fn preempt_for(&mut self, name: &TaskName, spec: &StepSpec) {
        let Some(entry) = self.jobs.get(&name.job) else {
            return;
        };
        let is_early = self.wall_ms.saturating_sub(entry.last_run_ms) < WAITED_MS;
        let is_recent = self.wall_ms.saturating_sub(entry.preempted_ms) < PAUSE_MS;
        if spec.fills || is_early || is_recent {
            return;
        }
        let Some(least) = self.cheapest_preemption(name, spec) else {
            return;
        };
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            entry.preempted_ms = self.wall_ms;
        }
        for key in least.runs {
            self.decisions.push(PlanDecision::Preempted {
                task: key.0.clone(),
                run: key.1,
                worker: least.worker.clone(),
                preemptor: name.clone(),
            });
            self.stop_run(&least.worker, key);
        }
    }

    fn cheapest_preemption(&self, name: &TaskName, spec: &StepSpec) -> Option<Preemption> {
        let request = self.placement_request(name, spec, None, None)?;
        let view = self.placement_view();
        let fitting = self
            .inventory
            .iter()
            .filter(|(instance, one)| fits_but_for_room(&request, &view, instance, one));
        let each = fitting.filter_map(|(instance, one)| self.preemption(name, spec, instance, one));
        each.min_by_key(|preemption| preemption.lost)
    }

    /// What would have to stop on a worker, the cheapest runs first; nothing when that is not enough.
    fn preemption(
        &self,
        name: &TaskName,
        spec: &StepSpec,
        instance: &str,
        worker: &WorkerEntry,
    ) -> Option<Preemption> {
        let wanted = spec.counted_room();
        let mut free = worker.free_room();
        // What is stopping already comes free by itself.
        let stopping = worker.assigned.values().filter(|run| run.stopping);
        stopping.for_each(|run| free = free.plus(&run.counted));
        let mut lesser: Vec<(u64, &RunKey, &AssignedRun)> = worker
            .assigned
            .iter()
            .filter(|(key, run)| !run.stopping && self.goes_before(name, spec, &key.0, run))
            .map(|(key, run)| (self.loss(run), key, run))
            .collect();
        lesser.sort_by_key(|(lost, key, _)| (*lost, (*key).clone()));
        let mut preemption = Preemption { worker: instance.to_string(), runs: Vec::new(), lost: 0 };
        for (lost, key, run) in lesser {
            if free.contains(&wanted) {
                break;
            }
            free = free.plus(&run.counted);
            preemption.runs.push(key.clone());
            preemption.lost += lost;
        }
        free.contains(&wanted).then_some(preemption)
    }

    /// Whether a task goes before a run: by its queue's priority, and what lasts before what fills.
    fn goes_before(
        &self,
        name: &TaskName,
        spec: &StepSpec,
        other: &TaskName,
        run: &AssignedRun,
    ) -> bool {
        let priority = |job: &str| self.jobs.get(job).map(|entry| entry.spec.policy.priority);
        let is_urgent = priority(&name.job) < priority(&other.job);
        !run.long_running && (is_urgent || spec.long_running && run.fills)
    }

    /// Processor time that is lost when a run is stopped; what saves its work loses what it did since it saved.
    fn loss(&self, run: &AssignedRun) -> u64 {
        let ran = self.now.saturating_duration_since(run.since);
        let lost = if run.checkpoints { ran.min(SAVED_EVERY) } else { ran };
        u64::try_from(lost.as_millis()).unwrap_or(u64::MAX).saturating_mul(run.millicores)
    }
}
