//! What a node agent knows: its runner, the planner that it obeys, and what it has ordered.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::LinkStamp;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::RunnerCrash;
use crate::connection::node_protocol::RunnerLook;
use crate::connection::node_protocol::SyncCall;
use crate::connection::node_protocol::TaskTraits;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerHold;
use crate::external::runner_control::RunnerLists;
use crate::external::runner_control::RunnerMillis;
use crate::external::runner_control::RunnerTarget;
use crate::ids::InstanceId;
use crate::process::node::begun_runs::BegunRuns;
use crate::process::node::fence::fencing_token;
use crate::process::node::known_runner::BeatEffect;
use crate::process::node::known_runner::KnownRunner;
use crate::process::node::local_runs::LocalRuns;
use crate::process::node::local_runs::LookNumber;
use crate::process::node::unsettled_starts::UnsettledStarts;
use crate::workflow::grant::surely_expired;
use crate::workflow::pacing::PaceControl;
use crate::workflow::spec::RoomAmount;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_board::RunKey;

/// Earlier lives of the runner that are remembered, for heartbeats and orders that come late.
const FORMER_LIVES: usize = 8;
/// A start is not tried with less than this left of the lease.
const LEAST_LEASE: Duration = Duration::from_millis(150);

/// A runner that has not answered for so long gets no longer leases.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time for which the next life of a runner is looked for: as long as calls for the one before may be carried out late.
const RETURN_SPAN: Duration = Duration::from_secs(12);

/// Age of the last answer from which on the next look first asks which life answers.
const PROOF_SPAN: Duration = Duration::from_millis(1_000);

/// Time for which the planner is told of a life that broke off: several links may break meanwhile.
const CRASH_TOLD: Duration = Duration::from_secs(5);

/// The state of a node agent.
#[derive(Debug)]
pub struct NodeState {
    started: Instant,
    stamp: LinkStamp,
    runner: Option<KnownRunner>,
    /// Another life that has registered, and the newest look then.
    candidate: Option<(LookNumber, KnownRunner)>,
    former: VecDeque<InstanceId>,
    /// Lives that earlier agents here have stored; over, but for the present one, when that one answers.
    earlier: Vec<InstanceId>,
    /// The last life, while the next one under its id has not been called, and up to when that is tried.
    awaited: Option<(KnownRunner, Instant)>,
    /// Lives that broke off, and when that was noticed.
    crashes: Vec<(Instant, RunnerCrash)>,
    answered: Instant,
    /// Whether the present life has answered the last look.
    is_proven: bool,
    /// By how much the fencing token is raised, since the present life has seen a higher one.
    fence_raise: u32,
    /// The newest look when the runner said that it ends, until a later one shows that its present life goes on.
    left_at: Option<LookNumber>,
    /// The first sign since the last answer that the present life has broken off.
    silent_since: Option<Instant>,
    sent_until: Option<Instant>,
    lease_until: Option<Instant>,
    clock: Option<(RunnerMillis, Instant)>,
    seen: u64,
    /// Number of the first end that the runner still lists.
    first_listed: Option<u64>,
    orders_seen: u64,
    /// Orders that came before earlier ones: their number, by that of the ones before.
    early_orders: HashMap<u64, u64>,
    fresh_look: Option<RunnerLook>,
    /// What the newest look showed, with starts on their way.
    present: BTreeSet<RunKey>,
    reported_ends: u64,
    has_news: bool,
    /// Starts and stops that looks do not show yet.
    pub runs: LocalRuns,
    /// Runs that the present life has begun of late.
    begun: BegunRuns,
    /// Starts that the next life may carry out as well.
    unsettled: UnsettledStarts,
    /// What is known of tasks.
    pub traits: HashMap<TaskName, TaskTraits>,
    /// Decides how fast tasks may work.
    pub pace: PaceControl,
}

impl NodeState {
    /// The state of an agent that has just started.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// assert!(greengagearch::process::node::state::NodeState::new(Instant::now()).target().is_none());
    /// ```
    pub fn new(started: Instant) -> NodeState {
        NodeState {
            started,
            stamp: LinkStamp::default(),
            runner: None,
            candidate: None,
            former: VecDeque::new(),
            earlier: Vec::new(),
            awaited: None,
            crashes: Vec::new(),
            answered: started,
            is_proven: false,
            fence_raise: 0,
            left_at: None,
            silent_since: None,
            sent_until: None,
            lease_until: None,
            clock: None,
            seen: 0,
            first_listed: None,
            orders_seen: 0,
            early_orders: HashMap::new(),
            fresh_look: None,
            present: BTreeSet::new(),
            reported_ends: 0,
            has_news: false,
            runs: LocalRuns::default(),
            begun: BegunRuns::default(),
            unsettled: UnsettledStarts::default(),
            traits: HashMap::new(),
            pace: PaceControl::default(),
        }
    }

    /// Obeys a sender if it is not older than the newest one. Says whether it is a new link.
    pub fn admit(&mut self, stamp: LinkStamp) -> Result<bool, LinkStamp> {
        if stamp < self.stamp {
            return Err(self.stamp);
        }
        let is_new = stamp > self.stamp;
        if is_new {
            if stamp.epoch > self.stamp.epoch {
                self.runs.on_new_epoch();
            }
            // What the planner knows of orders and ends starts anew with each link.
            self.stamp = stamp;
            self.orders_seen = 0;
            self.early_orders.clear();
            self.reported_ends = 0;
            self.fresh_look = None;
            self.has_news = true;
        }
        Ok(is_new)
    }

    /// The newest sender.
    pub fn newest_stamp(&self) -> LinkStamp {
        self.stamp
    }

    /// Whether a sender is still the newest.
    pub fn is_current(&self, stamp: LinkStamp) -> bool {
        stamp == self.stamp
    }

    /// Takes a heartbeat of the runner.
    pub fn on_beat(&mut self, runner: KnownRunner) -> BeatEffect {
        let instance = &runner.status.instance;
        if self.former.contains(instance) {
            return BeatEffect::Dropped;
        }
        match &self.runner {
            Some(known) if known.status.instance == *instance => {
                if runner.sequence <= known.sequence {
                    return BeatEffect::None;
                }
                let is_news = known.status != runner.status;
                self.has_news |= is_news;
                self.runner = Some(runner);
                if is_news { BeatEffect::News } else { BeatEffect::None }
            }
            Some(_) => {
                // Either the known life has ended or this heartbeat is an old one that was held up; the
                // next look at the known life tells.
                self.candidate = Some((self.runs.newest_look(), runner));
                BeatEffect::None
            }
            None => {
                self.install(runner);
                BeatEffect::News
            }
        }
    }

    fn install(&mut self, runner: KnownRunner) {
        self.awaited = None;
        self.runner = Some(runner);
        self.has_news = true;
    }

    /// Takes note that the known life does not answer, which says nothing of another one that may have registered. With leases that
    /// have surely expired the life is given up.
    pub fn on_no_answer(&mut self, is_broken: bool, now: Instant) -> bool {
        self.silent_since.get_or_insert(now);
        self.is_proven = false;
        if is_broken {
            self.unsettled.on_broken_look();
        }
        let Some(until) = self.sent_until else {
            return false;
        };
        let left = until.saturating_duration_since(self.answered);
        let is_expired = now >= surely_expired(self.answered, left);
        if is_expired && now.saturating_duration_since(self.answered) > SILENCE_LIMIT {
            self.end_life(now);
            return true;
        }
        false
    }

    /// Takes note that a runner says that it ends. Says whether its present life is over. Where runners come back under their ids a
    /// former life may have said so, and the next look tells.
    pub fn on_leave(&mut self, runner: &str, now: Instant) -> bool {
        let Some(known) = self.runner.as_ref().filter(|known| known.runner == runner) else {
            return false;
        };
        if known.born.is_some() {
            self.left_at = Some(self.runs.newest_look());
            return false;
        }
        self.end_life(now);
        true
    }

    /// The present life is over; one that has registered since takes its place.
    fn end_life(&mut self, now: Instant) {
        self.retire(now);
        self.has_news = true;
        if let Some((_, candidate)) = self.candidate.take() {
            self.install(candidate);
        }
    }

    /// Takes note that a life has broken off: nobody listens at its address, or another life does.
    pub fn on_crash(&mut self, instance: &str, now: Instant) -> bool {
        let is_present = self.present_life().is_some_and(|life| life == instance);
        if is_present {
            self.silent_since.get_or_insert(now);
            self.note_crash(now);
            self.end_life(now);
        }
        is_present
    }

    /// Remembers what was young on the present life, which has broken off. A runner that is leaving ends as it said.
    fn note_crash(&mut self, now: Instant) {
        let crashed = self.silent_since.unwrap_or(now);
        let young = self.begun.young_at(self.answered, crashed);
        let has_said_so = |runner: &&KnownRunner| runner.status.draining || self.left_at.is_some();
        if let Some(runner) = self.runner.as_ref().filter(|runner| !has_said_so(runner)) {
            let instance = runner.status.instance.clone();
            self.crashes.push((now, RunnerCrash { instance, young }));
        }
    }

    /// The life that broke off last, for the log.
    pub fn last_crash(&self) -> Option<&RunnerCrash> {
        self.crashes.last().map(|(_, crash)| crash)
    }

    /// Puts the present life of the runner among the former ones.
    fn retire(&mut self, now: Instant) {
        let Some(runner) = self.runner.take() else {
            return;
        };
        match runner.born {
            Some(_) => self.unsettled.end_life(now),
            None => self.unsettled.forget_life(),
        }
        self.add_former(runner.status.instance.clone());
        self.awaited = runner.born.is_some().then_some((runner, now + RETURN_SPAN));
        self.lease_until = None;
        self.sent_until = None;
        self.clock = None;
        self.seen = 0;
        self.first_listed = None;
        self.runs.clear();
        self.begun = BegunRuns::default();
        self.is_proven = false;
        self.fence_raise = 0;
        self.silent_since = None;
        self.left_at = None;
        self.fresh_look = None;
        self.present.clear();
        self.reported_ends = 0;
        self.pace = PaceControl::default();
    }

    fn add_former(&mut self, instance: InstanceId) {
        self.former.push_back(instance);
        if self.former.len() > FORMER_LIVES {
            self.former.pop_front();
        }
    }

    /// The present life of the runner.
    pub fn present_life(&self) -> Option<&InstanceId> {
        self.runner.as_ref().map(|runner| &runner.status.instance)
    }

    /// Takes in which lives earlier agents on this host have known.
    pub fn on_earlier_lives(&mut self, lives: Vec<InstanceId>) {
        self.earlier = lives;
    }

    /// A host has one life of a runner at a time: where one answers, those before it are over. A row of a version that knew no births
    /// names lives by their runners, so that it may mean the present one.
    fn end_earlier_lives(&mut self) {
        for life in std::mem::take(&mut self.earlier) {
            let is_present = self
                .runner
                .as_ref()
                .is_some_and(|known| known.status.instance == life || known.runner == life);
            if !is_present && !self.former.contains(&life) {
                self.add_former(life);
                self.has_news = true;
            }
        }
    }

    /// Where orders go, and under which epoch; nothing without a runner or a planner.
    pub fn target(&self) -> Option<RunnerTarget> {
        let runner = self.runner.as_ref().filter(|_| self.stamp.epoch > 0)?;
        Some(RunnerTarget {
            address: runner.address.clone(),
            instance: runner.status.instance.clone(),
            epoch: self.stamp.epoch,
            fence: fencing_token(self.stamp.epoch, runner.born, self.fence_raise),
        })
    }

    /// Where the next life of the runner will listen, before it has registered. A call with this token makes it refuse what was meant
    /// for the life before.
    pub fn awaited_target(&self, now: Instant) -> Option<RunnerTarget> {
        let (last, until) = self.awaited.as_ref().filter(|_| self.stamp.epoch > 0)?;
        (now < *until).then(|| RunnerTarget {
            address: last.address.clone(),
            instance: last.status.instance.clone(),
            epoch: self.stamp.epoch,
            fence: fencing_token(self.stamp.epoch, last.born, 1),
        })
    }

    /// Takes note that the next life of the runner has been called.
    pub fn on_return(&mut self) {
        self.awaited = None;
    }

    /// Whether a target is still the present one.
    pub fn is_target(&self, target: &RunnerTarget) -> bool {
        self.target().is_some_and(|present| {
            present.instance == target.instance
                && present.epoch == target.epoch
                && present.address == target.address
        })
    }

    /// Takes note that the runner has seen a higher token: one of a later planner, or one of a life before that was born later by a
    /// clock that was put back. The latter is overtaken in a few steps, a later planner's never.
    pub fn on_fenced(&mut self) {
        self.fence_raise = self.fence_raise.saturating_mul(2).max(1);
    }

    /// Whether the runner is leaving.
    pub fn is_draining(&self) -> bool {
        self.runner.as_ref().is_some_and(|runner| runner.status.draining)
    }

    /// Extends the leases as the planner allows. The span counts from a time that this agent sent.
    pub fn on_sync(&mut self, call: &SyncCall) {
        let instance = self.runner.as_ref().map(|runner| &runner.status.instance);
        if call.instance.is_none() || call.instance.as_ref() != instance {
            return;
        }
        self.seen = self.seen.max(call.seen);
        if let Some(grant) = call.grant {
            let until = self.started + grant.since + grant.span;
            self.lease_until = Some(self.lease_until.map_or(until, |known| known.max(until)));
        }
    }

    /// Up to when everything may run, on the runner's clock; nothing while that is not known.
    pub fn lease_end(&self) -> Option<RunnerMillis> {
        let (clock, read_at) = self.clock?;
        let left = self.lease_until?.checked_duration_since(read_at)?;
        Some(clock + u64::try_from(left.as_millis()).ok()?)
    }

    /// Whether a start may be tried at `now`: nothing while no lease is known, else whether enough is left.
    pub fn may_start(&self, now: Instant) -> Option<bool> {
        self.lease_end()?;
        let is_silent = now.saturating_duration_since(self.answered) > SILENCE_LIMIT;
        let is_doubtful = is_silent || self.may_be_other_life(now);
        self.lease_until.map(|until| now + LEAST_LEASE < until && !is_doubtful)
    }

    /// Whether the runner's newest capacity holds a run beside everything that it shows or is about to start; what is being
    /// stopped counts until it has ended. A start may have been decided before the capacity shrank, and waited for the store.
    pub fn has_room(&self, key: &RunKey, room: &RoomAmount) -> bool {
        let Some(runner) = &self.runner else {
            return false;
        };
        let others: BTreeSet<&RunKey> = self.present.iter().chain(self.runs.starting()).collect();
        let others = others.into_iter().filter(|other| *other != key);
        let rooms = others.filter_map(|(task, _)| self.traits.get(task)).map(|traits| &traits.room);
        let used = rooms.fold(*room, |used, room| used.plus(room));
        runner.status.capacity.contains(&used)
    }

    /// Takes note that a start carries the lease to the runner.
    pub fn on_lease_sent(&mut self) {
        self.sent_until = self.sent_until.max(self.lease_until);
    }

    /// Takes note of a start that is about to be sent. Says whether it is new.
    pub fn begin_start(&mut self, key: &RunKey, traits: &TaskTraits) -> bool {
        self.traits.insert(key.0.clone(), traits.clone());
        self.runs.begin_start(key)
    }

    /// Takes note of a try to start a run that is about to be sent.
    pub fn on_start_sent(&mut self, key: &RunKey, now: Instant) {
        self.begun.on_sending(key, now);
        self.unsettled.on_sending(key, now);
    }

    /// Takes note of what became of a try to start a run.
    pub fn on_start_answer(&mut self, key: &RunKey, answer: &Result<(), RunnerError>) {
        let newest = self.runs.newest_look();
        match answer {
            Ok(()) => {
                self.begun.on_begun(key);
                self.unsettled.on_answer(key, newest);
            }
            Err(RunnerError::NoAnswer { .. }) => {}
            Err(RunnerError::NotRunning) => {
                self.begun.on_not_begun(key);
                self.unsettled.on_not_sent(key);
            }
            // Another life may have carried it out, which leaves it as one without an answer.
            Err(RunnerError::OtherLife) => self.begun.on_not_begun(key),
            Err(RunnerError::Fenced | RunnerError::Rejected { .. }) => {
                self.begun.on_not_begun(key);
                self.unsettled.on_answer(key, newest);
            }
        }
    }

    /// Takes note of orders that came, all of which are known here by now. They count as seen when those
    /// before them have come as well.
    pub fn on_orders(&mut self, previous: u64, number: u64) {
        self.early_orders.insert(previous, number);
        while let Some(number) = self.early_orders.remove(&self.orders_seen) {
            self.orders_seen = number;
        }
    }

    /// How the next look is to be taken, and its number.
    pub fn next_hold(&mut self, wait: Duration, now: Instant) -> (LookNumber, RunnerHold) {
        if self.may_be_other_life(now) {
            let hold = RunnerHold { lease_end: None, seen: 0, wait: Duration::ZERO };
            return (self.runs.next_look(), hold);
        }
        // A life that does not answer is not kept alive by calls that may be carried out late.
        let is_silent = now.saturating_duration_since(self.answered) > SILENCE_LIMIT;
        let lease_end = self.lease_end().filter(|_| !is_silent);
        if lease_end.is_some() {
            self.sent_until = self.sent_until.max(self.lease_until);
        }
        // Ends are acknowledged only as long as they are listed: a call that comes late may meet the next life, whose ends have the
        // same numbers.
        let is_listed = self.first_listed.is_some_and(|first| first <= self.seen);
        let seen = if is_listed { self.seen } else { 0 };
        (self.runs.next_look(), RunnerHold { lease_end, seen, wait })
    }

    /// Whether the next life under the runner's id may answer the next look: it would take the lease by another clock, and forget ends
    /// by the numbers of other ones.
    fn may_be_other_life(&self, now: Instant) -> bool {
        let has_births = self.runner.as_ref().is_some_and(|runner| runner.born.is_some());
        let is_old = now.saturating_duration_since(self.answered) > PROOF_SPAN;
        has_births && (!self.is_proven || is_old)
    }

    /// Takes in a look that was sent under a number and answered now. Says whether it brings news.
    pub fn on_lists(&mut self, number: LookNumber, lists: RunnerLists, now: Instant) -> bool {
        self.clock = Some((lists.clock, now));
        self.answered = now;
        self.is_proven = true;
        self.silent_since = None;
        self.unsettled.on_look(number, &shown_runs(&lists), now);
        self.left_at.take_if(|left_at| number > *left_at);
        self.begun.on_look(&lists.running, now);
        if let Some((_, stale)) = self.candidate.take_if(|(newest, _)| number > *newest) {
            // The known life has answered a look that was sent after this one's heartbeat came.
            self.add_former(stale.status.instance);
        }
        self.end_earlier_lives();
        let mut present = lists.running;
        for run in &mut present {
            let key = (run.task.clone(), run.run);
            run.pace_percent = self.pace.ordered(&key);
            run.measured_percent = self.pace.measured(&key, now);
        }
        self.runs.complete(number, &mut present);
        self.present = present.iter().map(|run| (run.task.clone(), run.run)).collect();
        self.traits.retain(|task, _| present.iter().any(|run| run.task == *task));
        self.first_listed = lists.ended.first().map(|ended| ended.number);
        let last = lists.ended.last().map_or(0, |ended| ended.number);
        let is_news = last > self.reported_ends || self.runs.has_refusals() || self.has_news;
        self.fresh_look = Some(RunnerLook {
            present,
            ended: lists.ended,
            rejected: Vec::new(),
            orders_seen: self.orders_seen,
        });
        self.has_news = is_news;
        is_news
    }

    /// Whether the planner should hear of something at once.
    pub fn has_news(&self) -> bool {
        // Without a runner there is no look to wait for, and what ran on it waits to start elsewhere.
        self.has_news && (self.fresh_look.is_some() || self.runner.is_none())
    }

    /// What the planner is told: the newest look, once.
    pub fn report(&mut self, now: Instant) -> NodeReport {
        let mut look = self.fresh_look.take();
        if let Some(look) = &mut look {
            look.rejected = self.runs.take_refusals();
            let last = look.ended.last().map_or(0, |ended| ended.number);
            self.reported_ends = self.reported_ends.max(last);
        }
        if look.is_some() || self.runner.is_none() {
            self.has_news = false;
        }
        self.crashes.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_TOLD);
        NodeReport {
            now: now.saturating_duration_since(self.started),
            runner: self.runner.as_ref().map(|runner| runner.status.clone()),
            former: self.former.iter().cloned().collect(),
            unsettled: self.unsettled.keys(now),
            crashes: self.crashes.iter().map(|(_, crash)| crash.clone()).collect(),
            look,
        }
    }
}

/// What a runner shows: runs at work, and ends that were not acknowledged.
fn shown_runs(lists: &RunnerLists) -> BTreeSet<RunKey> {
    let running = lists.running.iter().map(|run| (run.task.clone(), run.run));
    let ended = lists.ended.iter().map(|ended| (ended.task.clone(), ended.run));
    running.chain(ended).collect()
}
