//! Orders that the planner releases to the workers, and the conditions under which starts are.

use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::StartOrder;
use crate::ids::JobId;
use crate::ids::RowVersion;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::job_knowledge::HoldChange;
use crate::workflow::job_knowledge::JobKnowledge;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::AddressedOrder;
use crate::workflow::planner::Planner;
use crate::workflow::task_name::TaskName;

/// What becomes of a queued start.
enum StartRelease {
    /// It is sent.
    Send,
    /// It stays queued.
    Hold(HoldReason),
    /// It is dropped.
    Drop,
}

/// Why a start stays queued.
enum HoldReason {
    /// Requests of operators may have been missed.
    Evacuations,
    /// A cancel of its job may have been missed.
    Cancels,
}

impl Planner {
    /// Limits the time after the cancel of a job in which tasks of it start. The planner has read
    /// all jobs with calls sent from `read_at` on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut planner = greengagearch::workflow::planner::Planner::new(now);
    /// planner.set_cancel_limit(Duration::from_secs(3), now);
    /// ```
    pub fn set_cancel_limit(&mut self, limit: Duration, read_at: Instant) {
        self.job_knowledge = Some(JobKnowledge::new(limit, read_at));
    }

    /// Records that all changes of jobs that the store had applied by `confirmed_at` have been
    /// passed to [`Planner::on_record`].
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// greengagearch::workflow::planner::Planner::new(now).on_jobs_confirmed(now);
    /// ```
    pub fn on_jobs_confirmed(&mut self, confirmed_at: Instant) {
        if let Some(knowledge) = &mut self.job_knowledge {
            knowledge.confirm(confirmed_at);
        }
    }

    /// Records that the rows of jobs had these versions when the store handled a call that was sent
    /// at `sent_at`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// greengagearch::workflow::planner::Planner::new(now).on_rows_confirmed(&[], now);
    /// ```
    pub fn on_rows_confirmed(&mut self, rows: &[(JobId, RowVersion)], sent_at: Instant) {
        for (job, version) in rows {
            self.unconfirmed_jobs.remove(job);
            let entry = self.jobs.get_mut(job).filter(|entry| entry.record_version == *version);
            if let Some(entry) = entry {
                entry.confirmed_at = entry.confirmed_at.max(Some(sent_at));
            }
        }
    }

    /// Returns the age of what is known of a job; zero without a limit on starts after a cancel.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.job_age("a"), Duration::ZERO);
    /// ```
    pub fn job_age(&self, job: &str) -> Duration {
        let row_confirmed_at = self.jobs.get(job).and_then(|entry| entry.confirmed_at);
        self.job_knowledge
            .map_or(Duration::ZERO, |knowledge| knowledge.age(row_confirmed_at, self.now))
    }

    /// Returns the orders that may be sent now. Starts of runs that have been given up, stopped or
    /// transferred since they were queued are dropped, and starts on evacuated workers are
    /// withdrawn; the others are valid until the end of the newest lease that was granted to their
    /// worker, and no longer than what is known of their job allows. Starts stay queued while
    /// requests of operators or a cancel of their job may have been missed.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_orders().is_empty());
    /// ```
    pub fn take_orders(&mut self) -> Vec<AddressedOrder> {
        let queued = std::mem::take(&mut self.outbox);
        let mut released = Vec::with_capacity(queued.len());
        let mut unconfirmed = Vec::new();
        for (instance, mut order) in queued {
            if let NodeOrder::Start(start) = &mut order {
                match self.release_start(&instance, start) {
                    StartRelease::Send => {}
                    StartRelease::Hold(reason) => {
                        if matches!(reason, HoldReason::Cancels) {
                            unconfirmed.push(start.traits.task.clone());
                            self.request_confirmation(&start.traits.task.job);
                        }
                        self.outbox.push((instance, order));
                        continue;
                    }
                    StartRelease::Drop => continue,
                }
            }
            released.push((instance, order));
        }
        self.log_hold(&unconfirmed);
        released
    }

    /// Decides on a queued start, and sets the lease that it is sent under.
    fn release_start(&mut self, instance: &str, start: &mut StartOrder) -> StartRelease {
        let key = (start.traits.task.clone(), start.run);
        let Some(worker) = self.inventory.get(instance) else {
            return StartRelease::Drop;
        };
        let run = worker.assigned.get(&key);
        if run.is_none_or(|run| run.delivery != OrderDelivery::Queued || run.stopping) {
            return StartRelease::Drop;
        }
        if worker.is_evacuated {
            self.withdraw_start(instance, &key);
            return StartRelease::Drop;
        }
        if !self.may_start() {
            return StartRelease::Hold(HoldReason::Evacuations);
        }
        start.lease = worker.granted;
        if let Some(knowledge) = &self.job_knowledge {
            let entry = self.jobs.get(&key.0.job);
            let row_confirmed_at = entry.and_then(|entry| entry.confirmed_at);
            let Some(deadline) = knowledge.start_deadline(row_confirmed_at, self.now) else {
                return StartRelease::Hold(HoldReason::Cancels);
            };
            start.lease = worker.granted_before(deadline);
        }
        StartRelease::Send
    }

    /// Has the progress of a job stored again on condition that its row has not changed. The feed
    /// of jobs may stay silent, or confirm too late over a slow connection.
    fn request_confirmation(&mut self, job: &JobId) {
        if self.unconfirmed_jobs.insert(job.clone()) {
            self.changed_jobs.insert(job.clone());
        }
    }

    /// Records whether starts are held back because a cancel of their jobs may have been missed.
    fn log_hold(&mut self, unconfirmed: &[TaskName]) {
        let now = self.now;
        let Some(knowledge) = &mut self.job_knowledge else {
            return;
        };
        match (knowledge.record_hold(!unconfirmed.is_empty(), now), unconfirmed.first()) {
            (Some(HoldChange::Begins), Some(first)) => {
                let age = self.job_age(&first.job);
                let (first, starts) = (first.clone(), unconfirmed.len());
                self.decisions.push(PlanDecision::StartsHeld { first, starts, age });
            }
            (Some(HoldChange::Ends(held)), _) => {
                self.decisions.push(PlanDecision::StartsReleased { held });
            }
            (Some(HoldChange::Begins) | None, _) => {}
        }
    }
}
