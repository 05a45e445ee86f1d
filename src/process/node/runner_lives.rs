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
const FORMER_LIVES: usize = 8;
/// Time for which the next life of a runner is looked for: as long as calls for the one before may be carried out late.
const RETURN_SPAN: Duration = Duration::from_secs(12);
/// Time for which the planner is told of a life that broke off: several links may break meanwhile.
const CRASH_TOLD: Duration = Duration::from_secs(5);

/// What is known of the lives.
#[derive(Debug, Default)]
pub struct RunnerLives {
    present: Option<RegisteredRunner>,
    /// Another life that has registered, and the newest look then.
    candidate: Option<(PollNumber, RegisteredRunner)>,
    former: VecDeque<InstanceId>,
    /// Lives that earlier agents here have stored; over, but for the present one, when that one answers.
    earlier: Vec<InstanceId>,
    /// The last life, while the next one under its id has not registered, and up to when calls for that may stay without an answer.
    awaited: Option<(RegisteredRunner, Instant)>,
    /// Lives that broke off, and when that was noticed.
    crashes: Vec<(Instant, RunnerCrash)>,
    /// The newest look when the runner said that it ends, until a later one shows that its present life goes on.
    left_at: Option<PollNumber>,
}

impl RunnerLives {
    /// The present life.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_lives::RunnerLives::default().present().is_none());
    /// ```
    pub fn present(&self) -> Option<&RegisteredRunner> {
        self.present.as_ref()
    }

    /// The name of the present life.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::runner_lives::RunnerLives::default().name(), None);
    /// ```
    pub fn name(&self) -> Option<&InstanceId> {
        self.present.as_ref().map(|runner| &runner.status.instance)
    }

    /// Whether the runner may be back under its id after the present life.
    ///
    /// ```
    /// assert!(!greengagearch::process::node::runner_lives::RunnerLives::default().may_return());
    /// ```
    pub fn may_return(&self) -> bool {
        self.present.as_ref().is_some_and(|runner| runner.started_at.is_some())
    }

    /// Takes a heartbeat that came when `newest` was the newest look.
    pub fn on_heartbeat(
        &mut self,
        runner: RegisteredRunner,
        newest: PollNumber,
    ) -> HeartbeatEffect {
        let instance = &runner.status.instance;
        if self.former.contains(instance) {
            return HeartbeatEffect::Dropped;
        }
        match &self.present {
            Some(known) if known.status.instance == *instance => {
                if runner.sequence <= known.sequence {
                    return HeartbeatEffect::Unchanged;
                }
                let is_news = known.status != runner.status;
                self.present = Some(runner);
                if is_news { HeartbeatEffect::Changed } else { HeartbeatEffect::Unchanged }
            }
            Some(_) => {
                // Either the known life has ended or this heartbeat is an old one that was held up; the
                // next look at the known life tells.
                self.candidate = Some((newest, runner));
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
    pub fn on_deregister(&mut self, runner: &str, newest: PollNumber) -> bool {
        let Some(known) = self.present.as_ref().filter(|known| known.runner == runner) else {
            return false;
        };
        if known.started_at.is_some() {
            self.left_at = Some(newest);
        }
        known.started_at.is_none()
    }

    /// Takes note that the present life has answered a look. Says whether that ends others which the planner may not know to be over.
    pub fn on_answer(&mut self, number: PollNumber) -> bool {
        self.left_at.take_if(|left_at| number > *left_at);
        if let Some((_, stale)) = self.candidate.take_if(|(newest, _)| number > *newest) {
            // The known life has answered a look that was sent after this one's heartbeat came.
            self.add_former(stale.status.instance);
        }
        self.end_earlier()
    }

    /// A host has one life of a runner at a time: where one answers, those before it are over. A row of a version that knew no start times
    /// names lives by their runners, so that it may mean the present one.
    fn end_earlier(&mut self) -> bool {
        let mut has_ended = false;
        for life in std::mem::take(&mut self.earlier) {
            let is_present = self
                .present
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
    /// let mut lives = greengagearch::process::node::runner_lives::RunnerLives::default();
    /// lives.on_earlier(vec!["i-0".to_string()]);
    /// assert!(lives.on_answer(1));
    /// assert_eq!(lives.former(), ["i-0"]);
    /// ```
    pub fn on_earlier(&mut self, lives: Vec<InstanceId>) {
        self.earlier = lives;
    }

    /// Remembers what was young on the present life, which has broken off. A runner that is leaving ends as it said.
    pub fn note_crash(&mut self, young: Vec<YoungRun>, now: Instant) {
        let has_said_so =
            |runner: &&RegisteredRunner| runner.status.draining || self.left_at.is_some();
        if let Some(runner) = self.present.as_ref().filter(|runner| !has_said_so(runner)) {
            let instance = runner.status.instance.clone();
            self.crashes.push((now, RunnerCrash { instance, young }));
        }
    }

    /// The life that broke off last, for the log.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_lives::RunnerLives::default().last_crash().is_none());
    /// ```
    pub fn last_crash(&self) -> Option<&RunnerCrash> {
        self.crashes.last().map(|(_, crash)| crash)
    }

    /// Lives that broke off of late.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut lives = greengagearch::process::node::runner_lives::RunnerLives::default();
    /// assert!(lives.crashes(Instant::now()).is_empty());
    /// ```
    pub fn crashes(&mut self, now: Instant) -> Vec<RunnerCrash> {
        self.crashes.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_TOLD);
        self.crashes.iter().map(|(_, crash)| crash.clone()).collect()
    }

    /// Puts the present life among the former ones. Another one that has registered since takes its place.
    pub fn end(&mut self, now: Instant) {
        let Some(runner) = self.present.take() else {
            return;
        };
        self.left_at = None;
        self.add_former(runner.status.instance.clone());
        self.awaited = runner.started_at.is_some().then_some((runner, now + RETURN_SPAN));
        if let Some((_, candidate)) = self.candidate.take() {
            self.install(candidate);
        }
    }

    /// The last life, while the next one under its id may begin and has not registered.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_lives::RunnerLives::default().awaited().is_none());
    /// ```
    pub fn awaited(&self) -> Option<&RegisteredRunner> {
        self.awaited.as_ref().map(|(last, _)| last)
    }

    /// Takes note that a call for the next life got no answer. Says whether that life is looked for no longer.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut lives = greengagearch::process::node::runner_lives::RunnerLives::default();
    /// assert!(lives.on_unanswered(Instant::now()));
    /// ```
    pub fn on_unanswered(&mut self, now: Instant) -> bool {
        self.awaited.take_if(|(_, until)| now >= *until);
        self.awaited.is_none()
    }

    /// Lives that run nothing any more, the newest last.
    ///
    /// ```
    /// assert!(greengagearch::process::node::runner_lives::RunnerLives::default().former().is_empty());
    /// ```
    pub fn former(&self) -> Vec<InstanceId> {
        self.former.iter().cloned().collect()
    }

    fn install(&mut self, runner: RegisteredRunner) {
        self.awaited = None;
        self.present = Some(runner);
    }

    fn add_former(&mut self, instance: InstanceId) {
        self.former.push_back(instance);
        if self.former.len() > FORMER_LIVES {
            self.former.pop_front();
        }
    }
}
