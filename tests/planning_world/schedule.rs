//! How a schedule goes: its start, its faults, and what has to hold at its end.

use super::*;

/// The id of a runner, from the name of one of its lives.
pub(super) fn runner_id(life: &str) -> &str {
    life.split('-').next().unwrap_or(life)
}

impl PlanningWorld {
    /// A world in which jobs of `specs` are submitted over time and faults come until [`FAULTS_UNTIL`].
    pub fn new(seed: u64, missing: Missing, specs: Vec<WorkflowSpec>) -> PlanningWorld {
        let base = Instant::now();
        let mut world = PlanningWorld {
            rng: StdRng::seed_from_u64(seed),
            connection_rng: StdRng::seed_from_u64(!seed),
            missing,
            base,
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            version: 0,
            owner_epoch: 0,
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            planners: Vec::new(),
            agents: Vec::new(),
            cancelled: BTreeMap::new(),
            has_cuts: false,
            has_same_ids: false,
            has_refusals: false,
            outages: OutageState::default(),
            evacuations: EvacuationState::default(),
            late_reads: LateReadState::default(),
            crasher: None,
            specs,
            audit: RunAudit::default(),
        };
        for agent in 0..AGENTS {
            let speed = world.rng.random_range(0.98..=1.0);
            let mut life = RunnerLife::new(format!("{agent}-0"), 0, speed);
            life.checks_fence = missing != Missing::Fence;
            let state = NodeState::new(base);
            let made = Agent {
                run: 0,
                state,
                paused_until: 0,
                lag: 0,
                cut_until: 0,
                beats: 0,
                life,
                lives: 0,
                connections: ConnectionPool::default(),
                health: RunnerHealth::well(),
                counted: 0,
            };
            world.agents.push(made);
            world.at(agent as u64, Event::Beat { agent });
            world.at(5, Event::Look { agent, run: 0 });
            world.at(7, Event::Pass { agent });
        }
        world.at(10, Event::Takeover);
        for number in 0..world.specs.len() {
            let at = world.rng.random_range(20..FAULTS_UNTIL - 4_000);
            world.at(at, Event::Submit(number));
        }
        world.at(500, Event::Fault);
        world.at(1_500, Event::Watch);
        world
    }

    /// The same world with a task that crashes each runner that starts it.
    pub fn with_crasher(mut self, task: &str) -> PlanningWorld {
        self.crasher = Some(task.parse().unwrap());
        self
    }

    /// The same world with long tasks, in which hosts that were paused are cut off afterwards.
    pub fn with_cuts(mut self) -> PlanningWorld {
        self.has_cuts = true;
        self
    }

    /// The same world with runners that come back under the ids that they had.
    pub fn with_same_ids(mut self) -> PlanningWorld {
        self.has_same_ids = true;
        self
    }

    /// The same world with runners whose responses list at most `count` ends, the earliest first.
    pub fn with_listed_ends(mut self, count: usize) -> PlanningWorld {
        self.agents.iter_mut().for_each(|agent| agent.life.listed_ends = count);
        self
    }

    /// The id that a runner tells.
    pub(super) fn told_id(&self, agent: usize) -> String {
        let name = &self.agents[agent].life.name;
        match self.has_same_ids {
            true => runner_id(name).to_string(),
            false => name.clone(),
        }
    }

    /// Plays the schedule. Gives what broke a promise.
    pub fn run(mut self) -> Vec<String> {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if at > self.length() || !self.audit.violations.is_empty() {
                break;
            }
            self.handle(event);
            self.trace_decisions();
        }
        if self.audit.violations.is_empty() {
            self.check_end();
        }
        self.trace_runs();
        self.audit.violations
    }

    pub(super) fn at(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    pub(super) fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    pub(super) fn is_calm(&self) -> bool {
        self.now > FAULTS_UNTIL
    }

    pub(super) fn chance(&mut self, share: f64) -> bool {
        !self.is_calm() && self.rng.random_bool(share)
    }

    /// Sends over the network: mostly at once, sometimes late, sometimes not at all.
    pub(super) fn send(&mut self, event: Event) {
        if self.chance(0.02) || self.is_cut(&event) {
            return;
        }
        let Some(event) = self.hold_up(event) else {
            return;
        };
        let delay = match self.chance(0.03) {
            true => self.rng.random_range(50..2_500),
            false => self.rng.random_range(1..6),
        };
        self.at(delay, event);
    }

    pub(super) fn on_fault(&mut self) {
        if self.is_calm() {
            return;
        }
        if self.has_outages() {
            return self.on_outage_fault();
        }
        let agent = self.rng.random_range(0..AGENTS);
        let pause = self.now + self.rng.random_range(200..4_000);
        let owner = self.planners.len() - 1;
        match self.rng.random_range(0..8) {
            0 => self.pause_planner(owner, pause),
            1 => self.planners[owner].is_alive = false,
            2 => self.on_takeover(),
            3 => self.pause_agent(agent, pause),
            4 => self.restart_agent(agent),
            5 => self.crash_runner(agent),
            6 => {
                // Both halves of a host at once.
                self.pause_agent(agent, pause);
                self.pause_planner(owner, pause);
            }
            _ => self.break_link(owner, agent),
        }
        if let Some(job) = self.records.keys().next_back().cloned()
            && self.chance(0.08)
        {
            self.on_cancel(&job);
        }
        let next = self.rng.random_range(200..1_500);
        self.at(next, Event::Fault);
    }

    pub(super) fn pause_planner(&mut self, planner: usize, until: u64) {
        self.trace_note(&format!("planner {planner} stands still until {until}"));
        self.planners[planner].paused_until = until;
        if self.missing == Missing::SuspendedTime {
            self.planners[planner].lag += until - self.now;
        }
    }

    pub(super) fn pause_agent(&mut self, agent: usize, until: u64) {
        self.trace_note(&format!("agent {agent} stands still until {until}"));
        self.note_disturbance(agent, until);
        self.agents[agent].paused_until = until;
        if self.has_cuts {
            self.agents[agent].cut_until = until + CUT_FOR;
        }
        if self.missing == Missing::SuspendedTime {
            self.agents[agent].lag += until - self.now;
        }
    }

    /// Whether a message between a planner and an agent gets lost because the agent's host is cut off.
    fn is_cut(&self, event: &Event) -> bool {
        match event {
            Event::Sync { agent, .. }
            | Event::Orders { agent, .. }
            | Event::Ordered { agent, .. }
            | Event::Answer { agent, .. } => self.agents[*agent].cut_until > self.now,
            _ => false,
        }
    }

    /// The time by the clock of an agent's process.
    pub(super) fn agent_instant(&self, agent: usize) -> Instant {
        self.base + Duration::from_millis(self.now.saturating_sub(self.agents[agent].lag))
    }

    /// The time by the clock of a planner's process.
    pub(super) fn planner_instant(&self, planner: usize) -> Instant {
        self.base + Duration::from_millis(self.now.saturating_sub(self.planners[planner].lag))
    }

    pub(super) fn restart_agent(&mut self, agent: usize) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        one.run += 1;
        one.state = NodeState::new(now);
        one.connections.clear();
        let run = one.run;
        for planner in 0..self.planners.len() {
            self.break_link(planner, agent);
        }
        self.at(300, Event::Look { agent, run });
    }

    pub(super) fn crash_runner(&mut self, agent: usize) {
        let now = self.now;
        self.agents[agent].life.crash(now, &mut self.audit);
        if self.has_same_ids {
            let life = self.agents[agent].life.name.clone();
            let longest = if self.chance(0.5) { 4_000 } else { 60 };
            let pause = self.rng.random_range(10..longest);
            return self.at(pause, Event::Back { agent, life });
        }
        self.renew_runner(agent);
    }

    /// A life ends under the task that crashes its runners; the runner is back after some seconds.
    pub(super) fn on_crash(&mut self, agent: usize, life: &str) {
        let now = self.now;
        let one = &mut self.agents[agent];
        if one.life.name == life && one.life.is_alive {
            one.life.crash(now, &mut self.audit);
            self.at(BACK_AFTER, Event::Back { agent, life: life.to_string() });
        }
    }

    pub(super) fn renew_runner(&mut self, agent: usize) {
        let speed = self.rng.random_range(0.98..=1.0);
        let (now, missing) = (self.now, self.missing);
        let one = &mut self.agents[agent];
        one.lives += 1;
        let listed_ends = one.life.listed_ends;
        one.life = RunnerLife::new(format!("{agent}-{}", one.lives), now, speed);
        one.life.listed_ends = listed_ends;
        one.life.checks_fence = missing != Missing::Fence;
    }

    /// Somebody takes over when the owner is dead or silent.
    pub(super) fn on_watch(&mut self) {
        let owner = self.planners.last();
        let is_silent = owner.is_none_or(|one| {
            !one.is_alive || one.paused_until > self.now + 1_000 && self.has_standby()
        });
        if is_silent && !self.is_store_out() {
            self.on_takeover();
        }
        self.at(1_500, Event::Watch);
    }

    pub(super) fn on_takeover(&mut self) {
        self.owner_epoch += 1;
        let now = self.instant();
        let waits = self.owner_epoch > 1 && self.missing != Missing::LeaseWait;
        let mut planner =
            Planner::new(if waits { predecessor_leases_expired_by(now) } else { now });
        planner.set_time(now, WALL + self.now);
        for (job, (version, record)) in &self.records {
            planner.on_record(job, *version, record.clone());
        }
        for (job, (version, progress)) in &self.progress {
            planner.on_progress(job, *version, progress.clone());
        }
        let link = || Link {
            number: 0,
            agent_run: 0,
            last_sent: 0,
            is_new: true,
            is_up: false,
            exchange: 0,
            unanswered: Vec::new(),
        };
        self.planners.push(PlannerProcess {
            epoch: self.owner_epoch,
            is_alive: true,
            paused_until: 0,
            lag: 0,
            planner,
            proof: now,
            links: (0..AGENTS).map(|_| link()).collect(),
            write: None,
            writes: 0,
            applied: BTreeMap::new(),
        });
        let planner = self.planners.len() - 1;
        self.begin_reads(planner);
        self.begin_job_reads(planner);
        for agent in 0..AGENTS {
            self.at(1, Event::Relink { planner, agent });
        }
        self.at(2, Event::Plan(planner));
    }

    pub(super) fn on_submit(&mut self, number: usize) {
        let spec = WorkflowSpec { accepted_ms: WALL + self.now, ..self.specs[number].clone() };
        self.version += 1;
        let job = format!("{number:02}");
        let record = JobRecord::Live { spec, cancelled: false };
        self.records.insert(job.clone(), (self.version, record));
        self.tell(&job);
    }

    pub(super) fn on_cancel(&mut self, job: &str) {
        if let Some((version, JobRecord::Live { cancelled, .. })) = self.records.get_mut(job) {
            *cancelled = true;
            self.version += 1;
            *version = self.version;
            self.cancelled.entry(job.to_string()).or_insert(self.now);
            self.tell(job);
        }
    }

    /// The feed of jobs, to all that plan or believe so.
    pub(super) fn tell(&mut self, job: &str) {
        for planner in 0..self.planners.len() {
            let delay = self.rng.random_range(1..60) + self.feed_silence(planner);
            self.at(delay, Event::News { planner, job: job.to_string() });
        }
    }

    fn check_end(&mut self) {
        let attempts = self.specs.iter().map(|spec| spec.policy.max_attempts).max().unwrap_or(1);
        self.audit.finish(attempts as usize);
        let mut found = Vec::new();
        for (job, (_, record)) in &self.records {
            if matches!(record, JobRecord::Live { .. }) {
                found.push(format!("job {job} has not ended: {:?}", self.progress.get(job)));
            }
        }
        for agent in &self.agents {
            if !agent.life.is_idle() {
                found.push(format!("something still runs on {}", agent.life.name));
            }
        }
        found.extend(self.crasher.as_ref().and_then(|task| self.audit.check_crasher(task)));
        let failed = self.records.iter().filter(|(_, (_, record))| {
            matches!(record, JobRecord::Ended { end: JobEnd::Failed, .. })
        });
        for (job, _) in failed {
            let is_crasher = self.crasher.as_ref().is_some_and(|task| task.job == *job);
            if !is_crasher && !self.audit.has_failed(job, attempts as usize) {
                found.push(format!("job {job} is shown as failed and could have been done"));
            }
        }
        found.extend(self.check_starts_after_completion());
        found.extend(self.check_evacuations());
        found.extend(self.check_permits());
        found.extend(self.check_cancelled());
        found.extend(self.check_cancel_limit());
        found.extend(self.check_runners());
        for record in &self.audit.records {
            let cancelled = self.cancelled.get(&record.key.0.job);
            // Messages and late orders take up to 6 s here.
            let is_late =
                |at: &u64| record.began > at + 10_000 + self.outage_between(*at, record.began);
            if cancelled.is_some_and(is_late) {
                found.push(format!(
                    "{} starts at {} after its cancelling",
                    record.key.0, record.began
                ));
            }
        }
        self.audit.violations.extend(found);
    }
}
