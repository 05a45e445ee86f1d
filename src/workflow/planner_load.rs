//! Numbers of what the planner has in hand, for the pulse and the log.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::ids::QueueName;
use crate::workflow::disturbance::DisturbanceModel;
use crate::workflow::learned_effects::LearnedEffects;
use crate::workflow::planner::Planner;
use crate::workflow::urgency::JobUrgency;

/// Numbers of what a planner has in hand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannerLoad {
    /// Jobs that are not forgotten.
    pub jobs: usize,
    /// Tasks whose turn has come and that do not run.
    pub waiting_tasks: usize,
    /// Runs that serve.
    pub serving_runs: usize,
    /// Runs that fill.
    pub best_effort_runs: usize,
    /// Runs that fill and are held up.
    pub throttled_runs: usize,
    /// Processor time that runs that fill would use at their present pace, in thousandths of a core.
    pub best_effort_demand: u64,
    /// Processor time that they use, in thousandths of a core.
    pub best_effort_usage: u64,
    /// Other runs.
    pub other_runs: usize,
    /// Workers that take new work.
    pub open_workers: usize,
    /// Workers on which something serves.
    pub serving_workers: usize,
    /// Workers that get no more fills, because those that they have are slowed.
    pub saturated_workers: usize,
    /// Open jobs that fill, and those of them that can no longer be in time.
    pub best_effort_jobs: usize,
    /// See `best_effort_jobs`.
    pub late_best_effort_jobs: usize,
    /// Processor time that runs of such late jobs use, in thousandths of a core; the rest of `best_effort_usage` can still be
    /// in time.
    pub late_best_effort_usage: u64,
}

impl Planner {
    /// Jobs of each queue of which no task has started.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// assert!(greengagearch::workflow::planner::Planner::new(Instant::now()).pending().is_empty());
    /// ```
    pub fn pending(&self) -> BTreeMap<QueueName, u64> {
        let mut counts = BTreeMap::new();
        let waiting = self.jobs.values().filter(|job| job.end.is_none() && !job.progress.begun);
        for job in waiting {
            *counts.entry(job.spec.policy.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// What waits and what runs, for the log.
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
        load.best_effort_jobs = open.filter(|entry| entry.fills()).count();
        load.late_best_effort_jobs = late.len();
        for (_, worker) in self.inventory.iter() {
            load.saturated_workers += usize::from(worker.holds_fills_back());
            load.open_workers += usize::from(worker.is_open(self.now));
            load.serving_workers += usize::from(worker.is_serving());
            for (key, run) in &worker.assigned {
                load.serving_runs += usize::from(run.target_ms > 0);
                load.best_effort_runs += usize::from(run.fills);
                load.throttled_runs += usize::from(run.slow_since.is_some());
                if let Some(seen) = run.seen.as_ref().filter(|_| run.fills) {
                    load.best_effort_demand += run.millicores * u64::from(seen.pace_percent) / 100;
                    load.best_effort_usage += seen.usage;
                    if late.contains(key.0.job.as_str()) {
                        load.late_best_effort_usage += seen.usage;
                    }
                }
                load.other_runs += usize::from(!run.fills && run.target_ms == 0);
            }
        }
        load
    }

    /// Open jobs that fill and can no longer be in time.
    fn late_best_effort_jobs(&self) -> HashSet<&str> {
        let open = self.jobs.iter().filter(|(_, entry)| entry.end.is_none() && entry.fills());
        let late = open.filter(|(_, entry)| JobUrgency::of(entry, self.wall_ms).is_late());
        late.map(|(job, _)| job.as_str()).collect()
    }

    /// What a successor should know of images.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.learned().pairs.is_empty());
    /// ```
    pub fn learned(&self) -> LearnedEffects {
        self.disturbance.learned()
    }

    /// Takes over what a predecessor has learned of images.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.restore_learned(Default::default());
    /// ```
    pub fn restore_learned(&mut self, learned: LearnedEffects) {
        self.disturbance = DisturbanceModel::from_learned(learned, self.now);
    }

    /// What was learned of images that disturb each other, for the log.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.learned_summary(), "");
    /// ```
    pub fn learned_summary(&self) -> String {
        self.disturbance.summary()
    }
}
