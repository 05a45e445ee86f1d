//! The lives of the runner on an agent's host: the present one, those before it, and one that may follow.
//!
//! Only answers decide which life is present. Heartbeats and leaves may come late, and start times by clocks that may be put back.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::RunnerCrash;
use crate::connection::node_protocol::YoungRun;
use crate::ids::InstanceId;
use crate::ids::PollNumber;
use crate::process::node::registered_runner::HeartbeatEffect;
use crate::process::node::registered_runner::RegisteredRunner;

/// Former lives that are remembered, for heartbeats and orders that come late.
const MAX_FORMER_INSTANCES: usize = 8;
/// Time for which the next life of a runner is looked for: as long as calls for the one before may be carried out late.
const SUCCESSOR_POLL_SPAN: Duration = Duration::from_secs(12);
/// Time for which the planner is told of a life that broke off: several links may break meanwhile.
const CRASH_REPORT_SPAN: Duration = Duration::from_secs(5);

/// What is known of the lives.
#[derive(Debug, Default)]
pub struct RunnerInstances {
    current: Option<RegisteredRunner>,
    /// Another life that has registered, and the newest look then.
    candidate: Option<(PollNumber, RegisteredRunner)>,
    former: VecDeque<InstanceId>,
    /// Lives that earlier agents here have stored; over, but for the present one, when that one answers.
    stored_earlier: Vec<InstanceId>,
    /// The last life, while the next one under its id has not registered, and up to when calls for that may stay without an answer.
    predecessor: Option<(RegisteredRunner, Instant)>,
    /// Lives that broke off, and when that was noticed.
    crashes: Vec<(Instant, RunnerCrash)>,
    /// The newest look when the runner said that it ends, until a later one shows that its present life goes on.
    deregistered_at: Option<PollNumber>,
}

impl RunnerInstances {
    /// The present life.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_instances::RunnerInstances::default().current().is_none());
    /// ```
    pub fn current(&self) -> Option<&RegisteredRunner> {
        self.current.as_ref()
    }

    /// The name of the present life.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::runner_instances::RunnerInstances::default().current_id(), None);
    /// ```
    pub fn current_id(&self) -> Option<&InstanceId> {
        self.current.as_ref().map(|runner| &runner.status.instance)
    }

    /// Whether the runner may be back under its id after the present life.
    ///
    /// ```
    /// assert!(!greengagearch::process::node::runner_instances::RunnerInstances::default().may_have_successor());
    /// ```
    pub fn may_have_successor(&self) -> bool {
        self.current.as_ref().is_some_and(|runner| runner.started_at.is_some())
    }

    /// Takes a heartbeat that came when `newest` was the newest look.
    pub fn on_heartbeat(
        &mut self,
        runner: RegisteredRunner,
        newest_poll: PollNumber,
    ) -> HeartbeatEffect {
        let instance = &runner.status.instance;
        if self.former.contains(instance) {
            return HeartbeatEffect::Dropped;
        }
        match &self.current {
            Some(known) if known.status.instance == *instance => {
                if runner.sequence <= known.sequence {
                    return HeartbeatEffect::Unchanged;
                }
                let has_changed = known.status != runner.status;
                self.current = Some(runner);
                if has_changed { HeartbeatEffect::Changed } else { HeartbeatEffect::Unchanged }
            }
            Some(_) => {
                // Either the known life has ended or this heartbeat is an old one that was held up; the
                // next look at the known life tells.
                self.candidate = Some((newest_poll, runner));
                HeartbeatEffect::Unchanged
            }
            None => {
                self.install(runner);
                HeartbeatEffect::Changed
            }
        }
    }

    /// Takes note that a runner says that it ends, when `newest` was the newest look. Says whether its present life is surely the one
    /// that said so: where runners come back under their ids it may be a former one, and the next look tells.
    pub fn on_deregister(&mut self, runner: &str, newest_poll: PollNumber) -> bool {
        let Some(known) = self.current.as_ref().filter(|known| known.runner == runner) else {
            return false;
        };
        if known.started_at.is_some() {
            self.deregistered_at = Some(newest_poll);
        }
        known.started_at.is_none()
    }

    /// Takes note that the present life has answered a look. Says whether that ends others which the planner may not know to be over.
    pub fn on_poll_response(&mut self, number: PollNumber) -> bool {
        self.deregistered_at.take_if(|deregistered_at| number > *deregistered_at);
        if let Some((_, stale)) = self.candidate.take_if(|(newest_poll, _)| number > *newest_poll) {
            // The known life has answered a look that was sent after this one's heartbeat came.
            self.add_former(stale.status.instance);
        }
        self.end_stored_earlier()
    }

    /// A host has one life of a runner at a time: where one answers, those before it are over. A row of a version that knew no start times
    /// names instances by their runners, so that it may mean the current one.
    fn end_stored_earlier(&mut self) -> bool {
        let mut has_ended = false;
        for life in std::mem::take(&mut self.stored_earlier) {
            let is_present = self
                .current
                .as_ref()
                .is_some_and(|known| known.status.instance == life || known.runner == life);
            if !is_present && !self.former.contains(&life) {
                self.add_former(life);
                has_ended = true;
            }
        }
        has_ended
    }

    /// Takes in which lives earlier agents on this host have known.
    ///
    /// ```
    /// let mut instances = greengagearch::process::node::runner_instances::RunnerInstances::default();
    /// instances.on_earlier(vec!["i-0".to_string()]);
    /// assert!(instances.on_poll_response(1));
    /// assert_eq!(instances.former(), ["i-0"]);
    /// ```
    pub fn on_earlier(&mut self, instances: Vec<InstanceId>) {
        self.stored_earlier = instances;
    }

    /// Remembers what was young on the present life, which has broken off. A runner that is leaving ends as it said.
    pub fn record_crash(&mut self, young: Vec<YoungRun>, now: Instant) {
        let announced_end =
            |runner: &&RegisteredRunner| runner.status.draining || self.deregistered_at.is_some();
        if let Some(runner) = self.current.as_ref().filter(|runner| !announced_end(runner)) {
            let instance = runner.status.instance.clone();
            self.crashes.push((now, RunnerCrash { instance, young }));
        }
    }

    /// The life that broke off last, for the log.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_instances::RunnerInstances::default().last_crash().is_none());
    /// ```
    pub fn last_crash(&self) -> Option<&RunnerCrash> {
        self.crashes.last().map(|(_, crash)| crash)
    }

    /// Lives that broke off of late.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut instances = greengagearch::process::node::runner_instances::RunnerInstances::default();
    /// assert!(instances.crashes(Instant::now()).is_empty());
    /// ```
    pub fn crashes(&mut self, now: Instant) -> Vec<RunnerCrash> {
        self.crashes.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_REPORT_SPAN);
        self.crashes.iter().map(|(_, crash)| crash.clone()).collect()
    }

    /// Puts the present life among the former ones. Another one that has registered since takes its place.
    pub fn end_current(&mut self, now: Instant) {
        let Some(runner) = self.current.take() else {
            return;
        };
        self.deregistered_at = None;
        self.add_former(runner.status.instance.clone());
        self.predecessor =
            runner.started_at.is_some().then_some((runner, now + SUCCESSOR_POLL_SPAN));
        if let Some((_, candidate)) = self.candidate.take() {
            self.install(candidate);
        }
    }

    /// The last life, while the next one under its id may begin and has not registered.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_instances::RunnerInstances::default().predecessor().is_none());
    /// ```
    pub fn predecessor(&self) -> Option<&RegisteredRunner> {
        self.predecessor.as_ref().map(|(last, _)| last)
    }

    /// Takes note that a call for the next life got no answer. Says whether that life is looked for no longer.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut instances = greengagearch::process::node::runner_instances::RunnerInstances::default();
    /// assert!(instances.on_successor_unanswered(Instant::now()));
    /// ```
    pub fn on_successor_unanswered(&mut self, now: Instant) -> bool {
        self.predecessor.take_if(|(_, until)| now >= *until);
        self.predecessor.is_none()
    }

    /// Lives that run nothing any more, the newest last.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_instances::RunnerInstances::default().former().is_empty());
    /// ```
    pub fn former(&self) -> Vec<InstanceId> {
        self.former.iter().cloned().collect()
    }

    fn install(&mut self, runner: RegisteredRunner) {
        self.predecessor = None;
        self.current = Some(runner);
    }

    fn add_former(&mut self, instance: InstanceId) {
        self.former.push_back(instance);
        if self.former.len() > MAX_FORMER_INSTANCES {
            self.former.pop_front();
        }
    }
}
