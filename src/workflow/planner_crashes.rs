//! Handling of worker crashes: which tasks are isolated, cleared or given up because of them.

use std::time::Duration;

use crate::connection::node_protocol::MAX_YOUNG_AGE;
use crate::connection::node_protocol::RunnerCrash;
use crate::ids::JobId;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::progress::JobEnd;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_suspicion::CrashedRun;
use crate::workflow::worker_inventory::RunKey;

/// Maximum number of tasks of a job whose crashes are kept in its row, so that the row stays within
/// the size limit of the store.
const MAX_CRASHED_TASKS: usize = 64;

impl Planner {
    /// Records the crash of a runner instance, which later reports repeat; only the first has an
    /// effect. The caller gives up the runs of the instance afterwards. Returns the task to give up
    /// together with its job, if there is one.
    pub(crate) fn on_crash(&mut self, crash: &RunnerCrash) -> Option<TaskName> {
        let worker = self.inventory.get(&crash.instance).filter(|worker| !worker.has_ended)?;
        let is_active =
            |key: &RunKey| worker.assigned.contains_key(key) && !self.has_recorded_end(key);
        let active =
            crash.young.iter().filter(|recent| is_active(&(recent.task.clone(), recent.run)));
        let recent = active.map(|run| CrashedRun {
            task: run.task.clone(),
            max_age: run.max_age,
            min_age: run.min_age,
            is_certain: run.is_certain,
        });
        let recent: Vec<CrashedRun> = recent.collect();
        let (worker, reported) = (crash.instance.clone(), crash.young.clone());
        self.decisions.push(PlanDecision::WorkerCrashed { worker, young: reported });
        self.record_crash(&crash.instance, &recent)
    }

    /// Attributes a loss that no agent explained to the isolated task on the worker, since an agent
    /// that ends together with its runner cannot report which runs had started.
    pub(crate) fn on_unexplained_loss(&mut self, instance: &str) -> Option<TaskName> {
        let worker = self.inventory.get(instance).filter(|worker| !worker.has_ended)?;
        let is_draining = worker.status.as_ref().is_some_and(|status| status.draining);
        let (task, run) = worker.isolated.clone().filter(|_| !is_draining)?;
        let is_recorded =
            self.task_suspicion.crashes(&task).iter().any(|crash| crash.instance == instance);
        if is_recorded || !self.task_suspicion.is_isolated(&task) {
            return None;
        }
        let is_certain = worker.assigned.get(&(task.clone(), run))?.started_at.is_some();
        let (max_age, min_age) = (MAX_YOUNG_AGE, Duration::ZERO);
        self.record_crash(instance, &[CrashedRun { task, max_age, min_age, is_certain }])
    }

    fn record_crash(&mut self, instance: &str, recent: &[CrashedRun]) -> Option<TaskName> {
        let verdict = self.task_suspicion.on_crash(instance, recent, self.now);
        for task in verdict.isolated.clone() {
            let crashes = self.task_suspicion.crashes(&task).len();
            let worker = instance.to_string();
            self.decisions.push(PlanDecision::TaskIsolated { task, crashes, worker });
        }
        let recent = recent.iter().map(|run| &run.task);
        recent.chain(&verdict.exonerated).for_each(|task| self.store_crashes(task));
        verdict.given_up
    }

    /// Copies the crashes of a task into the row of its job, so that a successor planner knows
    /// them.
    fn store_crashes(&mut self, name: &TaskName) {
        let crashes = self.task_suspicion.crashes(name);
        let is_isolated = self.task_suspicion.is_isolated(name);
        let Some(entry) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let is_new = entry.progress.task(name).is_some_and(|task| task.crashes.is_empty());
        if is_new && entry.progress.crashed_tasks(&name.job).len() >= MAX_CRASHED_TASKS {
            return;
        }
        if let Some(task) = entry.progress.task_mut(name)
            && (task.crashes != crashes || task.isolated != is_isolated)
        {
            task.crashes = crashes.to_vec();
            task.isolated = is_isolated;
            self.changed_jobs.insert(name.job.clone());
        }
    }

    /// Ends the job of a task that keeps crashing its workers and therefore cannot complete.
    pub(crate) fn give_up_task(&mut self, task: TaskName, worker: &str) {
        let job = task.job.clone();
        self.decisions.push(PlanDecision::TaskGivenUp { task, worker: worker.to_string() });
        self.end_job(&job, JobEnd::Failed);
    }

    /// Clears the tasks whose runs on a worker have lasted longer than their crashed runs.
    pub(crate) fn clear_surviving_tasks(&mut self, instance: &str) {
        if self.task_suspicion.is_empty() {
            return;
        }
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        let mut cleared = Vec::new();
        for ((task, _), run) in &worker.assigned {
            let clearing_age = self.task_suspicion.clearing_age(task);
            let age = run.started_at.map(|begun| self.now.saturating_duration_since(begun));
            if clearing_age.is_some_and(|clearing_age| age.is_some_and(|age| age >= clearing_age)) {
                cleared.push(task.clone());
            }
        }
        worker.isolated.take_if(|key| cleared.contains(&key.0));
        cleared.iter().for_each(|task| self.clear_task(task));
    }

    /// Removes the crashes recorded against a task.
    pub(crate) fn clear_task(&mut self, task: &TaskName) {
        if self.task_suspicion.clear(task) {
            self.decisions.push(PlanDecision::TaskCleared { task: task.clone() });
            self.store_crashes(task);
        }
    }

    /// Starts isolated tasks before all others, so that no other task is assigned to their workers
    /// in the same round. Returns the number of tasks started.
    pub(crate) fn start_isolated(&mut self) -> usize {
        let mut started = 0;
        for job in self.task_suspicion.isolated_jobs() {
            for name in self.isolated_tasks(&job) {
                if !self.may_start_isolated() {
                    return started;
                }
                started += self.start_isolated_task(&name);
            }
        }
        started
    }

    /// Returns the isolated tasks of a job that can start. Gangs are left out, since they start as
    /// a whole with their job.
    fn isolated_tasks(&self, job: &JobId) -> Vec<TaskName> {
        let mut tasks = Vec::new();
        let entry = self.jobs.get(job).filter(|entry| entry.end.is_none());
        for (occurrence, step) in self.ready_steps(job) {
            let spec = entry.and_then(|entry| entry.spec.steps.get(step as usize));
            let Some(spec) = spec.filter(|spec| !spec.gang) else {
                continue;
            };
            for index in self.startable(job, occurrence, step, spec) {
                tasks.push(TaskName { job: job.clone(), occurrence, step, index });
            }
        }
        tasks.retain(|name| self.task_suspicion.is_isolated(name));
        tasks
    }

    fn start_isolated_task(&mut self, name: &TaskName) -> usize {
        let step = self.jobs.get(&name.job).and_then(|entry| entry.step(name)).cloned();
        let Some(step) = step else {
            return 0;
        };
        let Some(worker) = self.choose_worker(name, &step, None, None) else {
            return 0;
        };
        let run = self.last_run(name) + 1;
        self.assign(name, run, worker, &step);
        1
    }

    /// Marks a worker as running a suspected task, which keeps other tasks from starting there.
    pub(crate) fn isolate(&mut self, worker: &str, key: &RunKey) {
        self.task_suspicion.on_isolated_start(self.now);
        if let Some(worker) = self.inventory.get_mut(worker) {
            worker.isolated.get_or_insert_with(|| key.clone());
        }
    }

    /// Returns whether another isolated task may start now.
    pub(crate) fn may_start_isolated(&self) -> bool {
        let open = self.inventory.iter().filter(|(_, worker)| worker.is_open(self.now));
        let (mut workers, mut isolated) = (0, 0);
        for (_, worker) in open {
            workers += 1;
            isolated += usize::from(worker.isolated.is_some());
        }
        self.task_suspicion.may_start_isolated(workers, isolated, self.now)
    }
}
