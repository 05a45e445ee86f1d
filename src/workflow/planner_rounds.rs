//! Planning rounds: the order in which jobs get workers, and the tasks that start.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::RunNumber;
use crate::workflow::advice_cache::StepKey;
use crate::workflow::placement::PlacementRequest;
use crate::workflow::placement::PlacementView;
use crate::workflow::placement::RiskLimit;
use crate::workflow::placement::choose;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::remaining_work::RemainingWork;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::RunAttempt;
use crate::workflow::task_progress::TaskProgress;
use crate::workflow::unplaceable_requests::UnplaceableRequests;
use crate::workflow::worker_entry::Competitors;
use crate::workflow::worker_entry::WorkerEntry;

/// Time without a run, in milliseconds, after which the best-effort tasks of a job are placed
/// regardless of risk. Users tolerate three seconds during which a job stands still although
/// capacity is free.
const STARVED_AFTER_MS: u64 = 1_200;

/// A planning round that is done in slices.
#[derive(Clone, Debug)]
pub(crate) struct PlanRound {
    /// Jobs that are still to be planned, the first in front.
    jobs: VecDeque<JobId>,
    unplaceable: UnplaceableRequests,
    /// Searches left in the current slice.
    searches_left: usize,
}

impl PlanRound {
    fn on_searches(&mut self, count: usize) {
        self.searches_left = self.searches_left.saturating_sub(count);
    }
}

/// Result of a slice of a planning round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanSlice {
    /// Number of tasks assigned.
    pub started: usize,
    /// Whether all jobs have been planned.
    pub is_complete: bool,
}

fn task_of_step(step: &StepKey, index: u32) -> TaskName {
    let (job, occurrence, step) = step.clone();
    TaskName { job, occurrence, step, index }
}

impl Planner {
    /// Assigns ready tasks to workers that have capacity, unless requests of operators may have been
    /// missed. Returns the number of tasks assigned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.plan(), 0);
    /// ```
    pub fn plan(&mut self) -> usize {
        self.round = None;
        self.plan_slice(usize::MAX).started
    }

    /// Continues the current planning round, or begins one, and stops after about `max_searches`
    /// searches for a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.plan_slice(64).is_complete);
    /// ```
    pub fn plan_slice(&mut self, max_searches: usize) -> PlanSlice {
        if !self.may_start() {
            self.round = None;
            return PlanSlice { started: 0, is_complete: true };
        }
        let mut round = self.round.take().unwrap_or_else(|| self.begin_round());
        round.searches_left = max_searches;
        let reserved = self.inventory.reserved_tasks(self.now);
        self.unknown_tasks = self.inventory.tasks_with_unknown_runs();
        let mut started = self.start_isolated();
        while round.searches_left > 0
            && let Some(job) = round.jobs.pop_front()
        {
            // The job may have ended since the round began.
            if self.jobs.get(&job).is_none_or(|entry| entry.end.is_some()) {
                continue;
            }
            let started_of_job = self.plan_job(&job, &reserved, &mut round);
            started += started_of_job;
            // A job that uses up a slice without a start waits for the next round, so that it does
            // not hold up the others.
            if round.searches_left == 0 && started_of_job > 0 {
                round.jobs.push_front(job);
            }
        }
        self.record_starts_by_wait();
        let is_complete = round.jobs.is_empty();
        if !is_complete {
            self.round = Some(round);
        }
        PlanSlice { started, is_complete }
    }

    /// Determines the order of the jobs for a planning round.
    fn begin_round(&mut self) -> PlanRound {
        for entry in self.jobs.values_mut().filter(|entry| entry.remaining_work.is_none()) {
            entry.remaining_work = Some(RemainingWork::of(entry));
        }
        self.update_shares();
        let order = self.job_order();
        let preferred = self.preferred_jobs(&order);
        let jobs: VecDeque<JobId> = order.into_iter().map(|(_, job)| job.clone()).collect();
        self.set_preferred_jobs(preferred);
        let unplaceable = UnplaceableRequests::new(self.speeds.is_some());
        PlanRound { jobs, unplaceable, searches_left: 0 }
    }

    fn plan_job(
        &mut self,
        job: &str,
        reserved: &HashSet<TaskName>,
        round: &mut PlanRound,
    ) -> usize {
        let mut started = 0;
        for (occurrence, step) in self.ready_steps(job) {
            let Some(spec) =
                self.jobs.get(job).and_then(|entry| entry.spec.steps.get(step as usize))
            else {
                continue;
            };
            let spec = spec.clone();
            let indexes = self.startable(job, occurrence, step, &spec);
            let key = (job.to_string(), occurrence, step);
            if !indexes.is_empty() {
                self.query_advice(&key);
            }
            let names = indexes.into_iter().map(|index| task_of_step(&key, index));
            started += if spec.gang {
                let members: Vec<TaskName> = names.collect();
                round.on_searches(members.len());
                self.start_gang(&members, &spec)
            } else {
                let names = names.filter(|name| !self.task_suspicion.is_isolated(name));
                // That the other tasks of the step cannot be placed does not affect a task with a
                // reservation.
                let (reserved, others): (Vec<TaskName>, Vec<TaskName>) =
                    names.partition(|name| reserved.contains(name));
                round.on_searches(reserved.len());
                self.start_reserved(reserved, &spec)
                    + self.start_each(others.into_iter(), &spec, round)
            };
            if spec.speculative && !spec.gang {
                started += self.start_copies(job, occurrence, step, &spec);
            }
        }
        started
    }

    /// Queries the advice service for the workers on which a step may run, if its queue requires
    /// that.
    fn query_advice(&mut self, step: &StepKey) {
        let Some(policy) = self.jobs.get(&step.0).map(|entry| &entry.spec.policy) else {
            return;
        };
        if policy.advice.is_none() {
            return;
        }
        let may_run = |worker: &WorkerEntry| {
            let is_served =
                worker.status.as_ref().is_some_and(|status| status.service == policy.service);
            is_served && worker.is_open(self.now)
        };
        let open = self.inventory.iter().filter(|(_, worker)| may_run(worker));
        let workers = open.map(|(instance, _)| instance.clone()).collect();
        self.advice_queries.extend(self.advice.next_query(step, workers, self.now));
    }

    /// Steps that are ready to run, as pairs of occurrence and step number.
    pub(crate) fn ready_steps(&self, job: &str) -> Vec<(u32, u32)> {
        let Some(entry) = self.jobs.get(job) else {
            return Vec::new();
        };
        let mut ready = Vec::new();
        for occurrence in entry.progress.open.keys() {
            for (number, step) in (0..).zip(&entry.spec.steps) {
                if entry.progress.is_ready(*occurrence, step) {
                    ready.push((*occurrence, number));
                }
            }
        }
        ready
    }

    /// Indexes of a step's tasks that are neither done nor running, not even in a run that was given
    /// up and is being stopped; for a gang, either all of them or none.
    pub(crate) fn startable(
        &self,
        job: &str,
        occurrence: u32,
        step: u32,
        spec: &StepSpec,
    ) -> Vec<u32> {
        let tasks = self.jobs.get(job).and_then(|entry| entry.progress.open.get(&occurrence));
        let Some(tasks) = tasks.and_then(|steps| steps.get(step as usize)) else {
            return Vec::new();
        };
        let is_unknown = |index: u32| {
            !self.unknown_tasks.is_empty()
                && self
                    .unknown_tasks
                    .contains(&task_of_step(&(job.to_string(), occurrence, step), index))
        };
        let is_running =
            |index, task: &TaskProgress| !task.attempts.is_empty() || is_unknown(index);
        if spec.gang && (0..).zip(tasks).any(|(index, task)| is_running(index, task)) {
            return Vec::new();
        }
        let idle = (0..).zip(tasks).filter(|(index, task)| !task.done && !is_running(*index, task));
        idle.map(|(index, _)| index).collect()
    }

    /// Starts moved tasks with a reservation. They come before the other tasks of the step, whose
    /// search ends at the first task that cannot be placed; otherwise a moved task would wait
    /// behind them while its reserved capacity stays unused.
    fn start_reserved(&mut self, names: Vec<TaskName>, spec: &StepSpec) -> usize {
        let mut started = 0;
        for name in names {
            if let Some(worker) = self.choose_worker(&name, spec, None, None) {
                let run = self.last_run(&name) + 1;
                self.assign(&name, run, worker, spec);
                started += 1;
            }
        }
        started
    }

    fn start_each(
        &mut self,
        names: impl Iterator<Item = TaskName>,
        spec: &StepSpec,
        round: &mut PlanRound,
    ) -> usize {
        let mut started = 0;
        for name in names {
            if round.searches_left == 0 {
                break;
            }
            let Some(worker) = self.choose_unless_unplaceable(&name, spec, round) else {
                // The tasks of a step have the same requirements, so the others cannot be placed
                // either.
                self.preempt_for(&name, spec);
                break;
            };
            let run = self.last_run(&name) + 1;
            self.assign(&name, run, worker, spec);
            started += 1;
        }
        started
    }

    /// Starts all members of a gang under one run number, or none. A gang that should be colocated
    /// starts on one rack if a rack has capacity for it, else on several.
    fn start_gang(&mut self, names: &[TaskName], spec: &StepSpec) -> usize {
        let racks: BTreeSet<String> = if spec.colocated {
            let statuses = self.inventory.iter().filter_map(|(_, worker)| worker.status.as_ref());
            statuses.map(|status| status.rack().to_string()).collect()
        } else {
            BTreeSet::new()
        };
        for rack in racks {
            let started = self.start_gang_on(names, spec, Some(&rack));
            if started > 0 {
                return started;
            }
        }
        self.start_gang_on(names, spec, None)
    }

    fn start_gang_on(&mut self, names: &[TaskName], spec: &StepSpec, rack: Option<&str>) -> usize {
        let is_isolated = names.iter().any(|name| self.task_suspicion.is_isolated(name));
        if is_isolated && !self.may_start_isolated() {
            return 0;
        }
        let run = names.iter().map(|name| self.last_run(name)).max().unwrap_or(0) + 1;
        let mut placed: Vec<(InstanceId, &TaskName)> = Vec::new();
        for name in names {
            let Some(worker) = self.choose_worker(name, spec, rack, None) else {
                for (worker, name) in placed {
                    self.inventory.release(&worker, &(name.clone(), run), self.now);
                }
                return 0;
            };
            // Assigned temporarily, so that the next members see the remaining capacity.
            self.inventory.assign(
                &worker,
                (name.clone(), run),
                spec,
                self.now,
                self.inherited_lease_end,
            );
            placed.push((worker, name));
        }
        for (worker, name) in placed {
            self.inventory.release(&worker, &(name.clone(), run), self.now);
            self.assign(name, run, worker, spec);
        }
        names.len()
    }

    pub(crate) fn choose_worker(
        &self,
        name: &TaskName,
        spec: &StepSpec,
        rack: Option<&str>,
        excluded_worker: Option<&str>,
    ) -> Option<InstanceId> {
        choose(&self.placement_request(name, spec, rack, excluded_worker)?, &self.placement_view())
    }

    /// Returns a worker for a task. Skips the search if no worker was found for a similar request
    /// in this round.
    fn choose_unless_unplaceable(
        &self,
        name: &TaskName,
        spec: &StepSpec,
        round: &mut PlanRound,
    ) -> Option<InstanceId> {
        let request = self.placement_request(name, spec, None, None)?;
        if round.unplaceable.covers(&request) {
            return None;
        }
        round.on_searches(1);
        let chosen = choose(&request, &self.placement_view());
        if chosen.is_none() {
            round.unplaceable.add(&request);
        }
        chosen
    }

    /// Builds the placement request of a task.
    pub(crate) fn placement_request<'a>(
        &'a self,
        name: &'a TaskName,
        spec: &'a StepSpec,
        rack: Option<&'a str>,
        excluded_worker: Option<&'a str>,
    ) -> Option<PlacementRequest<'a>> {
        let entry = self.jobs.get(&name.job)?;
        let failed_on = entry.failed_on.get(&(name.occurrence, name.step, name.index));
        Some(PlacementRequest {
            task: name,
            step: spec,
            service: &entry.spec.policy.service,
            failed_on: failed_on.map_or(&[], Vec::as_slice),
            risk: self.risk_limit(entry),
            needs_ticket: entry.spec.policy.advice.is_some(),
            rack,
            is_isolated: self.task_suspicion.is_isolated(name),
            excluded_worker,
            competitors: if self.precedence.yields(&name.job) {
                Competitors::All
            } else {
                Competitors::Preferred
            },
        })
    }

    /// State that a placement is decided on.
    pub(crate) fn placement_view(&self) -> PlacementView<'_> {
        PlacementView {
            inventory: &self.inventory,
            suspicion: &self.suspicion,
            interference: &self.interference,
            advice: &self.advice,
            being_emptied: self.consolidation.being_emptied(),
            speeds: self.speeds.as_ref(),
            now: self.now,
        }
    }

    /// Returns the accepted risk to serving tasks: any, for a job that has had no run for a while.
    fn risk_limit(&self, entry: &JobEntry) -> RiskLimit {
        let idle_ms = self.wall_ms.saturating_sub(entry.last_run_ms);
        let is_idle = entry.progress.is_idle();
        if is_idle && idle_ms > STARVED_AFTER_MS { RiskLimit::Any } else { RiskLimit::Explore }
    }

    pub(crate) fn last_run(&self, name: &TaskName) -> RunNumber {
        let entry = self.jobs.get(&name.job);
        entry.and_then(|entry| entry.progress.task(name)).map_or(0, |task| task.last_run)
    }

    /// Assigns a run to a worker. Its start order is sent after the run is stored.
    pub(crate) fn assign(
        &mut self,
        name: &TaskName,
        run: RunNumber,
        worker: InstanceId,
        spec: &StepSpec,
    ) {
        let key = (name.clone(), run);
        let Some(entry) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let due_ms = entry.spec.due_ms(name.occurrence);
        entry.last_run_ms = self.wall_ms;
        let Some(task) = entry.progress.task_mut(name) else {
            return;
        };
        task.last_run = run;
        self.decisions.push(PlanDecision::Assigned {
            task: name.clone(),
            run,
            worker: worker.clone(),
            age_ms: self.wall_ms.saturating_sub(due_ms),
            failures: task.failures,
        });
        task.attempts.push(RunAttempt { run, worker: worker.clone(), in_doubt: false, end: None });
        self.inventory.assign(&worker, key.clone(), spec, self.now, self.inherited_lease_end);
        self.set_yields(&worker, &key);
        if self.task_suspicion.is_isolated(name) {
            self.isolate(&worker, &key);
        }
        self.suspicion.on_start(&worker, &name.to_string(), self.now);
        if let Some(speeds) = &mut self.speeds {
            speeds.ejection.on_start(&worker, name, self.now);
        }
        self.changed_jobs.insert(name.job.clone());
        self.pending_starts.entry(name.job.clone()).or_default().push((worker, key));
    }
}
