//! Shares of queues and the bound on waiting: what the planner measures for them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::QueueName;
use crate::ids::ServiceName;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::fair_share::dominant_share::DominantShare;
use crate::workflow::fair_share::reclaim_policy::CLAIM_LIFETIME;
use crate::workflow::fair_share::reclaim_policy::ReclaimPolicy;
use crate::workflow::fair_share::share_ledger::QueueDemand;
use crate::workflow::fair_share::share_ledger::ShareLedger;
use crate::workflow::fair_share::share_settings::ShareSettings;
use crate::workflow::fair_share::wait_bound::WaitBound;
use crate::workflow::fair_share::wait_bound::WaitCandidate;
use crate::workflow::placement::PlacementRequest;
use crate::workflow::placement::PlacementView;
use crate::workflow::placement::is_eligible;
use crate::workflow::planner::Planner;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::serving_layout::long_term_free;
use crate::workflow::spec::ResourceVector;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_progress::TaskProgress;
use crate::workflow::worker_entry::WorkerEntry;

/// Settings of fair sharing and the state that follows from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShareState {
    pub(crate) settings: ShareSettings,
    /// Shares as of the last planning round or tick.
    pub(crate) ledger: ShareLedger,
    pub(crate) reclaim: ReclaimPolicy,
    /// Jobs that come first in their priority because their wait exceeds the bound.
    first_by_wait: HashSet<JobId>,
}

impl FairShareState {
    /// Whether a job comes first in its priority because its wait exceeds the bound.
    pub(crate) fn is_first_by_wait(&self, job: &str) -> bool {
        self.first_by_wait.contains(job)
    }
}

impl JobEntry {
    /// Resources that the tasks request which are ready and not running, and their number. The
    /// processor time of best-effort tasks is included.
    pub(crate) fn waiting_resources(&self) -> (ResourceVector, usize) {
        self.requested_resources(|task| !task.done && task.attempts.is_empty())
    }

    /// Resources that the matching tasks of ready steps request, and their number.
    fn requested_resources(
        &self,
        matches: impl Fn(&TaskProgress) -> bool,
    ) -> (ResourceVector, usize) {
        let (mut requested, mut count) = (ResourceVector::default(), 0);
        for (occurrence, steps) in &self.progress.open {
            for (tasks, step) in steps.iter().zip(&self.spec.steps) {
                if self.progress.is_ready(*occurrence, step) {
                    let tasks = tasks.iter().filter(|task| matches(task)).count();
                    requested = requested.plus(&times(&step.resources, tasks as u64));
                    count += tasks;
                }
            }
        }
        (requested, count)
    }

    /// Number and tasks of the first open occurrence.
    fn first_open(&self) -> Option<(u32, impl Iterator<Item = &TaskProgress>)> {
        let (occurrence, steps) = self.progress.open.iter().next()?;
        Some((*occurrence, steps.iter().flatten()))
    }

    /// Whether any task of the first open occurrence has ever had a run.
    fn has_begun(&self) -> bool {
        let has_run = |task: &TaskProgress| task.done || task.last_run > 0;
        self.first_open().is_some_and(|(_, mut tasks)| tasks.any(has_run))
    }

    fn has_begun_by_wait(&self) -> bool {
        let first = self.first_open().and_then(|(_, mut tasks)| tasks.next());
        first.is_some_and(|task| task.began_by_wait)
    }
}

/// Capacity of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCapacity {
    total: ResourceVector,
    /// Processor time that is left for best-effort tasks, in thousandths of a core.
    best_effort_millicores: f64,
}

impl Planner {
    /// Sets the weights of queues and the bound on waiting; they count from the next round on.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::planner::Planner;
    ///
    /// let mut planner = Planner::new(Instant::now());
    /// planner.set_share_settings(Default::default());
    /// assert!(planner.share_ledger().is_none());
    /// ```
    pub fn set_share_settings(&mut self, settings: ShareSettings) {
        self.fair_share.settings = settings;
    }

    /// Returns the shares of all queues as of the last round or tick; `None` without weights.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.share_ledger().is_none());
    /// ```
    pub fn share_ledger(&self) -> Option<&ShareLedger> {
        self.fair_share.settings.has_weights().then_some(&self.fair_share.ledger)
    }

    /// Computes the shares of queues and the jobs whose wait exceeds the bound, as far as settings
    /// ask for them.
    pub(crate) fn update_shares(&mut self) {
        if self.fair_share.settings.has_weights() {
            self.fair_share.ledger = self.measure_shares();
        }
        self.fair_share.first_by_wait = match self.fair_share.settings.longest_wait {
            Some(longest_wait) => self.jobs_first_by_wait(WaitBound { longest_wait }),
            None => HashSet::new(),
        };
    }

    /// Usage and demand of all queues. Workers without a known status are not counted, neither with
    /// their capacity nor with their runs, and neither are those that get no new runs.
    pub(crate) fn measure_shares(&self) -> ShareLedger {
        let mut by_queue: HashMap<(&str, &str), QueueDemand> = HashMap::new();
        let mut queues: HashMap<&str, (&str, &str)> = HashMap::new();
        for (job, entry) in &self.jobs {
            let policy = &entry.spec.policy;
            let queue = (policy.service.as_str(), policy.queue.as_str());
            queues.insert(job, queue);
            if entry.end.is_some() {
                continue;
            }
            let (waiting, count) = entry.waiting_resources();
            let new = QueueDemand { priority: policy.priority, ..QueueDemand::default() };
            let demand = by_queue.entry(queue).or_insert(new);
            demand.priority = demand.priority.min(policy.priority);
            demand.waiting = demand.waiting.plus(&waiting);
            demand.waiting_tasks += count;
        }
        for (_, worker) in self.inventory.iter().filter(|(_, worker)| is_counted(worker)) {
            for (key, run) in worker.assigned.iter().filter(|(_, run)| !run.stopping) {
                let queue = queues.get(key.0.job.as_str());
                if let Some(demand) = queue.and_then(|queue| by_queue.get_mut(queue)) {
                    demand.usage = demand.usage.plus(&run_usage(run));
                }
            }
        }
        let mut demands: BTreeMap<ServiceName, BTreeMap<QueueName, QueueDemand>> = BTreeMap::new();
        for ((service, queue), demand) in by_queue {
            if demand.waiting_tasks > 0 || demand.usage != ResourceVector::default() {
                demands.entry(service.to_string()).or_default().insert(queue.to_string(), demand);
            }
        }
        let capacities = self.service_capacities().into_iter();
        let totals = capacities.map(|(service, capacity)| (service, capacity.total));
        ShareLedger::of(&self.fair_share.settings, totals.collect(), demands)
    }

    fn service_capacities(&self) -> BTreeMap<ServiceName, ServiceCapacity> {
        let mut capacities: BTreeMap<ServiceName, ServiceCapacity> = BTreeMap::new();
        for (_, worker) in self.inventory.iter().filter(|(_, worker)| is_counted(worker)) {
            if let Some(status) = &worker.status {
                let capacity = capacities.entry(status.service.clone()).or_default();
                capacity.total = capacity.total.plus(&status.capacity);
                capacity.best_effort_millicores += worker.best_effort_capacity();
            }
        }
        capacities
    }

    /// Jobs whose wait exceeds the bound or that have begun because it did, as far as they may come
    /// first.
    fn jobs_first_by_wait(&self, bound: WaitBound) -> HashSet<JobId> {
        let mut candidates = Vec::new();
        let mut capacities = None;
        for (job, entry) in self.jobs.iter().filter(|(_, entry)| entry.end.is_none()) {
            let Some((occurrence, _)) = entry.first_open() else {
                continue;
            };
            let waited_ms = self.wall_ms.saturating_sub(entry.spec.due_ms(occurrence));
            let objective_ms = entry.remaining_work().objective_ms;
            let overdue_ms = bound.overdue_ms(waited_ms, objective_ms);
            let has_begun_by_wait = entry.has_begun_by_wait();
            if !has_begun_by_wait && (overdue_ms.is_none() || entry.has_begun()) {
                continue;
            }
            let service = &entry.spec.policy.service;
            let capacities = capacities.get_or_insert_with(|| self.service_capacities());
            // Without a known capacity nothing can start.
            let Some(capacity) = capacities.get(service) else {
                continue;
            };
            let mut total = capacity.total;
            if entry.is_best_effort() {
                total.millicores = (capacity.best_effort_millicores as u64).max(1);
            }
            let (requested, _) = entry.requested_resources(|task| !task.done);
            let share = DominantShare::of(&requested, &total);
            candidates.push(WaitCandidate {
                job: job.clone(),
                service: service.clone(),
                has_begun: has_begun_by_wait,
                overdue_ms: overdue_ms.unwrap_or(0),
                share: share.map_or(0.0, |share| share.share),
            });
        }
        let mut known = HashMap::new();
        bound.select(candidates, |candidate| self.has_fitting_worker(&candidate.job, &mut known))
    }

    /// Whether some worker could run a task of each ready step of a job if only long-running tasks
    /// were on it. `known` holds the answers by service, label and resources, so that many jobs with
    /// the same requirements cost one search.
    fn has_fitting_worker<'a>(
        &'a self,
        job: &str,
        known: &mut HashMap<(&'a str, &'a str, [u64; 3]), bool>,
    ) -> bool {
        let Some(entry) = self.jobs.get(job) else {
            return false;
        };
        let service = entry.spec.policy.service.as_str();
        let mut fits = |step: &'a StepSpec| {
            let requested = step.reserved_resources();
            let amounts = [requested.millicores, requested.memory_mib, requested.accelerators];
            let key = (service, step.required_label.as_str(), amounts);
            *known.entry(key).or_insert_with(|| {
                self.inventory.iter().any(|(_, worker)| {
                    worker.status.as_ref().is_some_and(|status| {
                        let has_label = step.required_label.is_empty()
                            || status.labels.contains(&step.required_label);
                        status.service == service && has_label
                    }) && long_term_free(worker).contains(&requested)
                })
            })
        };
        let ready = self.ready_steps(job);
        let mut steps = ready.iter().filter_map(|(_, step)| entry.spec.steps.get(*step as usize));
        steps.all(&mut fits)
    }

    /// Reserves resources for a task of a job that comes first by its wait and fits on no worker, on
    /// the worker that lacks the least. Otherwise smaller tasks would use whatever becomes free
    /// there. One task of a step at a time; a best-effort task of such a job needs no processor time
    /// to be free.
    pub(crate) fn reserve_by_wait(&mut self, name: &TaskName, step: &StepSpec) {
        if step.best_effort || !self.fair_share.is_first_by_wait(&name.job) {
            return;
        }
        let reserved = self.worker_reserved_for_step(name, step);
        let Some((instance, task)) = reserved.or_else(|| self.nearest_worker(name, step)) else {
            return;
        };
        if let Some(worker) = self.inventory.get_mut(&instance) {
            worker.reservations.reserve(&task, step, self.now, CLAIM_LIFETIME);
        }
    }

    /// A worker that is reserved for a waiting task of the same step and can still run it, and that
    /// task.
    fn worker_reserved_for_step(
        &self,
        name: &TaskName,
        step: &StepSpec,
    ) -> Option<(InstanceId, TaskName)> {
        let is_waiting = |task: &TaskName| {
            let progress = self.jobs.get(&task.job).and_then(|entry| entry.progress.task(task));
            progress.is_some_and(|task| !task.done && task.attempts.is_empty())
        };
        let is_of_step = |task: &TaskName| {
            (task.step, task.occurrence) == (name.step, name.occurrence) && task.job == name.job
        };
        let request = self.placement_request(name, step, None, None)?;
        let view = self.placement_view();
        self.inventory.iter().find_map(|(instance, worker)| {
            let mut tasks = worker.reservations.tasks(self.now);
            let task = tasks.find(|task| is_of_step(task) && is_waiting(task))?;
            let can_run = can_run_later(&request, &view, instance, worker);
            can_run.then(|| (instance.clone(), task.clone()))
        })
    }

    /// The worker that could run a task once its other runs have ended and that lacks the least
    /// resources for it.
    fn nearest_worker(&self, name: &TaskName, step: &StepSpec) -> Option<(InstanceId, TaskName)> {
        let request = self.placement_request(name, step, None, None)?;
        let view = self.placement_view();
        let requested = step.reserved_resources();
        let mut nearest: Option<(f64, &InstanceId)> = None;
        for (instance, worker) in self.inventory.iter() {
            let Some(capacity) = worker.status.as_ref().map(|status| status.capacity) else {
                continue;
            };
            if !can_run_later(&request, &view, instance, worker) {
                continue;
            }
            let missing = requested.minus(&worker.available_to(name, self.now));
            let share = DominantShare::of(&missing, &capacity).map_or(0.0, |missing| missing.share);
            if nearest.is_none_or(|(least, _)| share < least) {
                nearest = Some((share, instance));
            }
        }
        nearest.map(|(_, instance)| (instance.clone(), name.clone()))
    }

    /// Records the jobs that have begun because their wait exceeds the bound. The record is stored
    /// with the progress of the job, so that they keep their place also under another planner.
    pub(crate) fn record_starts_by_wait(&mut self) {
        for job in &self.fair_share.first_by_wait {
            let Some(entry) = self.jobs.get_mut(job) else {
                continue;
            };
            if entry.has_begun_by_wait() || !entry.has_begun() {
                continue;
            }
            let first = entry.progress.open.values_mut().next();
            let first = first.and_then(|steps| steps.first_mut()?.first_mut());
            if let Some(task) = first {
                task.began_by_wait = true;
                self.changed_jobs.insert(job.clone());
            }
        }
    }
}

/// Whether a worker could run a task once its runs have ended, except long-running ones, which do
/// not end by themselves.
fn can_run_later(
    request: &PlacementRequest<'_>,
    view: &PlacementView<'_>,
    instance: &str,
    worker: &WorkerEntry,
) -> bool {
    is_eligible(request, view, instance, worker)
        && long_term_free(worker).contains(&request.step.reserved_resources())
}

/// Whether a worker counts towards the capacity that queues share.
fn is_counted(worker: &WorkerEntry) -> bool {
    let is_in_use = worker.status.as_ref().is_some_and(|status| !status.draining);
    is_in_use && !worker.is_evacuated
}

/// Resources that a run uses: what it reserves, and for a best-effort run also the processor time
/// at its current pace.
pub(crate) fn run_usage(run: &AssignedRun) -> ResourceVector {
    let mut usage = run.reserved;
    if run.best_effort {
        let pace = run.last_report.as_ref().map_or(100, |report| report.pace_percent);
        usage.millicores = run.millicores * u64::from(pace) / 100;
    }
    usage
}

fn times(resources: &ResourceVector, count: u64) -> ResourceVector {
    ResourceVector {
        millicores: resources.millicores * count,
        memory_mib: resources.memory_mib * count,
        accelerators: resources.accelerators * count,
    }
}
