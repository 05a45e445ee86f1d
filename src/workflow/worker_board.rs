//! What the planner knows of all workers: what runs where, and who is silent.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::RunNumber;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::assigned_run::EndedBestEffortRun;
use crate::workflow::spec::StepSpec;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_entry::ENDED_KEPT;
use crate::workflow::worker_entry::SILENCE_LIMIT;
use crate::workflow::worker_entry::WorkerEntry;

/// After a worker refused a start for want of room it is left alone for this long; its view of its
/// room is then that of the planner again.
const ROOM_PAUSE: Duration = Duration::from_millis(300);
/// Identifies a run of a task.
pub type RunKey = (TaskName, RunNumber);

/// All workers, by the life of their runner.
#[derive(Clone, Debug, Default)]
pub struct WorkerBoard {
    workers: BTreeMap<InstanceId, WorkerEntry>,
}

impl WorkerBoard {
    /// The entry of a life, made when it is new. `lease_end` bounds what earlier planners granted.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// assert!(board.entry("i-1", Instant::now()).status.is_none());
    /// ```
    pub fn entry(&mut self, instance: &str, lease_end: Instant) -> &mut WorkerEntry {
        let made = || WorkerEntry::new(lease_end);
        self.workers.entry(instance.to_string()).or_insert_with(made)
    }

    /// A worker, if it is known.
    ///
    /// ```
    /// assert!(greengagearch::workflow::worker_board::WorkerBoard::default().get("i-1").is_none());
    /// ```
    pub fn get(&self, instance: &str) -> Option<&WorkerEntry> {
        self.workers.get(instance)
    }

    /// A worker to be changed, if it is known.
    ///
    /// ```
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// assert!(board.get_mut("i-1").is_none());
    /// ```
    pub fn get_mut(&mut self, instance: &str) -> Option<&mut WorkerEntry> {
        self.workers.get_mut(instance)
    }

    /// All workers.
    ///
    /// ```
    /// let board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// assert_eq!(board.iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Tasks for which some worker keeps room.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// assert!(board.kept_tasks(Instant::now()).is_empty());
    /// ```
    pub fn kept_tasks(&self, now: Instant) -> HashSet<TaskName> {
        self.workers.values().flat_map(|worker| worker.reservations.tasks(now)).cloned().collect()
    }

    /// Gives a run to a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let now = Instant::now();
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// board.assign("i-1", ("a.0.0.0".parse().unwrap(), 1), &StepSpec::default(), now, now);
    /// assert_eq!(board.get("i-1").unwrap().assigned.len(), 1);
    /// ```
    pub fn assign(
        &mut self,
        instance: &str,
        key: RunKey,
        step: &StepSpec,
        now: Instant,
        lease_end: Instant,
    ) {
        let worker = self.entry(instance, lease_end);
        let run = AssignedRun {
            reserved: step.reserved_resources(),
            millicores: step.resources.millicores,
            best_effort: step.best_effort,
            image: step.image.clone(),
            target_ms: step.target_ms,
            checkpoints: step.checkpoints,
            long_running: step.long_running,
            order: None,
            assigned_at: now,
            last_report: None,
            first_reported_at: None,
            started_at: None,
            sent_traits: None,
            throttled_since: None,
            stopping: false,
            progress: None,
        };
        worker.used = worker.used.plus(&run.reserved);
        worker.reservations.release(&key.0);
        if run.best_effort {
            worker.fills_changed = Some(now);
        }
        worker.assigned.insert(key, run);
    }

    /// Takes a run from a worker, since it has ended there.
    ///
    /// ```
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert!(board.release("i-1", &key, std::time::Instant::now()).is_none());
    /// ```
    pub fn release(&mut self, instance: &str, key: &RunKey, now: Instant) -> Option<AssignedRun> {
        let worker = self.workers.get_mut(instance)?;
        let run = worker.assigned.remove(key)?;
        worker.isolated.take_if(|isolated| isolated == key);
        if run.best_effort {
            worker.fills_changed = Some(now);
            worker
                .ended_best_effort
                .retain(|ended| now.saturating_duration_since(ended.ended_at) < ENDED_KEPT);
            worker.ended_best_effort.extend(run.first_reported_at.map(|started_at| {
                EndedBestEffortRun {
                    image: run.image.clone(),
                    started_at,
                    ended_at: now,
                    pace_percent: run.last_report.as_ref().map_or(0, |seen| seen.pace_percent),
                }
            }));
        }
        worker.used = worker.used.minus(&run.reserved);
        Some(run)
    }

    /// Takes a run from one life to another, which has begun it. Says whether it was ordered to stop on the former.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::spec::StepSpec;
    ///
    /// let now = Instant::now();
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// board.assign("i-1@1", key.clone(), &StepSpec::default(), now, now);
    /// board.entry("i-1@2", now);
    /// assert!(!board.hand_over("i-1@1", "i-1@2", &key));
    /// assert_eq!(board.get("i-1@2").unwrap().assigned.len(), 1);
    /// ```
    pub fn hand_over(&mut self, from: &str, to: &str, key: &RunKey) -> bool {
        let Some(before) = self.workers.get_mut(from) else {
            return false;
        };
        let Some(mut run) = before.assigned.remove(key) else {
            return false;
        };
        before.used = before.used.minus(&run.reserved);
        let was_stopping = std::mem::replace(&mut run.stopping, false);
        if let Some(worker) = self.workers.get_mut(to) {
            worker.used = worker.used.plus(&run.reserved);
            worker.assigned.insert(key.clone(), run);
        }
        was_stopping
    }

    /// Forgets a life of a runner; gives the runs that it had.
    ///
    /// ```
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// assert!(board.forget("i-1").is_empty());
    /// ```
    pub fn forget(&mut self, instance: &str) -> Vec<RunKey> {
        let worker = self.workers.remove(instance);
        worker.into_iter().flat_map(|worker| worker.assigned.into_keys()).collect()
    }

    /// Lives whose leases have surely expired and whose agents are silent.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// assert!(board.expired(Instant::now()).is_empty());
    /// ```
    pub fn expired(&self, now: Instant) -> Vec<InstanceId> {
        let is_expired = |entry: &(&InstanceId, &WorkerEntry)| {
            let heard = entry.1.heard;
            let is_silent =
                heard.is_none_or(|at| now.saturating_duration_since(at) >= SILENCE_LIMIT);
            is_silent && now >= entry.1.lease_end
        };
        self.workers.iter().filter(is_expired).map(|(instance, _)| instance.clone()).collect()
    }

    /// Takes note that a worker refused a start for want of room.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut board = greengagearch::workflow::worker_board::WorkerBoard::default();
    /// board.on_full("i-1", Instant::now());
    /// ```
    pub fn on_full(&mut self, instance: &str, now: Instant) {
        if let Some(worker) = self.workers.get_mut(instance) {
            worker.full_until = Some(now + ROOM_PAUSE);
        }
    }
}
