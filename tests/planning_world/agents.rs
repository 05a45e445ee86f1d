//! Events at an agent and its runner.

use super::outages::OUTAGE_LENGTH;
use super::*;

/// What a runner's call does to a life of another name, or to one that has ended, is nothing.
impl PlanningWorld {
    pub(super) fn at_agent(&mut self, event: Event) {
        let agent = match &event {
            Event::Call { .. } => return self.on_call(event),
            Event::HoldEnd { .. } => return self.on_hold_end(event),
            Event::Sync { agent, .. }
            | Event::Orders { agent, .. }
            | Event::Reply { agent, .. }
            | Event::Look { agent, .. }
            | Event::Try { agent, .. }
            | Event::Slot { agent, .. }
            | Event::Returned { agent, .. }
            | Event::NoAnswer { agent, .. }
            | Event::Beat { agent } => *agent,
            _ => return,
        };
        let paused_until = self.agents[agent].paused_until;
        if paused_until > self.now {
            return self.at(paused_until - self.now, event);
        }
        match event {
            Event::Sync { run, .. } | Event::Orders { run, .. }
                if run != self.agents[agent].run => {}
            Event::Sync { planner, link, call, .. } => self.on_sync(planner, agent, link, call),
            Event::Orders { planner, link, call, .. } => self.on_orders(planner, agent, link, call),
            Event::Reply { run, stamp, planner, link, .. } => {
                if self.agents[agent].run == run {
                    self.reply(agent, stamp, planner, link);
                }
            }
            Event::Look { run, .. } => self.on_look(agent, run),
            Event::Try { run, target, tried, .. } => self.on_try(agent, run, target, tried),
            Event::Slot { run, target, queued, .. } => self.on_slot(agent, run, target, queued),
            Event::Returned { run, target, order, answer, .. } => {
                if self.agents[agent].run == run {
                    self.on_returned(agent, target, order, answer);
                }
            }
            Event::NoAnswer { run, target, order, is_broken, .. } => {
                if self.agents[agent].run == run {
                    self.on_no_response(agent, target, order, is_broken);
                }
            }
            _ => self.on_heartbeat(agent),
        }
    }

    fn on_heartbeat(&mut self, agent: usize) {
        let (instance, runner) = (self.agents[agent].life.name.clone(), self.told_id(agent));
        let started_at = self.has_same_ids.then_some(self.agents[agent].lives * START_DISTANCE);
        let domain = self.domain_of(agent);
        let one = &mut self.agents[agent];
        if !one.life.is_alive {
            return self.at(500, Event::Beat { agent });
        }
        one.beats += 1;
        let status = RunnerStatus {
            instance,
            service: "s".to_string(),
            domain,
            capacity: ResourceVector { millicores: 2_000, memory_mib: 4_000, accelerators: 0 },
            labels: vec!["a".to_string(), format!("r{agent}")],
            draining: false,
        };
        let address = "127.0.0.1:1".to_string();
        one.state.on_heartbeat(RegisteredRunner {
            runner,
            status,
            address,
            sequence: one.beats,
            started_at,
        });
        self.at(500, Event::Beat { agent });
    }

    fn on_sync(&mut self, planner: usize, agent: usize, link: u64, call: SyncCall) {
        let one = &mut self.agents[agent];
        match one.state.admit(call.stamp) {
            Err(newest) => {
                return self.send(Event::Answer { planner, agent, link, report: Err(newest) });
            }
            Ok(true) => one.counted = 0,
            Ok(false) => {}
        }
        one.state.on_sync(&call);
        let run = one.run;
        let longest = call.wait.as_millis() as u64;
        let wait = self.rng.random_range(0..=longest);
        self.at(wait, Event::Reply { agent, run, stamp: call.stamp, planner, link });
    }

    fn reply(&mut self, agent: usize, stamp: LinkStamp, planner: usize, link: u64) {
        let now = self.agent_instant(agent);
        let state = &mut self.agents[agent].state;
        let mut report = match state.is_current(stamp) {
            true => Ok(state.report(now)),
            false => Err(state.newest_stamp()),
        };
        if let (Missing::StartDoubts, Ok(report)) = (self.missing, &mut report) {
            report.keeps_id = false;
            report.in_doubt.clear();
        }
        self.send(Event::Answer { planner, agent, link, report });
    }

    fn on_orders(&mut self, planner: usize, agent: usize, link: u64, mut call: OrderCall) {
        if self.missing == Missing::OrderLease {
            call.orders.iter_mut().for_each(|order| extend_lease(order, link));
        }
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        match one.state.admit(call.stamp) {
            Err(_) => {
                return self.send(Event::Ordered { planner, agent, link, number: call.number });
            }
            Ok(true) => one.counted = 0,
            Ok(false) => {}
        }
        let run = one.run;
        let target = one.state.target().filter(|target| target.instance == call.instance);
        let mut next = Vec::new();
        for (target, order) in
            target.iter().flat_map(|target| call.orders.iter().map(move |order| (target, order)))
        {
            match order {
                NodeOrder::Start(start) => {
                    if one.state.accept_start(start, now) {
                        let key = (start.traits.task.clone(), start.run);
                        let tried = StartTry { key, room: start.traits.resources };
                        next.push(Event::Try { agent, run, target: target.clone(), tried });
                    }
                }
                NodeOrder::Stop(task, number) => {
                    let key = (task.clone(), *number);
                    if one.state.accept_stop(&key) {
                        let queued = QueuedOrder::Stop(key);
                        next.push(Event::Slot { agent, run, target: target.clone(), queued });
                    }
                }
                NodeOrder::Describe(_) => {}
            }
        }
        let previous = match self.missing {
            Missing::OrderSequence => std::mem::replace(&mut one.counted, call.number),
            _ => call.previous,
        };
        one.state.on_orders(previous, call.number);
        for event in next {
            match event {
                Event::Slot { target, queued, .. } => self.await_slot(agent, run, target, queued),
                event => self.at(0, event),
            }
        }
        self.send(Event::Ordered { planner, agent, link, number: call.number });
    }

    fn on_look(&mut self, agent: usize, run: u64) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        if one.run != run {
            return;
        }
        let Some(target) = one.state.target() else {
            let Some(target) = one.state.successor_target() else {
                return self.at(50, Event::Look { agent, run });
            };
            let order = Order::Hold { number: 0, lease_end: None, seen: 0, wait: 0 };
            return self.at(1, call_of(agent, run, &target, order));
        };
        let (number, hold) = one.state.next_poll(Duration::from_millis(250), now);
        let wait = hold.wait.as_millis() as u64;
        let order = Order::Hold { number, lease_end: hold.lease_end, seen: hold.seen, wait };
        self.at(1, call_of(agent, run, &target, order));
    }

    /// A call comes to the runner: now and then it is carried out late, or its answer is lost.
    fn on_call(&mut self, event: Event) {
        let Event::Call { agent, run, target, order, is_late, is_connected } = event else {
            return;
        };
        if !is_late && self.has_outages() && run != self.agents[agent].run {
            // The process ended before the call left.
            return;
        }
        if !is_late && !is_connected && self.stands_still_connected(agent, &target, &order) {
            let is_connected = true;
            let call = Event::Call { agent, run, target, order, is_late, is_connected };
            return self.at(0, call);
        }
        let connection = if is_late { None } else { Some(self.connect(agent, &target, &order)) };
        match connection {
            Some(Err(answer @ CallAnswer::OtherInstance)) => {
                return self.at(1, Event::Returned { agent, run, target, order, answer });
            }
            Some(Ok(ref connection)) if self.has_ended(agent, connection.instance()) => {
                let is_broken = true;
                return self.at(1, Event::NoAnswer { agent, run, target, order, is_broken });
            }
            _ => {}
        }
        if !is_late && self.chance(0.03) {
            let delay = self.rng.random_range(1_000..6_000);
            let (late, lost) = (target.clone(), order.clone());
            let late =
                Event::Call { agent, run, target: late, order: lost, is_late: true, is_connected };
            self.at(delay, late);
            let is_broken = false;
            return self.at(600, Event::NoAnswer { agent, run, target, order, is_broken });
        }
        let longer = match (self.has_cuts, self.has_outages()) {
            (true, _) => LONG_RUN,
            (_, true) => self.outage_work(),
            _ => self.longer_work(),
        };
        let due = self.now + longer + self.rng.random_range(100..1_500);
        let is_there = match &connection {
            Some(Ok(connection)) => self.is_taken(connection.instance(), &target.instance),
            Some(Err(_)) => false,
            None => self.is_taken_late(agent, &target.instance),
        };
        let is_refused = is_there && !is_late && self.is_turned_away(agent, &order);
        let places = self.places(agent);
        let (now, audit, life) = (self.now, &mut self.audit, &mut self.agents[agent].life);
        life.places = places;
        let begins = match &order {
            Order::Start { tried, .. } => Some(&tried.key.0) == self.crasher.as_ref() && is_there,
            _ => false,
        };
        let answer = match &order {
            _ if !is_there && life.is_alive => CallAnswer::OtherInstance,
            _ if !is_there => CallAnswer::NotRunning,
            _ if is_refused => CallAnswer::Order(RunnerAnswer::Unwell),
            Order::Start { tried, lease_end } => {
                let key = &tried.key;
                CallAnswer::Order(life.start(key, target.fence, *lease_end, due, now, audit))
            }
            Order::Stop { key, .. } => CallAnswer::Order(life.stop(key, target.fence, now, audit)),
            Order::Hold { lease_end, seen, .. } => {
                CallAnswer::Lists(life.hold(target.fence, *lease_end, *seen, now, audit))
            }
        };
        let life = life.name.clone();
        if let Some(Ok(connection)) = connection {
            self.agents[agent].connections.put(connection);
        }
        if begins && matches!(answer, CallAnswer::Order(RunnerAnswer::Done)) {
            self.at(CRASH_AFTER, Event::Crash { agent, life: target.instance.clone() });
        }
        if is_late {
            if let Order::Start { tried, .. } = &order {
                self.note_late_start(&tried.key);
            }
            return;
        }
        if self.chance(0.02) {
            let is_broken = false;
            return self.at(600, Event::NoAnswer { agent, run, target, order, is_broken });
        }
        let delay = self.rng.random_range(0..8);
        if let (Order::Hold { wait, .. }, CallAnswer::Lists(Some(_)), true) =
            (&order, &answer, self.has_same_ids)
        {
            let until = self.now + delay + wait;
            return self.at(0, Event::HoldEnd { agent, run, target, order, life, until });
        }
        self.at(delay, Event::Returned { agent, run, target, order, answer });
    }

    /// A look is answered when its wait is over; its connection breaks where the life has ended meanwhile.
    fn on_hold_end(&mut self, event: Event) {
        let Event::HoldEnd { agent, run, target, order, life, until } = event else {
            return;
        };
        let now = self.now;
        let present = &self.agents[agent].life;
        if !present.is_alive || present.name != life {
            let is_broken = true;
            return self.at(1, Event::NoAnswer { agent, run, target, order, is_broken });
        }
        if now < until {
            let step = BREAK_SEEN_AFTER.min(until - now);
            return self.at(step, Event::HoldEnd { agent, run, target, order, life, until });
        }
        // The adapter sees that another life has answered than the one that was meant.
        let answer = match life == target.instance {
            true => CallAnswer::Lists(Some(present.lists(now))),
            false => CallAnswer::OtherInstance,
        };
        self.at(1, Event::Returned { agent, run, target, order, answer });
    }

    fn on_returned(
        &mut self,
        agent: usize,
        target: RunnerTarget,
        order: Order,
        answer: CallAnswer,
    ) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        let is_current_target = one.state.is_current_target(&target);
        match (order, answer) {
            (Order::Hold { number: 0, .. }, answer) => {
                // Where a life listens, it answers, be it the one that is meant or another.
                let told = match answer {
                    CallAnswer::Lists(_) => Ok(()),
                    _ if one.life.is_alive => Err(RunnerError::OtherInstance),
                    _ => Err(RunnerError::NotRunning),
                };
                one.state.on_successor_response(&told, now);
                let run = self.agents[agent].run;
                self.at(60, Event::Look { agent, run });
            }
            (Order::Hold { number, .. }, answer) => {
                let pause = match answer {
                    CallAnswer::Lists(Some(lists)) if is_current_target => {
                        one.state.on_poll_response(number, lists, now);
                        if self.has_same_ids { 1 } else { 250 }
                    }
                    CallAnswer::Lists(None) if is_current_target => {
                        one.state.on_fenced();
                        60
                    }
                    CallAnswer::OtherInstance | CallAnswer::NotRunning if is_current_target => {
                        one.state.on_crash(&target.instance, now);
                        60
                    }
                    CallAnswer::Order(RunnerAnswer::Unwell) if is_current_target => {
                        one.state.on_rejected_poll();
                        60
                    }
                    _ => 60,
                };
                let run = one.run;
                self.at(pause, Event::Look { agent, run });
            }
            (order, answer) => self.on_order_answered(agent, target, order, told_of(&answer)),
        }
    }

    fn on_no_response(
        &mut self,
        agent: usize,
        target: RunnerTarget,
        order: Order,
        is_broken: bool,
    ) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        // The client closes idle connections when one of them is silent.
        one.connections.clear();
        let run = one.run;
        let is_current_target = one.state.is_current_target(&target);
        match order {
            Order::Hold { .. } => {
                if is_current_target && one.state.on_no_response(is_broken, now) {
                    let instance = &target.instance;
                    self.trace_note(&format!("agent {agent} takes {instance} for ended"));
                }
                self.at(60, Event::Look { agent, run });
            }
            order => self.on_order_answered(agent, target, order, silence(is_broken)),
        }
    }
}

/// Makes an order valid for the rest of the schedule.
fn extend_lease(order: &mut NodeOrder, link: u64) {
    if let NodeOrder::Start(start) = order {
        start.lease = OrderLease { link, end: Duration::from_millis(OUTAGE_LENGTH) };
    }
}

pub(super) fn call_of(agent: usize, run: u64, target: &RunnerTarget, order: Order) -> Event {
    Event::Call { agent, run, target: target.clone(), order, is_late: false, is_connected: false }
}
