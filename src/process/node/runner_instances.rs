//! The instances of the runner on an agent's host: the current one, its predecessors, and a
//! possible successor.
//!
//! Only responses to polls decide which instance is current. Heartbeats and deregistrations may
//! arrive late, and start times come from clocks that may be set back.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::RunnerCrash;
use crate::connection::node_protocol::YoungRun;
use crate::ids::InstanceId;
use crate::ids::PollNumber;
use crate::process::node::registered_runner::HeartbeatEffect;
use crate::process::node::registered_runner::RegisteredRunner;

/// Former instances that are remembered, to recognize delayed heartbeats and orders.
const MAX_FORMER_INSTANCES: usize = 8;
/// How long polls look for the successor of an instance: as long as calls meant for the instance
/// may be carried out late.
const SUCCESSOR_POLL_SPAN: Duration = Duration::from_secs(12);
/// How long a crash is reported to the planner, since several links may fail in the meantime.
const CRASH_REPORT_SPAN: Duration = Duration::from_secs(5);

/// An instance that may take the place of the current one.
#[derive(Debug)]
struct CandidateInstance {
    runner: RegisteredRunner,
    /// The newest poll when it registered or was replaced.
    newest_poll: PollNumber,
    /// Whether it has been the current instance. Otherwise only heartbeats name it, which may have
    /// been sent to the wrong host.
    was_current: bool,
}

/// The known instances of the runner.
#[derive(Debug, Default)]
pub struct RunnerInstances {
    current: Option<RegisteredRunner>,
    /// Whether the current instance has answered a poll. It keeps the address at which it has.
    has_answered: bool,
    /// Another instance that has registered, or that was silent when the current one took its
    /// place.
    candidate: Option<CandidateInstance>,
    former: VecDeque<InstanceId>,
    /// Former instances that have never answered a poll, each with the address at which nothing
    /// listened. It may have been another writer's.
    never_answered: VecDeque<(InstanceId, String)>,
    /// Instances that only heartbeats have named while the current one answered. They may run on
    /// other hosts, so the planner is not told that they have ended.
    dropped: VecDeque<InstanceId>,
    /// Instances that earlier agents on this host have recorded. Once the current instance
    /// responds, all others have ended.
    recorded_earlier: Vec<InstanceId>,
    /// The last instance until its successor under the same id registers, and the time until which
    /// polls of that successor may go without a response.
    predecessor: Option<(RegisteredRunner, Instant)>,
    /// Crashed instances, and when the crash was noticed.
    crashes: Vec<(Instant, RunnerCrash)>,
    /// The newest poll when the runner announced its end, until a later poll shows that the current
    /// instance continues.
    deregistered_at: Option<PollNumber>,
}

impl RunnerInstances {
    /// Returns the current instance.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert!(RunnerInstances::default().current().is_none());
    /// ```
    pub fn current(&self) -> Option<&RegisteredRunner> {
        self.current.as_ref()
    }

    /// Returns the id of the current instance.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert_eq!(RunnerInstances::default().current_id(), None);
    /// ```
    pub fn current_id(&self) -> Option<&InstanceId> {
        self.current.as_ref().map(|runner| &runner.status.instance)
    }

    /// Returns whether the runner may restart under the same id after the current instance.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert!(!RunnerInstances::default().may_have_successor());
    /// ```
    pub fn may_have_successor(&self) -> bool {
        self.current.as_ref().is_some_and(|runner| runner.started_at.is_some())
    }

    /// Processes a heartbeat that arrived when `newest_poll` was the newest poll.
    pub fn on_heartbeat(
        &mut self,
        runner: RegisteredRunner,
        newest_poll: PollNumber,
    ) -> HeartbeatEffect {
        let instance = &runner.status.instance;
        let was_elsewhere = |(former, address): &(InstanceId, String)| {
            former == instance && *address != runner.address
        };
        if self.never_answered.iter().any(was_elsewhere) {
            self.never_answered.retain(|(former, _)| former != instance);
            self.former.retain(|former| former != instance);
        }
        if self.former.contains(instance) || self.dropped.contains(instance) {
            return HeartbeatEffect::Dropped;
        }
        match &self.current {
            Some(known) if known.status.instance == *instance => {
                let has_moved = known.address != runner.address;
                if has_moved && self.has_answered {
                    return HeartbeatEffect::Dropped;
                }
                if runner.sequence <= known.sequence && !has_moved {
                    return HeartbeatEffect::Unchanged;
                }
                let has_changed = known.status != runner.status;
                self.current = Some(runner);
                if has_changed { HeartbeatEffect::Changed } else { HeartbeatEffect::Unchanged }
            }
            Some(_) => {
                // Either the known instance has ended, or this heartbeat was delayed. The next poll
                // of the known instance decides.
                let was_current = self.candidate.as_ref().is_some_and(|candidate| {
                    candidate.was_current && candidate.runner.status.instance == *instance
                });
                self.candidate = Some(CandidateInstance { runner, newest_poll, was_current });
                HeartbeatEffect::Unchanged
            }
            None => {
                self.install(runner);
                HeartbeatEffect::Changed
            }
        }
    }

    /// Records that a runner announced its end when `newest_poll` was the newest poll. Returns
    /// whether the current instance has certainly ended: if a runner restarts under its id, a
    /// former instance may have sent the announcement, and the next poll decides.
    pub fn on_deregister(&mut self, runner: &str, newest_poll: PollNumber) -> bool {
        let Some(known) = self.current.as_ref().filter(|known| known.runner == runner) else {
            return false;
        };
        if known.started_at.is_some() {
            self.deregistered_at = Some(newest_poll);
        }
        known.started_at.is_none()
    }

    /// Records that the current instance has answered a poll. Returns whether that ends other
    /// instances whose end the planner may not know.
    pub fn on_poll_response(&mut self, number: PollNumber) -> bool {
        self.has_answered = true;
        self.deregistered_at.take_if(|deregistered_at| number > *deregistered_at);
        // The known instance has answered a poll sent after the heartbeat of the candidate.
        let stale = self.candidate.take_if(|candidate| number > candidate.newest_poll);
        let has_ended = stale.as_ref().is_some_and(|stale| stale.was_current);
        if let Some(stale) = stale {
            let instance = stale.runner.status.instance;
            let instances = if has_ended { &mut self.former } else { &mut self.dropped };
            push_bounded(instances, instance);
        }
        self.end_recorded_earlier() || has_ended
    }

    /// A host has one instance of a runner at a time, so once one responds, the earlier ones have
    /// ended. Rows of a version without start times name instances by their runner's id, which may
    /// mean the current one.
    fn end_recorded_earlier(&mut self) -> bool {
        let mut has_ended = false;
        for earlier in std::mem::take(&mut self.recorded_earlier) {
            let is_current = self
                .current
                .as_ref()
                .is_some_and(|known| known.status.instance == earlier || known.runner == earlier);
            if !is_current && !self.former.contains(&earlier) {
                push_bounded(&mut self.former, earlier);
                has_ended = true;
            }
        }
        has_ended
    }

    /// Sets the instances that earlier agents on this host have recorded.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// let mut instances = RunnerInstances::default();
    /// instances.on_earlier(vec!["i-0".to_string()]);
    /// assert!(instances.on_poll_response(1));
    /// assert_eq!(instances.former(), ["i-0"]);
    /// ```
    pub fn on_earlier(&mut self, instances: Vec<InstanceId>) {
        self.recorded_earlier = instances;
    }

    /// Records the crash of the current instance and its young runs. A runner that is draining or
    /// has announced its end has not crashed, and one that has never answered may not have run.
    pub fn record_crash(&mut self, young: Vec<YoungRun>, now: Instant) {
        let announced_end =
            |runner: &&RegisteredRunner| runner.status.draining || self.deregistered_at.is_some();
        let crashed = self.current.as_ref().filter(|runner| !announced_end(runner));
        if let Some(runner) = crashed.filter(|_| self.has_answered) {
            let instance = runner.status.instance.clone();
            self.crashes.push((now, RunnerCrash { instance, young }));
        }
    }

    /// Returns the last crash, for the log.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert!(RunnerInstances::default().last_crash().is_none());
    /// ```
    pub fn last_crash(&self) -> Option<&RunnerCrash> {
        self.crashes.last().map(|(_, crash)| crash)
    }

    /// Returns the recent crashes.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// let mut instances = RunnerInstances::default();
    /// assert!(instances.crashes(Instant::now()).is_empty());
    /// ```
    pub fn crashes(&mut self, now: Instant) -> Vec<RunnerCrash> {
        self.crashes.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_REPORT_SPAN);
        self.crashes.iter().map(|(_, crash)| crash.clone()).collect()
    }

    /// Returns whether another instance may take the place of the current one.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert!(!RunnerInstances::default().has_candidate());
    /// ```
    pub fn has_candidate(&self) -> bool {
        self.candidate.is_some()
    }

    /// Replaces the current instance, which is silent, by the candidate. The heartbeat of the
    /// candidate may have arrived late, so the silent instance becomes a candidate itself.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// let mut instances = RunnerInstances::default();
    /// instances.swap_candidate(1);
    /// assert!(instances.current().is_none());
    /// ```
    pub fn swap_candidate(&mut self, newest_poll: PollNumber) {
        if let Some(candidate) = self.candidate.take() {
            self.deregistered_at = None;
            let silent = self.current.replace(candidate.runner);
            self.has_answered = false;
            self.candidate =
                silent.map(|runner| CandidateInstance { runner, newest_poll, was_current: true });
        }
    }

    /// Moves the current instance to the former ones. Another instance that has registered since
    /// takes its place.
    pub fn end_current(&mut self, now: Instant) {
        let Some(runner) = self.current.take() else {
            return;
        };
        self.deregistered_at = None;
        push_bounded(&mut self.former, runner.status.instance.clone());
        if !std::mem::take(&mut self.has_answered) {
            let unanswered = (runner.status.instance.clone(), runner.address.clone());
            push_bounded(&mut self.never_answered, unanswered);
        }
        self.predecessor =
            runner.started_at.is_some().then_some((runner, now + SUCCESSOR_POLL_SPAN));
        if let Some(candidate) = self.candidate.take() {
            self.install(candidate.runner);
        }
    }

    /// Returns the last instance while its successor under the same id may start and has not
    /// registered.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert!(RunnerInstances::default().predecessor().is_none());
    /// ```
    pub fn predecessor(&self) -> Option<&RegisteredRunner> {
        self.predecessor.as_ref().map(|(last, _)| last)
    }

    /// Records that a poll of the successor had no response. Returns whether polls of it have to
    /// end.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// let mut instances = RunnerInstances::default();
    /// assert!(instances.on_successor_unanswered(Instant::now()));
    /// ```
    pub fn on_successor_unanswered(&mut self, now: Instant) -> bool {
        self.predecessor.take_if(|(_, until)| now >= *until);
        self.predecessor.is_none()
    }

    /// Returns the instances that have ended, the newest last.
    ///
    /// ```
    /// use greengagearch::process::node::runner_instances::RunnerInstances;
    ///
    /// assert!(RunnerInstances::default().former().is_empty());
    /// ```
    pub fn former(&self) -> Vec<InstanceId> {
        self.former.iter().cloned().collect()
    }

    fn install(&mut self, runner: RegisteredRunner) {
        self.predecessor = None;
        self.has_answered = false;
        self.current = Some(runner);
    }
}

fn push_bounded<T>(instances: &mut VecDeque<T>, instance: T) {
    instances.push_back(instance);
    if instances.len() > MAX_FORMER_INSTANCES {
        instances.pop_front();
    }
}
