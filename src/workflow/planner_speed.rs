//! Learning from the progress of runs: durations of tasks, and speeds of workers if that is
//! enabled. Ejection of slow workers, and moves of tasks away from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::RejectReason;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::ids::ServiceName;
use crate::workflow::advice_cache::StepKey;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::assigned_run::RunProgress;
use crate::workflow::plan_decision::MoveReason;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::planner_consolidation::MIN_RUN_AGE;
use crate::workflow::planner_consolidation::WORKING_PERCENT;
use crate::workflow::planner_moves::MAX_MOVES_PER_TICK;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::Competitors;
use crate::workflow::worker_entry::ENDED_RETENTION;
use crate::workflow::worker_entry::WorkerEntry;
use crate::workflow::worker_inventory::RunKey;
use crate::workflow::worker_speed::FleetSpeed;
use crate::workflow::worker_speed::speed_sample::ProgressReport;
use crate::workflow::worker_speed::speed_sample::SampleGroup;
use crate::workflow::worker_speed::speed_sample::TaskRate;

/// Time between two evaluations of the speeds. Slow phases last for seconds.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two removals of what belongs to ended runs and jobs.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);
/// Pace of a run that is not throttled, in percent.
const FULL_PACE: u32 = 100;
/// Number of runs for which a destination is looked for in one tick. Each takes a pass over all
/// workers, and when these are full it finds none.
const MAX_SEARCHES_PER_TICK: usize = 16;

/// What a worker's snapshot says about the speed of the worker.
enum SpeedEvidence {
    /// Progress of a run that ends.
    Progress(RunKey, ProgressReport),
    /// Tail latency of a serving task, as the rate of a task of its group.
    Tail(TaskName, SampleGroup, f64),
}

impl Planner {
    /// Enables or disables the learning of worker speeds. What was learned is discarded.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.learn_speed(true);
    /// assert_eq!(planner.slow_workers(), Some((vec![], 0)));
    /// ```
    pub fn learn_speed(&mut self, is_enabled: bool) {
        self.speeds = is_enabled.then(FleetSpeed::default);
    }

    /// Speeds of the slow and the ejected workers, as far as they are known, and the number of
    /// ejected workers; `None` if speeds are not learned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.slow_workers(), None);
    /// ```
    pub fn slow_workers(&self) -> Option<(Vec<(InstanceId, f64)>, usize)> {
        let speeds = self.speeds.as_ref()?;
        let slow = speeds.expected_end.iter().map(|(worker, _)| worker);
        let workers: BTreeSet<&InstanceId> = slow.chain(speeds.ejection.workers()).collect();
        let known = workers.into_iter().filter_map(|worker| {
            let speed = speeds.model.speed(worker, self.now)?;
            Some((worker.clone(), speed.speed))
        });
        Some((known.collect(), speeds.ejection.count()))
    }

    /// Learns from a snapshot of a worker that its agent sent at `sent_at` by the agent's clock.
    pub(crate) fn learn_progress(&mut self, instance: &str, sent_at: Duration) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let progress = worker.assigned.iter().filter(|(_, run)| !run.long_running);
        let progress = progress.filter_map(|(key, run)| Some((key.0.clone(), run.progress?)));
        let progress: Vec<(TaskName, RunProgress)> = progress.collect();
        let evidence = self.speeds.as_ref().map(|_| self.speed_evidence(worker, sent_at));
        self.learn_durations(&progress);
        let Some(speeds) = &mut self.speeds else {
            return;
        };
        for one in evidence.into_iter().flatten() {
            let sample = match one {
                SpeedEvidence::Progress(key, report) => {
                    speeds.model.on_progress(instance, &key, report, self.now)
                }
                SpeedEvidence::Tail(task, group, rate) => {
                    let rate = TaskRate { worker: instance.to_string(), rate, at: self.now };
                    speeds.model.on_rate(group, &task, rate)
                }
            };
            if let Some(sample) = sample {
                speeds.ejection.on_sample(&sample);
            }
        }
    }

    fn learn_durations(&mut self, progress: &[(TaskName, RunProgress)]) {
        for (name, done) in progress {
            if let Some(entry) = self.jobs.get_mut(&name.job) {
                let span = (f64::from(done.from_percent), f64::from(done.to_percent));
                entry.forecast.record_progress(name.into(), span, done.worked_ms);
            }
        }
    }

    fn speed_evidence(&self, worker: &WorkerEntry, sent_at: Duration) -> Vec<SpeedEvidence> {
        // Best-effort runs that ask for more than there is slow down each other at full pace.
        let is_crowded =
            worker.best_effort_demand(Competitors::All) > worker.best_effort_capacity();
        let is_undisturbed = is_undisturbed(worker, self.now);
        let each = worker.assigned.iter().filter_map(|(key, run)| {
            if run.target_ms > 0 {
                return is_undisturbed.then(|| tail_evidence(worker, key, run)).flatten();
            }
            let step = self.jobs.get(&key.0.job)?.step(&key.0)?;
            let report = run.last_report.as_ref()?;
            // Runs away from the rack of their data take a multiple of the time, and the members of
            // a gang wait for each other.
            let labels = &worker.status.as_ref()?.labels;
            let is_away = !step.preferred_rack.is_empty() && !labels.contains(&step.preferred_rack);
            if run.long_running || step.gang || is_away {
                return None;
            }
            let is_throttled = report.pace_percent < FULL_PACE || is_crowded;
            let report = ProgressReport {
                at: sent_at,
                percent: report.progress_percent,
                is_full_pace: !run.best_effort || !is_throttled,
            };
            Some(SpeedEvidence::Progress(key.clone(), report))
        });
        each.collect()
    }

    /// Records that a worker rejected a run because it is unwell.
    pub(crate) fn note_health(&mut self, instance: &str, reason: RejectReason) {
        if let Some(speeds) = &mut self.speeds
            && reason == RejectReason::Unwell
        {
            speeds.ejection.on_unwell(instance, self.now);
        }
    }

    /// Ejects and readmits workers by their speeds, and moves tasks off slow workers.
    pub(crate) fn leave_slow_workers(&mut self) {
        let Some(mut speeds) = self.speeds.take() else {
            return;
        };
        if speeds.is_due(self.now, EVALUATION_INTERVAL) {
            self.evaluate_speeds(&mut speeds);
        }
        if speeds.is_cleanup_due(self.now, CLEANUP_INTERVAL) {
            self.discard_obsolete_speeds(&mut speeds);
        }
        let has_slow = speeds.ejection.count() > 0 || speeds.expected_end.iter().next().is_some();
        self.speeds = Some(speeds);
        if has_slow {
            self.move_best_effort_off_slow_workers();
            self.move_serving_off_slow_workers();
        }
    }

    fn evaluate_speeds(&mut self, speeds: &mut FleetSpeed) {
        let mut services: BTreeMap<ServiceName, Vec<InstanceId>> = BTreeMap::new();
        for (instance, worker) in self.inventory.iter() {
            if let Some(status) = &worker.status {
                services.entry(status.service.clone()).or_default().push(instance.clone());
            }
        }
        speeds.ejection.end_probes(|worker, task| {
            let runs = self.inventory.get(worker).map(|worker| &worker.assigned);
            runs.is_some_and(|runs| runs.keys().any(|key| key.0 == *task))
        });
        let changes = speeds.evaluate(services, self.now);
        self.decisions.extend(changes.into_iter().map(PlanDecision::WorkerSpeed));
    }

    fn discard_obsolete_speeds(&self, speeds: &mut FleetSpeed) {
        let is_open = |(job, occurrence, _): &StepKey| {
            let entry = self.jobs.get(job).filter(|entry| entry.end.is_none());
            entry.is_some_and(|entry| entry.progress.open.contains_key(occurrence))
        };
        let is_assigned = |worker: &str, key: &RunKey| {
            self.inventory.get(worker).is_some_and(|worker| worker.assigned.contains_key(key))
        };
        let is_known = |worker: &str| self.inventory.get(worker).is_some();
        speeds.model.retain(is_assigned, is_open, is_known, self.now);
        speeds.stragglers.retain(is_open);
    }

    /// Moves best-effort tasks with checkpoints whose move saves time, those that complete a job
    /// first.
    fn move_best_effort_off_slow_workers(&mut self) {
        let Some(speeds) = &self.speeds else {
            return;
        };
        if !speeds.stragglers.may_act(self.now) {
            return;
        }
        let mut unfinished: BTreeMap<(JobId, u32), usize> = BTreeMap::new();
        let mut runs: Vec<(usize, InstanceId, RunKey)> = Vec::new();
        let slow = self.inventory.iter().filter(|(instance, _)| speeds.is_slow(instance));
        for (instance, worker) in slow {
            for (key, run) in &worker.assigned {
                if speeds.stragglers.may_move(&key.0, self.now)
                    && self.can_continue_elsewhere(key, run)
                    && self.saves_time(speeds, instance, key, run)
                {
                    let occurrence = (key.0.job.clone(), key.0.occurrence);
                    let tasks = unfinished
                        .entry(occurrence)
                        .or_insert_with(|| self.unfinished_tasks(&key.0));
                    runs.push((*tasks, instance.clone(), key.clone()));
                }
            }
        }
        runs.sort();
        self.move_slow_runs(runs.into_iter().map(|(_, instance, key)| (instance, key)).collect());
    }

    /// Returns whether a run is the only one of a best-effort task that resumes from a checkpoint.
    fn can_continue_elsewhere(&self, key: &RunKey, run: &AssignedRun) -> bool {
        let entry = self.jobs.get(&key.0.job);
        let task = entry.and_then(|entry| entry.progress.task(&key.0));
        let is_only_run = task.is_some_and(|task| !task.done && task.attempts.len() == 1);
        let is_plain = run.best_effort && run.checkpoints && !run.long_running;
        is_plain && run.is_settled && !run.stopping && is_only_run
    }

    fn saves_time(
        &self,
        speeds: &FleetSpeed,
        instance: &str,
        key: &RunKey,
        run: &AssignedRun,
    ) -> bool {
        let percent = run.last_report.as_ref().map_or(0, |report| report.progress_percent);
        let outlook = speeds.outlook((&key.0, percent), instance, run.assigned_at, self.now);
        outlook.is_some_and(|outlook| outlook.needs_move())
    }

    /// Number of tasks of a task's occurrence that are not done.
    fn unfinished_tasks(&self, name: &TaskName) -> usize {
        let entry = self.jobs.get(&name.job);
        let steps = entry.and_then(|entry| entry.progress.open.get(&name.occurrence));
        steps.into_iter().flatten().flatten().filter(|task| !task.done).count()
    }

    /// Moves serving tasks above their targets off ejected workers while all tasks of their steps
    /// work, one of a step at a time, where the step allows interruptions.
    fn move_serving_off_slow_workers(&mut self) {
        let Some(speeds) = &self.speeds else {
            return;
        };
        let mut runs: Vec<(InstanceId, RunKey)> = Vec::new();
        let mut steps = BTreeSet::new();
        let ejected =
            self.inventory.iter().filter(|(instance, _)| speeds.ejection.is_ejected(instance));
        for (instance, worker) in ejected {
            for (key, run) in &worker.assigned {
                let tail_ms = run.last_report.as_ref().map_or(0, |report| report.usage);
                let is_slowed = run.target_ms > 0 && tail_ms > run.target_ms;
                let age = self.now.saturating_duration_since(run.assigned_at);
                let is_movable = run.long_running && !run.stopping && age >= MIN_RUN_AGE;
                let step = self.jobs.get(&key.0.job).and_then(|entry| entry.step(&key.0));
                let may_interrupt = step.is_some_and(|step| step.max_unavailable > 0);
                if is_slowed
                    && is_movable
                    && may_interrupt
                    && self.is_step_working(&key.0)
                    && steps.insert(key.0.step_key())
                {
                    runs.push((instance.clone(), key.clone()));
                }
            }
        }
        self.move_slow_runs(runs);
    }

    /// Moves the first few of the runs that have a faster destination, within the limits.
    fn move_slow_runs(&mut self, runs: Vec<(InstanceId, RunKey)>) {
        let now = self.now;
        let mut moves = 0;
        let mut searches = 0;
        for (instance, key) in runs {
            if moves == MAX_MOVES_PER_TICK || searches == MAX_SEARCHES_PER_TICK {
                break;
            }
            let may_move = |speeds: &FleetSpeed| {
                speeds.stragglers.may_act(now) && speeds.stragglers.may_move(&key.0, now)
            };
            if !self.speeds.as_ref().is_some_and(may_move) {
                continue;
            }
            searches += 1;
            let Some(to) = self.destination_for(&instance, &key) else {
                continue;
            };
            let Some(speeds) = &mut self.speeds else {
                return;
            };
            if !speeds.is_slow(&to) && speeds.stragglers.take_move(&key.0, now) {
                moves += 1;
                self.move_run(&instance, key, &to, MoveReason::Slow);
            }
        }
    }
}

/// Returns whether no best-effort run has affected the tail latencies that a worker reports.
fn is_undisturbed(worker: &WorkerEntry, now: Instant) -> bool {
    let is_paused = |run: &AssignedRun| {
        run.last_report.as_ref().is_some_and(|report| report.mean_pace_percent == 0)
    };
    let is_past = |at: Instant| now.saturating_duration_since(at) >= ENDED_RETENTION;
    worker.best_effort_runs(Competitors::All).all(is_paused)
        && worker.ended_best_effort.iter().all(|ended| is_past(ended.ended_at))
}

fn tail_evidence(worker: &WorkerEntry, key: &RunKey, run: &AssignedRun) -> Option<SpeedEvidence> {
    let report = run.last_report.as_ref()?;
    if report.progress_percent < WORKING_PERCENT || report.usage == 0 {
        return None;
    }
    let domain = worker.status.as_ref()?.domain.clone();
    let group = SampleGroup { step: key.0.step_key(), domain };
    Some(SpeedEvidence::Tail(key.0.clone(), group, 1.0 / report.usage as f64))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workflow::progress::JobRecord;
    use crate::workflow::spec::StepSpec;
    use crate::workflow::spec::WorkflowSpec;

    /// A scheduled job may last for months, and has new occurrences all the time.
    #[test]
    fn rates_of_occurrences_that_are_not_open_are_discarded() {
        let now = Instant::now();
        let mut planner = Planner::new(now);
        planner.learn_speed(true);
        let steps = vec![StepSpec { count: 4, ..StepSpec::default() }];
        let spec = WorkflowSpec { steps, times: 9, interval_ms: 1_000, ..WorkflowSpec::unknown() };
        planner.on_record("a", 1, JobRecord::Live { spec, cancelled: false });
        planner.set_time(now, 500);
        planner.on_tick();
        let mut speeds = planner.speeds.take().unwrap();
        let tasks: [TaskName; 2] = ["a.0.0.0".parse().unwrap(), "a.7.0.0".parse().unwrap()];
        for task in &tasks {
            let group = SampleGroup { step: task.step_key(), domain: String::new() };
            let rate = TaskRate { worker: "i-1".into(), rate: 0.1, at: now };
            speeds.model.on_rate(group, task, rate);
        }
        planner.discard_obsolete_speeds(&mut speeds);
        assert_eq!(speeds.model.rate(&tasks[0], "i-1", now), Some(0.1), "it is open");
        assert_eq!(speeds.model.rate(&tasks[1], "i-1", now), None);
    }
}
