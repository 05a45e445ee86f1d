//! Runs that the planner preempts for a queue that is owed resources.

use std::collections::BTreeMap;

use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::QueueName;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::fair_share::dominant_share::DominantShare;
use crate::workflow::fair_share::reclaim_choice::ReclaimCandidate;
use crate::workflow::fair_share::reclaim_choice::ReclaimChoice;
use crate::workflow::fair_share::reclaim_choice::ReclaimRequest;
use crate::workflow::fair_share::reclaim_choice::overlaps;
use crate::workflow::fair_share::reclaim_policy::CLAIM_LIFETIME;
use crate::workflow::fair_share::reclaim_policy::ReclaimPolicy;
use crate::workflow::fair_share::reclaim_policy::ShareClaim;
use crate::workflow::placement::MIN_BEST_EFFORT_SHARE;
use crate::workflow::placement::RiskLimit;
use crate::workflow::placement::is_eligible;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::plan_decision::ShareReclaim;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::planner_shares::run_usage;
use crate::workflow::spec::ResourceVector;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::urgency::JobUrgency;
use crate::workflow::worker_entry::Competitors;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;

/// Maximum number of claims that are met in one tick, so that a tick stays short with many queues.
const MAX_CLAIMS_PER_TICK: usize = 2;
/// Maximum number of tasks of a queue for which a worker is sought in one tick.
const MAX_TASKS_PER_CLAIM: usize = 4;

impl Planner {
    /// Preempts runs of queues that use more than their entitlement for queues that have been below
    /// theirs for too long.
    pub(crate) fn reclaim_shares(&mut self) {
        if !self.fair_share.settings.has_weights() || !self.may_start() {
            return;
        }
        let mut reclaim = std::mem::take(&mut self.fair_share.reclaim);
        self.fair_share.ledger = self.measure_shares();
        let is_running = |name: &TaskName| {
            let task = self.jobs.get(&name.job).and_then(|entry| entry.progress.task(name));
            task.is_none_or(|task| task.done || !task.attempts.is_empty())
        };
        reclaim.update(&self.fair_share.ledger, is_running, self.now);
        let claims = reclaim.due_claims(&self.fair_share.ledger, self.now);
        for claim in claims.into_iter().take(MAX_CLAIMS_PER_TICK) {
            if !self.reclaim_for(&claim, &mut reclaim) {
                reclaim.on_unmet(&claim, self.now);
                continue;
            }
            // The next claim has to see what was taken for this one.
            self.fair_share.ledger = self.measure_shares();
        }
        self.fair_share.reclaim = reclaim;
    }

    /// Preempts runs for a claim and reserves their resources. Returns whether any were preempted.
    fn reclaim_for(&mut self, claim: &ShareClaim, reclaim: &mut ReclaimPolicy) -> bool {
        let Some(shares) = self.fair_share.ledger.services.get(&claim.service) else {
            return false;
        };
        let excesses = shares.excesses(claim.priority);
        if excesses.is_empty() {
            return false;
        }
        let capacity = shares.capacity;
        for (name, step) in self.claiming_tasks(claim) {
            let chosen = self.cheapest_reclaim(&name, &step, &excesses, reclaim, claim);
            let Some((worker, choice)) = chosen else {
                continue;
            };
            let requested = DominantShare::of(&step.resources, &capacity);
            let requested = requested.map_or(0.0, |requested| requested.share);
            reclaim.on_reclaimed(claim, (&name, requested), &choice, self.now);
            self.carry_out(claim, &name, &step, worker, choice);
            return true;
        }
        false
    }

    /// Tasks of a queue that may get reclaimed resources, those of the most urgent job first; one
    /// of each step, since the tasks of a step have the same requirements. A gang needs more than
    /// one worker's resources at once and waits for what ends by itself, and a job that has become
    /// worthless interrupts nothing.
    fn claiming_tasks(&self, claim: &ShareClaim) -> Vec<(TaskName, StepSpec)> {
        let of_queue = self.jobs.iter().filter(|(_, entry)| {
            let policy = &entry.spec.policy;
            let is_claiming = policy.service == claim.service
                && policy.queue == claim.queue
                // The priority of the claim is that of the most urgent job of the queue.
                && policy.priority == claim.priority;
            is_claiming && entry.end.is_none()
        });
        let mut jobs: Vec<(JobUrgency<'_>, &JobId, &JobEntry)> = of_queue
            .map(|(job, entry)| (JobUrgency::of(entry, self.wall_ms), job, entry))
            .filter(|(urgency, _, _)| !urgency.is_worthless())
            .collect();
        jobs.sort_by(|(a, _, _), (b, _, _)| a.cmp(b));
        let reserved = self.inventory.reserved_tasks(self.now);
        let mut tasks = Vec::new();
        for (_, job, entry) in jobs {
            for (occurrence, step) in self.ready_steps(job) {
                let Some(spec) = entry.spec.steps.get(step as usize).filter(|spec| !spec.gang)
                else {
                    continue;
                };
                let indexes = self.startable(job, occurrence, step, spec).into_iter();
                let mut names =
                    indexes.map(|index| TaskName { job: job.clone(), occurrence, step, index });
                let free = names.find(|name| {
                    !reserved.contains(name) && !self.task_suspicion.is_isolated(name)
                });
                tasks.extend(free.map(|name| (name, spec.clone())));
            }
            if tasks.len() >= MAX_TASKS_PER_CLAIM {
                break;
            }
        }
        tasks.truncate(MAX_TASKS_PER_CLAIM);
        tasks
    }

    /// The worker where preempting borrowed runs for a task costs the least, and these runs.
    fn cheapest_reclaim(
        &self,
        name: &TaskName,
        step: &StepSpec,
        excesses: &BTreeMap<QueueName, f64>,
        reclaim: &ReclaimPolicy,
        claim: &ShareClaim,
    ) -> Option<(InstanceId, ReclaimChoice)> {
        let placement = self.placement_request(name, step, None, None)?;
        // While its job has a running task, a best-effort task is placed only where its effects on
        // others are known to be small, so that preempting runs for it could be in vain.
        if step.best_effort && placement.risk != RiskLimit::Any {
            return None;
        }
        let view = self.placement_view();
        let capacity = self.fair_share.ledger.services.get(&claim.service)?.capacity;
        let budget = reclaim.budget(&claim.service);
        let mut best: Option<(InstanceId, ReclaimChoice)> = None;
        for (instance, worker) in self.inventory.iter() {
            if !is_eligible(&placement, &view, instance, worker) {
                continue;
            }
            let (free, requested) = self.reclaimable(name, step, worker);
            // Most searches end here: nothing is missing, or the worker is too small.
            let whole = worker.status.as_ref().map(|status| status.capacity).unwrap_or_default();
            if free.contains(&requested) || !whole.contains(&requested) {
                continue;
            }
            let request = ReclaimRequest { free, requested, excesses, budget };
            let candidates = self.reclaim_candidates(step, worker, &request, reclaim, &capacity);
            let Some(choice) = reclaim.select(&request, candidates) else {
                continue;
            };
            let cost = |choice: &ReclaimChoice| (choice.without_checkpoints, choice.loss);
            if best.as_ref().is_none_or(|(_, known)| cost(&choice) < cost(known)) {
                best = Some((instance.clone(), choice));
            }
        }
        best
    }

    /// Resources on a worker that are free for a task or become free as runs stop, and what the
    /// task needs of them. For a best-effort task, the processor time is what others leave.
    fn reclaimable(
        &self,
        name: &TaskName,
        step: &StepSpec,
        worker: &WorkerEntry,
    ) -> (ResourceVector, ResourceVector) {
        let stopping = || worker.assigned.values().filter(|run| run.stopping);
        let free = stopping().fold(worker.free_resources(), |free, run| free.plus(&run.reserved));
        let mut free = worker.reservations.available_to(free, name, self.now);
        let mut requested = step.reserved_resources();
        if step.best_effort {
            let stopping = stopping().filter(|run| run.best_effort);
            let ending: u64 = stopping.map(|run| run_usage(run).millicores).sum();
            let used = worker.best_effort_demand(Competitors::All)
                + worker.reservations.best_effort_millicores(name, self.now);
            let left = worker.best_effort_capacity() - used + ending as f64;
            free.millicores = left.max(0.0) as u64;
            requested.millicores =
                (step.resources.millicores as f64 * MIN_BEST_EFFORT_SHARE) as u64;
        }
        (free, requested)
    }

    /// Runs on a worker that belong to queues beyond their entitlement and free a missing resource;
    /// none if all of them free too little. A run whose start may still be carried out is left out:
    /// stopped now, it could begin after its successor.
    fn reclaim_candidates(
        &self,
        step: &StepSpec,
        worker: &WorkerEntry,
        request: &ReclaimRequest<'_>,
        reclaim: &ReclaimPolicy,
        capacity: &ResourceVector,
    ) -> Vec<ReclaimCandidate> {
        let missing = request.requested.minus(&request.free);
        let frees =
            |run: &AssignedRun| if step.best_effort { run_usage(run) } else { run.reserved };
        let frees_enough = |runs: &[(&RunKey, &AssignedRun, &QueueName, f64)]| {
            let freed = runs.iter().fold(request.free, |sum, (_, run, _, _)| sum.plus(&frees(run)));
            freed.contains(&request.requested)
        };
        let settled = worker.assigned.iter().filter(|(_, run)| run.is_settled && !run.stopping);
        let borrowed = settled.filter_map(|(key, run)| {
            if !overlaps(&frees(run), &missing) {
                return None;
            }
            let entry = self.jobs.get(&key.0.job).filter(|entry| entry.end.is_none())?;
            let queue = &entry.spec.policy.queue;
            let excess = *request.excesses.get(queue)?;
            let share = DominantShare::of(&run_usage(run), capacity);
            let share = share.map_or(0.0, |share| share.share);
            reclaim.is_reclaimable(&key.0, share, excess).then_some((key, run, queue, share))
        });
        let borrowed: Vec<(&RunKey, &AssignedRun, &QueueName, f64)> = borrowed.collect();
        if !frees_enough(&borrowed) {
            return Vec::new();
        }
        let candidates = borrowed.into_iter().map(|(key, run, queue, share)| ReclaimCandidate {
            key: key.clone(),
            queue: queue.clone(),
            frees: frees(run),
            share,
            checkpoints: run.checkpoints,
            loss: self.lost_processor_time(run),
            interruptible: run
                .long_running
                .then(|| (key.0.step_key(), self.interruptible_tasks(&key.0))),
        });
        candidates.collect()
    }

    /// Number of tasks of a long-running step that may be interrupted now: its limit less the tasks
    /// that do not work already.
    fn interruptible_tasks(&self, name: &TaskName) -> u32 {
        let Some(entry) = self.jobs.get(&name.job) else {
            return 0;
        };
        let limit = entry.step(name).map_or(0, |step| step.max_unavailable);
        let steps = entry.progress.open.get(&name.occurrence);
        let tasks = steps.and_then(|steps| steps.get(name.step as usize)).into_iter().flatten();
        let unavailable = (0..).zip(tasks).filter(|(index, task)| {
            !self.is_task_working(TaskName { index: *index, ..name.clone() }, task)
        });
        limit.saturating_sub(u32::try_from(unavailable.count()).unwrap_or(u32::MAX))
    }

    /// Stops the chosen runs and reserves their resources for a task.
    fn carry_out(
        &mut self,
        claim: &ShareClaim,
        name: &TaskName,
        step: &StepSpec,
        worker: InstanceId,
        choice: ReclaimChoice,
    ) {
        if let Some(entry) = self.jobs.get_mut(&name.job) {
            entry.last_preemption_ms = self.wall_ms;
        }
        if let Some(worker) = self.inventory.get_mut(&worker) {
            worker.reservations.reserve(name, step, self.now, CLAIM_LIFETIME);
        }
        for (key, from) in choice.runs {
            let from_share = self.fair_share.ledger.queue(&claim.service, &from);
            let from_share =
                from_share.map_or((0.0, 0.0), |share| (share.share, share.entitlement));
            self.decisions.push(PlanDecision::ShareReclaimed(ShareReclaim {
                queue: claim.queue.clone(),
                from,
                task: key.0.clone(),
                run: key.1,
                worker: worker.clone(),
                preemptor: name.clone(),
                share: (claim.share, claim.entitlement),
                from_share,
                waited_ms: u64::try_from(claim.waited.as_millis()).unwrap_or(u64::MAX),
            }));
            self.stop_run(&worker, key);
        }
    }
}
