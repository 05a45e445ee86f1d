//! Counters of the planner's jobs, runs and workers, for the pulse row and the log.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::ids::QueueName;
use crate::workflow::learned_interference::LearnedInterference;
use crate::workflow::pair_interference::PairInterferenceModel;
use crate::workflow::planner::Planner;
use crate::workflow::urgency::JobUrgency;
use crate::workflow::worker_entry::Competitors;

/// Counters of the planner's jobs, runs and workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerLoad {
    /// Jobs that the planner tracks.
    pub jobs: usize,
    /// Tasks that are ready but not running.
    pub waiting_tasks: usize,
    /// Runs of serving tasks.
    pub serving_runs: usize,
    /// Runs of best-effort tasks.
    pub best_effort_runs: usize,
    /// Runs of best-effort tasks that are throttled.
    pub throttled_runs: usize,
    /// Processor time that best-effort runs would use at their current pace, in thousandths of a
    /// core.
    pub best_effort_demand: u64,
    /// Processor time that best-effort runs use, in thousandths of a core.
    pub best_effort_usage: u64,
    /// Runs that are neither serving nor best-effort.
    pub other_runs: usize,
    /// Workers that accept new runs.
    pub open_workers: usize,
    /// Workers with serving tasks.
    pub serving_workers: usize,
    /// Workers that get no further best-effort tasks, because those that they run are throttled.
    pub saturated_workers: usize,
    /// Best-effort jobs that have not ended.
    pub best_effort_jobs: usize,
    /// Best-effort jobs that have not ended and can no longer meet their objective.
    pub late_best_effort_jobs: usize,
    /// Processor time that runs of late best-effort jobs use, in thousandths of a core. The rest of
    /// `best_effort_usage` belongs to jobs that can still meet their objective.
    pub late_best_effort_usage: u64,
}

impl Planner {
    /// Number of jobs of each queue that have not started any task.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// assert!(greengagearch::workflow::planner::Planner::new(Instant::now()).pending().is_empty());
    /// ```
    pub fn pending(&self) -> BTreeMap<QueueName, u64> {
        let mut counts = BTreeMap::new();
        let not_started = self.jobs.values().filter(|job| job.end.is_none() && !job.progress.begun);
        for job in not_started {
            *counts.entry(job.spec.policy.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the current counters, for the log.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.load().jobs, 0);
    /// ```
    pub fn load(&self) -> PlannerLoad {
        let mut load = PlannerLoad { jobs: self.jobs.len(), ..PlannerLoad::default() };
        load.waiting_tasks = self.jobs.values().map(|entry| entry.waiting_tasks(|_| true)).sum();
        let late = self.late_best_effort_jobs();
        let open = self.jobs.values().filter(|entry| entry.end.is_none());
        load.best_effort_jobs = open.filter(|entry| entry.is_best_effort()).count();
        load.late_best_effort_jobs = late.len();
        for (_, worker) in self.inventory.iter() {
            load.saturated_workers += usize::from(worker.is_saturated(Competitors::All));
            load.open_workers += usize::from(worker.is_open(self.now));
            load.serving_workers += usize::from(worker.is_serving());
            for (key, run) in &worker.assigned {
                load.serving_runs += usize::from(run.target_ms > 0);
                load.best_effort_runs += usize::from(run.best_effort);
                load.throttled_runs += usize::from(run.throttled_since.is_some());
                if let Some(report) = run.last_report.as_ref().filter(|_| run.best_effort) {
                    load.best_effort_demand +=
                        run.millicores * u64::from(report.pace_percent) / 100;
                    load.best_effort_usage += report.usage;
                    if late.contains(key.0.job.as_str()) {
                        load.late_best_effort_usage += report.usage;
                    }
                }
                load.other_runs += usize::from(!run.best_effort && run.target_ms == 0);
            }
        }
        load
    }

    /// Best-effort jobs that have not ended and can no longer meet their objective.
    fn late_best_effort_jobs(&self) -> HashSet<&str> {
        let open =
            self.jobs.iter().filter(|(_, entry)| entry.end.is_none() && entry.is_best_effort());
        let late = open.filter(|(_, entry)| JobUrgency::of(entry, self.wall_ms).is_late());
        late.map(|(job, _)| job.as_str()).collect()
    }

    /// Returns the learned interference between images, which a successor planner restores.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.learned().pairs.is_empty());
    /// ```
    pub fn learned(&self) -> LearnedInterference {
        self.interference.learned()
    }

    /// Restores the interference between images that an earlier planner has learned.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.restore_learned(Default::default());
    /// ```
    pub fn restore_learned(&mut self, learned: LearnedInterference) {
        self.interference = PairInterferenceModel::from_learned(learned, self.now);
    }

    /// Summarizes the learned interference between images, for the log.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.learned_summary(), "");
    /// ```
    pub fn learned_summary(&self) -> String {
        self.interference.summary()
    }
}
