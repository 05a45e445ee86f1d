//! Outages that last longer than leases: messages are held up and arrive when the outage is over, and processes stand still between a
//! decision and the message that follows from it.

use std::ops::Range;

use super::*;

/// Short and long outages, in milliseconds.
const SHORT_OUTAGE: Range<u64> = 200..4_000;
const LONG_OUTAGE: Range<u64> = 4_000..14_000;
const LONG_SHARE: f64 = 0.7;
/// Time after a cut until a connection sends again what was lost: it waits longer with each attempt.
const QUICK_RESUME: Range<u64> = 1..60;
const SLOW_RESUME: Range<u64> = 60..4_000;
const SLOW_SHARE: f64 = 0.4;
/// Share of held messages with which a connection breaks for good.
const BREAK_SHARE: f64 = 0.1;
/// Order in which a process that goes on finds what has come for it.
const RESUME_JITTER: u64 = 30;
/// Time for which a connection to an agent that is cut off is tried, and the pause after it.
pub(super) const FAILED_CONNECT: u64 = 550;
/// Share of orders at which an outage begins.
const AT_ORDER_SHARE: f64 = 0.08;
const WORK: Range<u64> = 1_500..6_500;
/// Time without a write after which the owner writes its heartbeat.
const HEARTBEAT_PERIOD: u64 = 400;
/// End of a schedule: the last outage, a lease, and two steps with two attempts each.
pub(super) const OUTAGE_LENGTH: u64 = 110_000;

/// A cut between an agent and all planners, or one of them.
#[derive(Clone, Debug, Default)]
struct LinkCut {
    until: u64,
    planner: Option<usize>,
    held: Vec<Event>,
}

/// The outages of one schedule.
#[derive(Clone, Debug, Default)]
pub(super) struct OutageState {
    is_enabled: bool,
    /// Whether another planner takes over from an owner that stands still.
    has_standby: bool,
    /// Until when the store answers nobody.
    store_until: u64,
    cuts: Vec<LinkCut>,
    /// From when to when something was out.
    spans: Vec<(u64, u64)>,
}

impl PlanningWorld {
    /// The same world with outages that last longer than leases, after which what was sent before arrives.
    pub fn with_held_messages(mut self) -> PlanningWorld {
        self.outages = OutageState {
            is_enabled: true,
            has_standby: self.rng.random_bool(0.5),
            store_until: 0,
            cuts: vec![LinkCut::default(); AGENTS],
            spans: Vec::new(),
        };
        self
    }

    pub(super) fn has_outages(&self) -> bool {
        self.outages.is_enabled
    }

    /// When the schedule ends.
    pub(super) fn length(&self) -> u64 {
        if self.has_outages() { OUTAGE_LENGTH } else { LENGTH }
    }

    /// How long a task takes beyond what it takes in other worlds.
    pub(super) fn outage_work(&mut self) -> u64 {
        self.rng.random_range(WORK)
    }

    /// Whether the store answers nobody.
    pub(super) fn is_store_out(&self) -> bool {
        self.now < self.outages.store_until
    }

    /// Whether an owner that stands still is replaced.
    pub(super) fn has_standby(&self) -> bool {
        !self.has_outages() || self.outages.has_standby
    }

    /// Whether the owner writes its heartbeat, if it has nothing else to write.
    pub(super) fn is_heartbeat_due(&self, planner: usize) -> bool {
        let proof = self.planners[planner].proof;
        let age = self.planner_instant(planner).saturating_duration_since(proof);
        self.has_outages() && age >= Duration::from_millis(HEARTBEAT_PERIOD)
    }

    /// Time of outages between two times.
    pub(super) fn outage_between(&self, from: u64, to: u64) -> u64 {
        let shared = self.outages.spans.iter().map(|(began, ended)| {
            let (began, ended) = ((*began).max(from), (*ended).min(to));
            ended.saturating_sub(began)
        });
        shared.sum()
    }

    /// Runners that go on and get nothing to do any more, since their agents take them for ended.
    pub(super) fn check_runners(&self) -> Vec<String> {
        let agents = self.agents.iter().filter(|_| self.has_outages());
        let lost = agents.filter(|agent| agent.life.is_alive && agent.state.target().is_none());
        lost.map(|agent| format!("{} goes on {UNKNOWN_TO_AGENT}", agent.life.name)).collect()
    }

    pub(super) fn outage_end(&mut self) -> u64 {
        let span = match self.rng.random_bool(LONG_SHARE) {
            true => self.rng.random_range(LONG_OUTAGE),
            false => self.rng.random_range(SHORT_OUTAGE),
        };
        let until = self.now + span;
        self.outages.spans.push((self.now, until + SLOW_RESUME.end));
        until
    }

    pub(super) fn on_outage_fault(&mut self) {
        let agent = self.rng.random_range(0..AGENTS);
        let owner = self.planners.len() - 1;
        let until = self.outage_end();
        match self.rng.random_range(0..14) {
            0 | 1 => self.pause_planner(owner, until),
            2 => self.planners[owner].is_alive = false,
            3 if self.has_standby() && !self.is_store_out() => self.on_takeover(),
            3 | 4 => self.pause_agent(agent, until),
            5 => {
                self.pause_agent(agent, until);
                self.cut(agent, None, until);
            }
            6 => self.restart_agent(agent),
            7 => self.crash_runner(agent),
            8 => {
                self.pause_agent(agent, until);
                self.pause_planner(owner, until);
            }
            9 => self.cut(agent, None, until),
            10 => self.cut(agent, Some(owner), until),
            11 => (0..AGENTS).for_each(|one| self.cut(one, Some(owner), until)),
            12 => {
                self.trace_note(&format!("the store answers nobody until {until}"));
                self.outages.store_until = until;
            }
            _ => self.break_link(owner, agent),
        }
        if let Some(job) = self.records.keys().next_back().cloned()
            && self.chance(0.08)
        {
            self.on_cancel(&job);
        }
        let next = self.rng.random_range(800..4_000);
        self.at(next, Event::Fault);
    }

    fn cut(&mut self, agent: usize, planner: Option<usize>, until: u64) {
        self.trace_note(&format!("agent {agent} is cut off until {until}"));
        self.note_disturbance(agent, until);
        let cut = &mut self.outages.cuts[agent];
        if cut.until <= self.now {
            cut.until = until;
            cut.planner = planner;
            self.at(until - self.now, Event::CutEnd { agent });
        }
    }

    /// Whether nothing gets from a planner to an agent or back.
    pub(super) fn is_cut_off(&self, planner: usize, agent: usize) -> bool {
        let Some(cut) = self.outages.cuts.get(agent) else {
            return false;
        };
        cut.until > self.now && cut.planner.is_none_or(|one| one == planner)
    }

    /// Holds a message up if its way is cut.
    pub(super) fn hold_up(&mut self, event: Event) -> Option<Event> {
        let (Event::Sync { planner, agent, .. }
        | Event::Orders { planner, agent, .. }
        | Event::Ordered { planner, agent, .. }
        | Event::Answer { planner, agent, .. }) = event
        else {
            return Some(event);
        };
        if !self.is_cut_off(planner, agent) {
            return Some(event);
        }
        self.outages.cuts[agent].held.push(event);
        None
    }

    /// The messages of each connection arrive in order, up to one with which it breaks.
    pub(super) fn on_cut_end(&mut self, agent: usize) {
        let mut resumed: BTreeMap<(usize, u64, bool), Option<u64>> = BTreeMap::new();
        for event in std::mem::take(&mut self.outages.cuts[agent].held) {
            let (connection, is_broken) =
                (connection_of(&event), self.rng.random_bool(BREAK_SHARE));
            let first = match self.rng.random_bool(SLOW_SHARE) {
                true => self.rng.random_range(SLOW_RESUME),
                false => self.rng.random_range(QUICK_RESUME),
            };
            let step = self.rng.random_range(0..10);
            let next = resumed.entry(connection).or_insert(Some(first));
            *next = next.filter(|_| !is_broken).map(|at| at + step);
            if let Some(delay) = *next {
                self.at(delay, event);
            }
        }
    }

    /// A planner hands a message to a connection. It may stand still before it leaves.
    pub(super) fn hand_over(&mut self, planner: usize, message: Event) {
        if !self.has_outages() {
            return self.send(message);
        }
        if let Event::Orders { agent, .. } = message
            && self.chance(AT_ORDER_SHARE)
        {
            let until = self.outage_end();
            match self.rng.random_range(0..4) {
                0 => self.pause_planner(planner, until),
                1 => self.pause_agent(agent, until),
                2 => self.cut(agent, None, until),
                _ => self.cut(agent, Some(planner), until),
            }
        }
        let delay = self.rng.random_range(0..3);
        self.at(delay, Event::Depart { planner, message: Box::new(message) });
    }

    /// A message leaves a planner's process, if its connection was not dropped with it.
    pub(super) fn on_depart(&mut self, planner: usize, message: Event) {
        let (Event::Sync { agent, link, .. } | Event::Orders { agent, link, .. }) = message else {
            return;
        };
        let process = &self.planners[planner];
        let is_current = process.links[agent].number == link;
        if process.is_alive && (is_current || self.rng.random_bool(0.5)) {
            self.send(message);
        }
    }

    /// The agent may stand still between its decision to call and the call.
    pub(super) fn pause_before_call(&mut self, agent: usize) {
        if self.has_outages() && self.chance(AT_ORDER_SHARE) {
            let until = self.outage_end();
            self.pause_agent(agent, until);
        }
    }

    /// Postpones what a process that stands still would do. It finds what has come meanwhile in any order.
    pub(super) fn postpone(&mut self, event: Event) -> Option<Event> {
        let until = match &event {
            _ if !self.has_outages() => 0,
            Event::Plan(planner)
            | Event::Committed { planner, .. }
            | Event::Repeat { planner, .. }
            | Event::News { planner, .. }
            | Event::Answer { planner, .. }
            | Event::Deadline { planner, .. }
            | Event::Ordered { planner, .. }
            | Event::OrderDeadline { planner, .. }
            | Event::Relink { planner, .. }
            | Event::Depart { planner, .. } => self.planners[*planner].paused_until,
            Event::Sync { agent, .. }
            | Event::Orders { agent, .. }
            | Event::Reply { agent, .. }
            | Event::Look { agent, .. }
            | Event::Try { agent, .. }
            | Event::Slot { agent, .. }
            | Event::Returned { agent, .. }
            | Event::NoAnswer { agent, .. }
            | Event::Beat { agent, .. }
            | Event::Call { agent, is_late: false, .. } => self.agents[*agent].paused_until,
            _ => 0,
        };
        if until <= self.now {
            return Some(event);
        }
        let delay = until - self.now + self.rng.random_range(0..RESUME_JITTER);
        self.at(delay, event);
        None
    }
}

/// The connection of a message and its direction.
fn connection_of(event: &Event) -> (usize, u64, bool) {
    match event {
        Event::Sync { planner, link, .. } | Event::Orders { planner, link, .. } => {
            (*planner, *link, true)
        }
        Event::Ordered { planner, link, .. } | Event::Answer { planner, link, .. } => {
            (*planner, *link, false)
        }
        _ => (usize::MAX, 0, false),
    }
}
