//! The store's side of the planners' writes.

use super::*;

impl PlanningWorld {
    /// A write comes to the store, perhaps again, perhaps from a planner that has ended.
    pub(super) fn on_commit(&mut self, planner: usize, number: u64, sent: u64) {
        if self.is_store_out() {
            return;
        }
        let process = &self.planners[planner];
        let fate = match process.applied.get(&number) {
            Some(version) => WriteFate::Stored(*version, None),
            None => match process.write.clone().filter(|(known, _)| *known == number) {
                Some((_, batch)) => self.apply(planner, number, &batch, sent),
                None => return,
            },
        };
        if self.chance(0.04) {
            // The answer is lost.
            return;
        }
        self.send(Event::Committed { planner, number, fate });
    }

    fn apply(&mut self, planner: usize, number: u64, batch: &PlanBatch, sent: u64) -> WriteFate {
        let is_owner = self.planners[planner].epoch == self.owner_epoch;
        if !is_owner && self.missing != Missing::OwnerCondition {
            return WriteFate::Replaced;
        }
        let is_current = batch.writes.iter().all(|write| match write {
            PlanWrite::Progress(job, version, _) => {
                self.progress.get(job).map_or(0, |(known, _)| *known) == *version
            }
            PlanWrite::End(job, version, _) => {
                self.records.get(job).map_or(0, |(known, _)| *known) == *version
            }
        });
        let are_jobs_unchanged = batch
            .conditions
            .iter()
            .all(|(job, version)| self.records.get(job).map_or(0, |(known, _)| *known) == *version);
        if !are_jobs_unchanged && self.missing != Missing::JobKnowledge {
            return WriteFate::Conflict;
        }
        // Without the owner's row nothing binds a batch to the rows that it was made from.
        if !is_current && self.missing != Missing::OwnerCondition {
            return WriteFate::Conflict;
        }
        self.version += 1;
        let version = self.version;
        for write in &batch.writes {
            match write.clone() {
                PlanWrite::Progress(job, _, Some(progress)) => {
                    self.progress.insert(job, (version, progress));
                }
                PlanWrite::Progress(job, _, None) => {
                    self.progress.remove(&job);
                }
                PlanWrite::End(job, _, record) => self.store_end(job, version, record),
            }
        }
        self.planners[planner].applied.insert(number, version);
        WriteFate::Stored(version, Some(sent))
    }

    fn store_end(&mut self, job: String, version: u64, record: JobRecord) {
        if let Some((_, JobRecord::Ended { .. })) = self.records.get(&job) {
            self.audit.violations.push(format!("at {}: job {job} ends twice", self.now));
        }
        if matches!(record, JobRecord::Ended { end: JobEnd::Completed, .. }) {
            self.check_completed(&job);
        }
        self.records.insert(job.clone(), (version, record));
        self.tell(&job);
    }

    fn check_completed(&mut self, job: &str) {
        let spec = &self.specs[job.parse::<usize>().unwrap()];
        for (step, one) in (0..).zip(&spec.steps) {
            for index in 0..one.count {
                let task = format!("{job}.0.{step}.{index}").parse().unwrap();
                if !self.audit.is_done(&task) {
                    let text = format!("at {}: {job} completed without {task}", self.now);
                    self.audit.violations.push(text);
                }
            }
        }
    }

    /// Runs that begin after their job was shown as completed, on time or late.
    pub(super) fn check_starts_after_completion(&self) -> Vec<String> {
        let completed_at = |job: &str| match self.records.get(job) {
            Some((_, JobRecord::Ended { end: JobEnd::Completed, ended_ms, .. })) => {
                Some(ended_ms - WALL)
            }
            _ => None,
        };
        let runs = self.audit.records.iter();
        let late = runs.filter(|run| {
            completed_at(&run.key.0.job).is_some_and(|completed| run.began > completed)
        });
        late.map(|run| {
            format!("at {}: {} starts after its job was completed", run.began, run.key.0)
        })
        .collect()
    }

    pub(super) fn on_committed(&mut self, planner: usize, number: u64, fate: WriteFate) {
        let now = self.planner_instant(planner);
        let process = &mut self.planners[planner];
        let is_awaited = process.write.as_ref().is_some_and(|(known, _)| *known == number);
        if !process.is_alive || !is_awaited {
            return;
        }
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            self.at(delay, Event::Committed { planner, number, fate });
            return;
        }
        let batch = process.write.take().map(|(_, batch)| batch).unwrap_or_default();
        process.planner.set_time(now, WALL + self.now);
        match fate {
            WriteFate::Stored(version, proof) => {
                if let Some(sent) = proof {
                    let sent = self.base + Duration::from_millis(sent);
                    process.proof = process.proof.max(sent);
                    process.planner.on_rows_confirmed(&batch.conditions, sent);
                }
                process.planner.on_committed(batch, version);
            }
            WriteFate::Replaced => process.is_alive = false,
            WriteFate::Conflict => {
                let jobs = batch.writes.iter().map(|write| match write {
                    PlanWrite::Progress(job, _, _) | PlanWrite::End(job, _, _) => job.clone(),
                });
                let newest = jobs.filter_map(|job| {
                    let (version, record) = self.records.get(&job)?.clone();
                    Some((job, version, record))
                });
                let newest = newest.collect();
                process.planner.on_conflict(batch, newest);
            }
        }
        self.flush(planner);
    }
}
