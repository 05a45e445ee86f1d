//! Scripted scenarios of the lease protocol, in a small test language: one step a line, what comes
//! of it below. `UPDATE_GOLDENFILES=1 cargo test --test scenarios` writes the outputs anew.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::cluster_map::ClusterMap;
use greengagearch::connection::cluster_map::EntryMember;
use greengagearch::connection::cluster_view::ClusterView;
use greengagearch::connection::lease::LeaseHolder;
use greengagearch::connection::map_change::ChangeResult;
use greengagearch::connection::map_change::MapChange;

const LEASE: &str = "worker/w";

#[derive(goldenscript::Command)]
enum Command {
    /// Starts a run of an entry.
    Entry(String),
    /// An entry reads the row; prints what it knows.
    Read(String),
    /// An entry joins, through a member or by itself.
    Join {
        entry: String,
        #[arg(key)]
        through: Option<String>,
        #[arg(key, optional)]
        unaided: bool,
    },
    /// An entry removes silent members; the answer to its write may be lost.
    Upkeep {
        entry: String,
        #[arg(key, optional)]
        lost: bool,
    },
    /// A heartbeat from an entry or an agent to an entry, with its answer.
    Beat(String, String),
    /// An agent takes the worker's lease through an entry; the answer may come later.
    Claim {
        agent: String,
        #[arg(key)]
        through: String,
        #[arg(key, optional)]
        late: bool,
    },
    /// The late answer to an agent's claim comes.
    Answer(String),
    /// An agent reads the worker's row.
    ReadLease(String),
    /// Time passes, in milliseconds.
    Pass(u64),
    /// Prints who acts for how many partitions, and which agents act for the worker.
    Acting,
}

struct Agent {
    holder: LeaseHolder,
    acts_from: Instant,
    map: ClusterMap,
}

struct PendingAnswer {
    epoch: u64,
    sent: Instant,
}

struct Scenario {
    now: Instant,
    map: ClusterMap,
    version: u64,
    epoch: u64,
    runs: BTreeMap<String, u64>,
    entries: BTreeMap<String, ClusterView>,
    agents: BTreeMap<String, Agent>,
    pending: BTreeMap<String, PendingAnswer>,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario {
            now: Instant::now(),
            map: ClusterMap::default(),
            version: 1,
            epoch: 0,
            runs: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    fn member(&self, entry: &str) -> EntryMember {
        EntryMember { id: entry.to_string(), incarnation: self.runs[entry], address: String::new() }
    }

    fn view(&mut self, entry: &str) -> Result<&mut ClusterView, Box<dyn Error>> {
        self.entries.get_mut(entry).ok_or_else(|| format!("no entry '{entry}'").into())
    }

    fn start(&mut self, entry: &str) {
        let run = self.runs.len() as u64 + 1;
        self.runs.insert(entry.to_string(), run);
        let view = ClusterView::new(self.member(entry), self.now);
        self.entries.insert(entry.to_string(), view);
    }

    fn read(&mut self, entry: &str) -> Result<String, Box<dyn Error>> {
        let (map, version, now) = (self.map.clone(), self.version, self.now);
        self.view(entry)?.on_row(map, version, now, now);
        self.describe(entry)
    }

    fn describe(&mut self, entry: &str) -> Result<String, Box<dyn Error>> {
        let map = self.view(entry)?.map();
        let names: Vec<&str> = map.members.iter().map(|member| member.id.as_str()).collect();
        Ok(format!("map {} members {}\n", map.generation, names.join(" ")))
    }

    /// Writes a change at once, as the table service would.
    fn write(&mut self, entry: &str, change: MapChange, lost: bool) -> Result<(), Box<dyn Error>> {
        self.view(entry)?.begin_change(&change);
        let mut result = ChangeResult::Refused;
        if change.version == self.version {
            self.version += 1;
            self.map = change.map.clone();
            result = ChangeResult::Written(self.version);
        }
        let result = if lost { ChangeResult::Ambiguous } else { result };
        let now = self.now;
        self.view(entry)?.end_change(change, result, now);
        Ok(())
    }

    fn join(
        &mut self,
        entry: &str,
        through: Option<&str>,
        unaided: bool,
    ) -> Result<String, Box<dyn Error>> {
        let joiner = self.member(entry);
        let change = match through {
            Some(member) => self.view(member)?.plan_join(joiner).ok_or("no change possible")?,
            None if unaided => {
                MapChange { version: self.version, map: self.map.with_sole_member(joiner) }
            }
            None => MapChange { version: self.version, map: self.map.with_member(joiner) },
        };
        self.write(through.unwrap_or(entry), change, false)?;
        self.read(entry)
    }

    fn beat(&mut self, from: &str, to: &str) -> Result<String, Box<dyn Error>> {
        let now = self.now;
        let is_agent = self.agents.contains_key(from);
        let (lease, epoch, relied) = if is_agent {
            let holder = &self.agents[from].holder;
            (LEASE.to_string(), holder.epoch(), holder.map_generation())
        } else {
            let run = self.runs[from];
            (format!("entry/{run}"), 0, self.view(from)?.map().generation)
        };
        let to_run = self.runs[to];
        let from_run = self.runs.get(from).copied();
        let member = self.view(to)?;
        from_run.into_iter().for_each(|run| member.on_contact(run, now));
        let granted = member.may_grant(&lease, epoch, relied);
        let map = member.map().clone();
        if is_agent {
            let agent = self.agents.get_mut(from).ok_or("no such agent")?;
            if map.generation > agent.map.generation {
                agent.map = map;
            }
            if granted {
                agent.holder.on_grant(to_run, now);
            }
        } else {
            let view = self.view(from)?;
            view.on_contact(to_run, now);
            view.adopt(map, now);
            if granted {
                view.on_grant(to_run, now);
            }
        }
        Ok(if granted { "granted\n" } else { "refused\n" }.to_string())
    }

    fn claim(&mut self, agent: &str, through: &str, late: bool) -> Result<String, Box<dyn Error>> {
        let (now, version, epoch) = (self.now, self.version, self.epoch + 1);
        let view = self.view(through)?;
        if !view.may_take_over_workers(now) {
            return Ok("later\n".to_string());
        }
        view.supersede(LEASE, epoch);
        if view.row_version() != Some(version) {
            return Ok("conflict\n".to_string());
        }
        self.epoch = epoch;
        self.pending.insert(agent.to_string(), PendingAnswer { epoch, sent: now });
        if late { Ok(format!("epoch {epoch}, answer on its way\n")) } else { self.answer(agent) }
    }

    fn answer(&mut self, agent: &str) -> Result<String, Box<dyn Error>> {
        let answer = self.pending.remove(agent).ok_or("no answer on its way")?;
        let timing = self.map.timing.worker_lease();
        let wait = if answer.epoch == 1 { Duration::ZERO } else { timing.takeover_wait() };
        let mut holder = LeaseHolder::new(timing, answer.epoch);
        holder.on_read(answer.epoch, answer.sent);
        holder.rely_on(&self.map);
        let (acts_from, map) = (self.now + wait, self.map.clone());
        self.agents.insert(agent.to_string(), Agent { holder, acts_from, map });
        Ok(format!("epoch {}, acts after {} ms\n", answer.epoch, wait.as_millis()))
    }

    fn read_lease(&mut self, agent: &str) -> Result<String, Box<dyn Error>> {
        let (epoch, now) = (self.epoch, self.now);
        let known = self.agents.get_mut(agent).ok_or("no such agent")?;
        known.holder.on_read(epoch, now);
        let map = known.map.clone();
        known.holder.rely_on(&map);
        Ok(format!("epoch {epoch}\n"))
    }

    fn acting(&self) -> String {
        let mut text = String::new();
        for (name, view) in &self.entries {
            let _ = writeln!(text, "{name} {}", view.acting_partitions(self.now).len());
        }
        for (name, agent) in &self.agents {
            let acts = self.now >= agent.acts_from && agent.holder.is_valid(self.now);
            let _ = writeln!(text, "{name} {}", if acts { "acts" } else { "does not act" });
        }
        text
    }
}

impl goldenscript::Runner for Scenario {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        match command {
            Command::Entry(entry) => {
                self.start(entry);
                Ok(String::new())
            }
            Command::Read(entry) => self.read(entry),
            Command::Join { entry, through, unaided } => {
                self.join(entry, through.as_deref(), *unaided)
            }
            Command::Upkeep { entry, lost } => {
                let now = self.now;
                match self.view(entry)?.plan_upkeep(now) {
                    None => Ok("nothing to do\n".to_string()),
                    Some(change) => {
                        self.write(entry, change, *lost)?;
                        self.describe(entry)
                    }
                }
            }
            Command::Beat(from, to) => self.beat(from, to),
            Command::Claim { agent, through, late } => self.claim(agent, through, *late),
            Command::Answer(agent) => self.answer(agent),
            Command::ReadLease(agent) => self.read_lease(agent),
            Command::Pass(millis) => {
                self.now += Duration::from_millis(*millis);
                Ok(String::new())
            }
            Command::Acting => Ok(self.acting()),
        }
    }
}

fn run(name: &str) {
    let path = format!("tests/scenarios/{name}");
    goldenscript::run(&mut Scenario::new(), path).expect("the script can be read");
}

#[test]
fn a_dead_entry_is_replaced() {
    run("dead_entry");
}

#[test]
fn grants_carry_a_worker_through_an_outage() {
    run("outage");
}

#[test]
fn a_taker_that_was_removed_still_counts() {
    run("removed_taker");
}

#[test]
fn an_unaided_join_waits_for_those_that_live_on_grants() {
    run("unaided_join");
}

#[test]
fn a_late_answer_to_a_claim_is_old_news() {
    run("late_claim");
}

#[test]
fn an_ambiguous_write_stops_grants() {
    run("ambiguous_write");
}
