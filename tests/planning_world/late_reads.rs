//! Planners that read the rows of jobs late while their writes come through: the connection of their
//! feed goes silent, and jobs are cancelled meanwhile.

use super::*;

/// Time after the cancelling of a job in which the last task of it starts, in milliseconds.
const CANCEL_LIMIT: u64 = 3_000;
/// Time between two confirmations of the feed, and the longest time that a change takes to the planner, in milliseconds.
const READ_PERIOD: u64 = 1_500;
const LONGEST_DELIVERY: u64 = 65;
/// Pause between two silences of the feed, at least.
const SILENCE_PAUSE: u64 = 500;

/// The state of the feeds.
#[derive(Clone, Debug, Default)]
pub(super) struct LateReadState {
    is_enabled: bool,
    /// Until when each planner reads nothing, by the planner's number.
    silent_until: BTreeMap<usize, u64>,
}

impl PlanningWorld {
    /// The same world with feeds of jobs that go silent.
    pub fn with_late_reads(mut self) -> PlanningWorld {
        self.late_reads.is_enabled = true;
        self.at(1_000, Event::SilentFeed);
        self
    }

    /// The feed of the newest planner goes silent, and some job that has not ended is cancelled.
    pub(super) fn on_silent_feed(&mut self) {
        if self.is_calm() {
            return;
        }
        let planner = self.planners.len() - 1;
        let silence = self.rng.random_range(1_000..8_000);
        self.late_reads.silent_until.insert(planner, self.now + silence);
        let live = self
            .records
            .iter()
            .filter(|(_, (_, record))| matches!(record, JobRecord::Live { cancelled: false, .. }));
        let live: Vec<String> = live.map(|(job, _)| job.clone()).collect();
        if !live.is_empty() && self.rng.random_bool(0.7) {
            let job = live[self.rng.random_range(0..live.len())].clone();
            let delay = self.rng.random_range(1..1_000);
            self.at(delay, Event::Cancel { job });
        }
        let next = silence + self.rng.random_range(SILENCE_PAUSE..3_000);
        self.at(next, Event::SilentFeed);
    }

    /// A new planner has read all jobs.
    pub(super) fn begin_job_reads(&mut self, planner: usize) {
        if !self.late_reads.is_enabled || self.missing == Missing::JobKnowledge {
            return;
        }
        let now = self.planner_instant(planner);
        let limit = Duration::from_millis(CANCEL_LIMIT);
        self.planners[planner].planner.set_cancel_limit(limit, now);
        self.at(1, Event::ReadJobs { planner });
    }

    pub(super) fn on_read_jobs(&mut self, planner: usize) {
        if !self.planners[planner].is_alive {
            return;
        }
        let silence = self.feed_silence(planner);
        if silence > 0 {
            return self.at(silence, Event::ReadJobs { planner });
        }
        let confirmed_at = self.planner_instant(planner);
        self.at(LONGEST_DELIVERY, Event::JobsConfirmed { planner, confirmed_at });
        self.at(READ_PERIOD, Event::ReadJobs { planner });
    }

    pub(super) fn on_jobs_confirmed(&mut self, planner: usize, confirmed_at: Instant) {
        let pause = self.planners[planner].paused_until.saturating_sub(self.now);
        if pause > 0 {
            return self.at(pause, Event::JobsConfirmed { planner, confirmed_at });
        }
        self.planners[planner].planner.on_jobs_confirmed(confirmed_at);
        self.flush(planner);
    }

    /// Time until a planner's feed is not silent any more.
    pub(super) fn feed_silence(&self, planner: usize) -> u64 {
        let until = self.late_reads.silent_until.get(&planner).copied().unwrap_or(0);
        until.saturating_sub(self.now)
    }

    /// Starts of cancelled jobs later than their callers are promised.
    pub(super) fn check_cancel_limit(&self) -> Vec<String> {
        if !self.late_reads.is_enabled {
            return Vec::new();
        }
        let mut found = Vec::new();
        for record in &self.audit.records {
            let (task, began) = (&record.key.0, record.began);
            let Some(cancelled) = self.cancelled.get(&task.job) else {
                continue;
            };
            let agent: usize = record.life.split('-').next().unwrap().parse().unwrap();
            let is_excused =
                self.is_late_start(&record.key, began) || !self.is_in_touch(agent, began);
            if began > cancelled + CANCEL_LIMIT && !is_excused {
                let late = began - cancelled;
                found.push(format!("{task} starts {late} ms after the cancelling of its job"));
            }
        }
        found
    }
}
