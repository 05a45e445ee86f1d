//! A search over interleavings of the lease protocol: random schedules of messages, losses, pauses,
//! cuts, clock drift and restarts against the real decision modules, with fixed seeds. At no time
//! may two entries act for one partition, or two agents for one worker.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::cluster_map::ClusterMap;
use greengagearch::connection::cluster_map::ClusterTiming;
use greengagearch::connection::cluster_map::EntryMember;
use greengagearch::connection::cluster_view::ClusterView;
use greengagearch::connection::lease::LeaseHolder;
use greengagearch::connection::map_change::ChangeResult;
use greengagearch::connection::map_change::MapChange;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Schedules that are tried.
const SCHEDULES: u64 = 60;
/// Simulated length of a schedule in milliseconds.
const LENGTH: u64 = 60_000;
/// Simulated time between two checks of the promises in milliseconds.
const CHECK_EVERY: u64 = 50;
const ENTRIES: usize = 3;
const LEASE: &str = "worker/w";
const TIMING: ClusterTiming = ClusterTiming {
    entry_beat_millis: 200,
    agent_beat_millis: 200,
    longest_grant_only_millis: 5_000,
};

/// A message or answer on its way.
#[derive(Clone, Debug)]
enum Event {
    EntryTick(usize),
    AgentTick(usize),
    RowRead { entry: usize, run: u64, sent: Instant },
    RowReply { entry: usize, run: u64, sent: Instant, map: ClusterMap, version: u64 },
    Beat { from: usize, run: u64, to: usize, generation: u64, sent: Instant },
    HeartbeatReply { to: usize, run: u64, reply: Reply },
    Join { from: usize, to: usize },
    Write { entry: usize, run: u64, change: MapChange },
    WriteReply { entry: usize, run: u64, change: MapChange, result: ChangeResult },
    AgentHeartbeat { agent: usize, to: usize, known: u64, relied: u64, epoch: u64, sent: Instant },
    AgentReply { agent: usize, reply: Reply },
    LeaseRead { agent: usize, sent: Instant, map: ClusterMap },
    LeaseReply { agent: usize, epoch: u64, sent: Instant, map: ClusterMap },
    Claim { agent: usize, to: usize, sent: Instant },
    Take { agent: usize, epoch: u64, version: u64, lease_version: u64, sent: Instant },
    Taken { agent: usize, epoch: u64, sent: Instant },
}

#[derive(Clone, Debug)]
struct Reply {
    from_run: u64,
    granted: bool,
    map: Option<ClusterMap>,
    sent: Instant,
}

struct Entry {
    view: ClusterView,
    run: u64,
    speed: f64,
    paused_until: u64,
    reaches_table: bool,
}

struct Agent {
    holder: Option<(LeaseHolder, Instant)>,
    map: ClusterMap,
    speed: f64,
    paused_until: u64,
    reaches_table: bool,
}

struct World {
    rng: StdRng,
    base: Instant,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_run: u64,
    map: ClusterMap,
    version: u64,
    lease_epoch: u64,
    lease_version: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// Times at which some entry acted for a partition, and some agent for the worker.
    acted: (u64, u64),
}

fn member(index: usize, run: u64) -> EntryMember {
    EntryMember { id: format!("e{index}"), incarnation: run, address: String::new() }
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            base: Instant::now(),
            now: 0,
            events: BTreeMap::new(),
            next_event: 0,
            next_run: 1,
            map: ClusterMap { timing: TIMING, ..ClusterMap::default() },
            version: 1,
            lease_epoch: 0,
            lease_version: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            acted: (0, 0),
        };
        for index in 0..ENTRIES {
            let entry = world.new_entry(index);
            world.entries.push(entry);
            world.push(index as u64, Event::EntryTick(index));
        }
        for index in 0..2 {
            let speed = world.speed();
            world.agents.push(Agent {
                holder: None,
                map: ClusterMap::default(),
                speed,
                paused_until: 0,
                reaches_table: true,
            });
            world.push(index as u64, Event::AgentTick(index));
        }
        world
    }

    fn new_entry(&mut self, index: usize) -> Entry {
        let run = self.next_run;
        self.next_run += 1;
        let speed = self.speed();
        let at = local(self.base, self.now, speed);
        Entry {
            view: ClusterView::new(member(index, run), at),
            run,
            speed,
            paused_until: 0,
            reaches_table: true,
        }
    }

    fn speed(&mut self) -> f64 {
        self.rng.random_range(0.996..1.004)
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + delay, self.next_event), event);
    }

    /// Sends a message: mostly quick, sometimes slow, sometimes lost.
    fn send(&mut self, event: Event) {
        let delay = match self.rng.random_range(0..100) {
            0..3 => return,
            3..10 => self.rng.random_range(0..1_500),
            _ => self.rng.random_range(0..20),
        };
        self.push(delay, event);
    }

    fn entry_now(&self, index: usize) -> Instant {
        local(self.base, self.now, self.entries[index].speed)
    }

    fn agent_now(&self, index: usize) -> Instant {
        local(self.base, self.now, self.agents[index].speed)
    }

    fn run(&mut self) {
        let mut next_check = 0;
        while let Some(((at, _), event)) = self.events.pop_first() {
            while next_check <= at {
                self.now = next_check;
                self.check();
                next_check += CHECK_EVERY;
            }
            if at > LENGTH {
                return;
            }
            self.now = at;
            if let Some(until) = self.paused(&event).filter(|until| *until > at) {
                self.push(until - at, event);
                continue;
            }
            self.handle(event);
            self.check();
        }
    }

    /// A paused process handles what reached it when it wakes.
    fn paused(&self, event: &Event) -> Option<u64> {
        match event {
            Event::EntryTick(entry)
            | Event::RowReply { entry, .. }
            | Event::WriteReply { entry, .. }
            | Event::Beat { to: entry, .. }
            | Event::HeartbeatReply { to: entry, .. }
            | Event::Join { to: entry, .. }
            | Event::AgentHeartbeat { to: entry, .. }
            | Event::Claim { to: entry, .. } => Some(self.entries[*entry].paused_until),
            Event::AgentTick(agent)
            | Event::AgentReply { agent, .. }
            | Event::LeaseReply { agent, .. }
            | Event::Taken { agent, .. } => Some(self.agents[*agent].paused_until),
            Event::RowRead { .. }
            | Event::Write { .. }
            | Event::LeaseRead { .. }
            | Event::Take { .. } => None,
        }
    }

    fn check(&mut self) {
        let mut owners: BTreeMap<u32, u64> = BTreeMap::new();
        for index in 0..ENTRIES {
            let now = self.entry_now(index);
            for partition in self.entries[index].view.acting_partitions(now) {
                let run = self.entries[index].run;
                let other = owners.insert(partition, run);
                assert!(other.is_none(), "{other:?} and {run} act for {partition} at {}", self.now);
            }
        }
        let valid = (0..self.agents.len()).filter(|index| self.agent_acts(*index)).count();
        assert!(valid <= 1, "two agents act for the worker at {}", self.now);
        self.acted.0 += u64::from(!owners.is_empty());
        self.acted.1 += valid as u64;
    }

    fn agent_acts(&self, index: usize) -> bool {
        let now = self.agent_now(index);
        let agent = &self.agents[index];
        agent
            .holder
            .as_ref()
            .is_some_and(|(holder, acts_from)| now >= *acts_from && holder.is_valid(now))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::EntryTick(index) => self.entry_tick(index),
            Event::AgentTick(index) => self.agent_tick(index),
            Event::RowRead { entry, run, sent } => {
                if self.entries[entry].reaches_table {
                    let (map, version) = (self.map.clone(), self.version);
                    self.send(Event::RowReply { entry, run, sent, map, version });
                }
            }
            Event::RowReply { entry, run, sent, map, version } => {
                let now = self.entry_now(entry);
                if self.entries[entry].run == run {
                    self.entries[entry].view.on_row(map, version, sent, now);
                }
            }
            Event::Beat { from, run, to, generation, sent } => {
                let now = self.entry_now(to);
                self.entries[to].view.on_contact(run, now);
                let reply = self.reply(to, &format!("entry/{run}"), 0, generation, sent);
                self.send(Event::HeartbeatReply { to: from, run, reply });
            }
            Event::HeartbeatReply { to, run, reply } => {
                let now = self.entry_now(to);
                let entry = &mut self.entries[to];
                if entry.run == run {
                    entry.view.on_contact(reply.from_run, now);
                    if let Some(map) = reply.map {
                        entry.view.adopt(map, now);
                    }
                    if reply.granted {
                        entry.view.on_grant(reply.from_run, reply.sent);
                    }
                }
            }
            Event::Join { from, to } => {
                let joiner = member(from, self.entries[from].run);
                if let Some(change) = self.entries[to].view.plan_join(joiner) {
                    self.write(to, change);
                }
            }
            Event::Write { entry, run, change } => {
                let mut result = ChangeResult::Refused;
                if self.version == change.version {
                    self.version += 1;
                    self.map = change.map.clone();
                    result = ChangeResult::Written(self.version);
                }
                self.send(Event::WriteReply { entry, run, change, result });
            }
            Event::WriteReply { entry, run, change, result } => {
                let now = self.entry_now(entry);
                if self.entries[entry].run == run {
                    self.entries[entry].view.end_change(change, result, now);
                }
            }
            Event::AgentHeartbeat { agent, to, known, relied, epoch, sent } => {
                let mut reply = self.reply(to, LEASE, epoch, relied, sent);
                reply.map = reply.map.filter(|map| map.generation > known);
                self.send(Event::AgentReply { agent, reply });
            }
            Event::AgentReply { agent, reply } => {
                let agent = &mut self.agents[agent];
                if let Some(map) = reply.map.filter(|map| map.generation > agent.map.generation) {
                    agent.map = map;
                }
                if let Some((holder, _)) = agent.holder.as_mut().filter(|_| reply.granted) {
                    holder.on_grant(reply.from_run, reply.sent);
                }
            }
            Event::LeaseRead { agent, sent, map } => {
                if self.agents[agent].reaches_table {
                    let epoch = self.lease_epoch;
                    self.send(Event::LeaseReply { agent, epoch, sent, map });
                }
            }
            Event::LeaseReply { agent, epoch, sent, map } => {
                if let Some((holder, _)) = &mut self.agents[agent].holder
                    && epoch >= holder.epoch()
                {
                    holder.on_read(epoch, sent);
                    holder.rely_on(&map);
                }
            }
            Event::Claim { agent, to, sent } => self.claim(agent, to, sent),
            Event::Take { agent, epoch, version, lease_version, sent } => {
                if self.version == version && self.lease_version == lease_version {
                    self.lease_version += 1;
                    self.lease_epoch = epoch;
                    self.send(Event::Taken { agent, epoch, sent });
                }
            }
            Event::Taken { agent, epoch, sent } => {
                let now = self.agent_now(agent);
                let timing = TIMING.worker_lease();
                // A first lease follows nobody and needs no wait.
                let wait = if epoch == 1 { Duration::ZERO } else { timing.takeover_wait() };
                let mut holder = LeaseHolder::new(timing, epoch);
                holder.on_read(epoch, sent);
                self.agents[agent].holder = Some((holder, now + wait));
            }
        }
    }

    fn reply(&self, to: usize, lease: &str, epoch: u64, generation: u64, sent: Instant) -> Reply {
        let view = &self.entries[to].view;
        let is_behind = generation < view.map().generation;
        Reply {
            from_run: self.entries[to].run,
            granted: view.may_grant(lease, epoch, generation),
            map: is_behind.then(|| view.map().clone()),
            sent,
        }
    }

    fn entry_tick(&mut self, index: usize) {
        let beat = TIMING.entry_beat_millis;
        self.push(beat, Event::EntryTick(index));
        self.disturb_entry(index);
        let now = self.entry_now(index);
        let run = self.entries[index].run;
        if self.entries[index].reaches_table {
            self.send(Event::RowRead { entry: index, run, sent: now });
        }
        let generation = self.entries[index].view.map().generation;
        let lease = format!("entry/{run}");
        if self.entries[index].view.may_grant(&lease, 0, generation) {
            self.entries[index].view.on_grant(run, now);
        }
        for to in 0..ENTRIES {
            let is_member = self.entries[index].view.map().has_member(self.entries[to].run);
            if to != index && is_member {
                self.send(Event::Beat { from: index, run, to, generation, sent: now });
            }
        }
        if !self.entries[index].reaches_table {
            return;
        }
        if self.entries[index].view.is_member() {
            if let Some(change) = self.entries[index].view.plan_upkeep(now) {
                self.write(index, change);
            }
        } else {
            self.join(index);
        }
    }

    fn join(&mut self, index: usize) {
        let map = self.entries[index].view.map().clone();
        let Some(version) = self.entries[index].view.row_version() else {
            return;
        };
        let own = member(index, self.entries[index].run);
        if map.members.is_empty() {
            self.write(index, MapChange { version, map: map.with_member(own) });
            return;
        }
        // Whether anybody answers makes no difference to what must hold.
        if self.rng.random_range(0..40) == 0 {
            self.write(index, MapChange { version, map: map.with_sole_member(own) });
            return;
        }
        let to = self.rng.random_range(0..ENTRIES);
        if to != index {
            self.send(Event::Join { from: index, to });
        }
    }

    fn write(&mut self, entry: usize, change: MapChange) {
        let run = self.entries[entry].run;
        self.entries[entry].view.begin_change(&change);
        if !self.entries[entry].reaches_table {
            return;
        }
        self.send(Event::Write { entry, run, change });
        // The worst moment to lose sight of the table is right after a write.
        if self.rng.random_range(0..5) == 0 {
            self.entries[entry].reaches_table = false;
        }
    }

    fn disturb_entry(&mut self, index: usize) {
        match self.rng.random_range(0..400) {
            0..4 => {
                let pause = self.rng.random_range(0..4_000);
                self.entries[index].paused_until = self.now + pause;
            }
            4..12 => self.entries[index].reaches_table = false,
            12..40 => self.entries[index].reaches_table = true,
            40..43 => self.entries[index] = self.new_entry(index),
            _ => {}
        }
    }

    fn agent_tick(&mut self, index: usize) {
        self.push(TIMING.agent_beat_millis, Event::AgentTick(index));
        match self.rng.random_range(0..200) {
            0..4 => {
                let pause = self.rng.random_range(0..4_000);
                self.agents[index].paused_until = self.now + pause;
            }
            4..8 => self.agents[index].reaches_table = false,
            8..20 => self.agents[index].reaches_table = true,
            // A new run of the agent asks for the lease.
            20..22 => {
                let to = self.rng.random_range(0..ENTRIES);
                let sent = self.agent_now(index);
                self.send(Event::Claim { agent: index, to, sent });
            }
            _ => {}
        }
        let now = self.agent_now(index);
        let epoch = self.agents[index].holder.as_ref().map_or(0, |(holder, _)| holder.epoch());
        if epoch == 0 && self.lease_epoch == 0 {
            let to = self.rng.random_range(0..ENTRIES);
            self.send(Event::Claim { agent: index, to, sent: now });
        }
        if self.agents[index].reaches_table {
            let map = self.agents[index].map.clone();
            self.send(Event::LeaseRead { agent: index, sent: now, map });
        }
        let known = self.agents[index].map.generation;
        let holder = self.agents[index].holder.as_ref();
        let relied = holder.map_or(0, |(holder, _)| holder.map_generation());
        for to in 0..ENTRIES {
            self.send(Event::AgentHeartbeat { agent: index, to, known, relied, epoch, sent: now });
        }
    }

    fn claim(&mut self, agent: usize, to: usize, sent: Instant) {
        let now = self.entry_now(to);
        let epoch = self.lease_epoch + 1;
        let lease_version = self.lease_version;
        let entry = &mut self.entries[to];
        if !entry.view.may_take_over_workers(now) || !entry.reaches_table {
            return;
        }
        entry.view.supersede(LEASE, epoch);
        let version = entry.view.row_version().unwrap_or(0);
        self.send(Event::Take { agent, epoch, version, lease_version, sent });
    }
}

fn local(base: Instant, now: u64, speed: f64) -> Instant {
    base + Duration::from_secs_f64((now as f64 + 1_000.0) * speed / 1_000.0)
}

#[test]
fn no_schedule_lets_two_act_at_once() {
    let mut acted = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        world.run();
        acted.0 += world.acted.0;
        acted.1 += world.acted.1;
    }
    // A search in which nobody ever acts would find nothing.
    assert!(acted.0 > SCHEDULES * 1_000 && acted.1 > SCHEDULES * 500, "{acted:?}");
}
