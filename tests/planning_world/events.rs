//! What each event does: planners and their links, agents, runners.

use super::outages::FAILED_CONNECT;
use super::*;

impl PlanningWorld {
    pub(super) fn handle(&mut self, event: Event) {
        let Some(event) = self.postpone(event) else {
            return;
        };
        self.trace(&event);
        match event {
            Event::Plan(planner) => self.on_plan(planner),
            Event::Commit { planner, number, sent } => self.on_commit(planner, number, sent),
            Event::Committed { planner, number, fate } => self.on_committed(planner, number, fate),
            Event::Repeat { planner, number } => self.repeat(planner, number),
            Event::News { planner, job } => self.on_news(planner, &job),
            Event::Relink { planner, agent } => self.on_relink(planner, agent),
            Event::Deadline { planner, agent, link, exchange } => {
                let known = &self.planners[planner].links[agent];
                if known.number == link && known.exchange == exchange {
                    self.break_link(planner, agent);
                }
            }
            Event::OrderDeadline { planner, agent, link, number } => {
                let known = &self.planners[planner].links[agent];
                if known.number == link && known.unanswered.contains(&number) {
                    self.break_link(planner, agent);
                }
            }
            Event::Ordered { planner, agent, link, number } => {
                let known = &mut self.planners[planner].links[agent];
                if known.number == link {
                    known.unanswered.retain(|one| *one != number);
                }
            }
            Event::Answer { planner, agent, link, report } => {
                self.on_answer(planner, agent, link, report);
            }
            Event::Submit(number) => self.on_submit(number),
            Event::Cancel { job } => self.on_cancel(&job),
            Event::SilentFeed => self.on_silent_feed(),
            Event::ReadJobs { planner } => self.on_read_jobs(planner),
            Event::JobsConfirmed { planner, confirmed_at } => {
                self.on_jobs_confirmed(planner, confirmed_at);
            }
            Event::Fault => self.on_fault(),
            Event::Evacuate => self.on_evacuate(),
            Event::ReadRequests { planner } => self.on_read_requests(planner),
            Event::RequestsRead { planner, sent, requested } => {
                self.on_requests_read(planner, sent, requested);
            }
            Event::Unwell => self.on_unwell(),
            Event::Watch => self.on_watch(),
            Event::Depart { planner, message } => self.on_depart(planner, *message),
            Event::CutEnd { agent } => self.on_cut_end(agent),
            Event::Takeover => self.on_takeover(),
            Event::Pass { agent } => {
                let fails = |key: &RunKey| (key.0.index + key.0.step + 3 * key.1) % 7 == 5;
                self.agents[agent].life.pass(self.now, fails, &mut self.audit);
                self.at(20, Event::Pass { agent });
            }
            Event::Crash { agent, life } => self.on_crash(agent, &life),
            Event::Back { agent, life } => {
                if self.agents[agent].life.name == life {
                    self.renew_runner(agent);
                }
            }
            event => self.at_agent(event),
        }
    }

    fn on_plan(&mut self, planner: usize) {
        let now = self.planner_instant(planner);
        let process = &mut self.planners[planner];
        if !process.is_alive {
            return;
        }
        let delay = process.paused_until.saturating_sub(self.now);
        if delay == 0 {
            process.planner.set_time(now, WALL + self.now);
            process.planner.on_tick();
            self.flush(planner);
        }
        self.at(delay.max(100), Event::Plan(planner));
    }

    /// Plans, starts the next write, and sends what may be sent.
    pub(super) fn flush(&mut self, planner: usize) {
        let now = self.planner_instant(planner);
        let is_heartbeat_due = self.is_heartbeat_due(planner);
        let process = &mut self.planners[planner];
        if !process.is_alive || process.paused_until > self.now {
            return;
        }
        process.planner.set_time(now, WALL + self.now);
        process.planner.plan();
        if process.write.is_none()
            && let Some(batch) =
                process.planner.take_batch().or(is_heartbeat_due.then(PlanBatch::default))
        {
            process.writes += 1;
            let number = process.writes;
            process.write = Some((number, batch));
            self.repeat(planner, number);
        }
        self.send_orders(planner);
    }

    fn repeat(&mut self, planner: usize, number: u64) {
        let process = &self.planners[planner];
        let is_awaited = process.write.as_ref().is_some_and(|(known, _)| *known == number);
        if is_awaited && process.is_alive {
            let sent = self.now.saturating_sub(process.lag);
            self.send(Event::Commit { planner, number, sent });
            self.at(300, Event::Repeat { planner, number });
        }
    }

    fn send_orders(&mut self, planner: usize) {
        let process = &mut self.planners[planner];
        let mut parcels: BTreeMap<String, Vec<NodeOrder>> = BTreeMap::new();
        for (instance, order) in process.planner.take_orders() {
            parcels.entry(instance).or_default().push(order);
        }
        for (instance, orders) in parcels {
            let agent: usize = instance.split('-').next().unwrap().parse().unwrap();
            let process = &mut self.planners[planner];
            let Some(number) = process.planner.assign_order_number(&instance, &orders) else {
                continue;
            };
            let epoch = process.epoch;
            let link = &mut process.links[agent];
            if !link.is_up {
                continue;
            }
            let previous = std::mem::replace(&mut link.last_sent, number);
            let stamp = LinkStamp { epoch, link: link.number };
            link.unanswered.push(number);
            let (link, run) = (link.number, link.agent_run);
            let call = OrderCall { stamp, instance, number, previous, orders };
            self.hand_over(planner, Event::Orders { planner, agent, run, link, call });
            self.at(ORDER_LIMIT, Event::OrderDeadline { planner, agent, link, number });
        }
    }

    fn on_news(&mut self, planner: usize, job: &str) {
        let process = &mut self.planners[planner];
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            return self.at(delay, Event::News { planner, job: job.to_string() });
        }
        if let Some((version, record)) = self.records.get(job).filter(|_| process.is_alive) {
            process.planner.on_record(job, *version, record.clone());
            self.flush(planner);
        }
    }

    pub(super) fn break_link(&mut self, planner: usize, agent: usize) {
        let process = &mut self.planners[planner];
        if process.is_alive {
            process.links[agent].number += 1;
            process.links[agent].is_up = false;
            self.at(150, Event::Relink { planner, agent });
        }
    }

    fn on_relink(&mut self, planner: usize, agent: usize) {
        let is_cut_off = self.is_cut_off(planner, agent);
        let has_outages = self.has_outages();
        let process = &mut self.planners[planner];
        if has_outages && process.links[agent].is_up {
            return;
        }
        if is_cut_off {
            process.links[agent].number += 1;
            return self.at(FAILED_CONNECT, Event::Relink { planner, agent });
        }
        let stamp = LinkStamp { epoch: process.epoch, link: process.links[agent].number };
        let link = &mut process.links[agent];
        link.agent_run = self.agents[agent].run;
        link.last_sent = 0;
        link.is_new = true;
        link.is_up = true;
        link.unanswered.clear();
        let call = SyncCall {
            stamp,
            grant: None,
            instance: None,
            last_acked_end: 0,
            wait: Duration::ZERO,
        };
        self.sync(planner, agent, call);
    }

    fn sync(&mut self, planner: usize, agent: usize, call: SyncCall) {
        let link = &mut self.planners[planner].links[agent];
        link.exchange += 1;
        let (link, run, exchange) = (link.number, link.agent_run, link.exchange);
        self.hand_over(planner, Event::Sync { planner, agent, run, link, call });
        self.at(SYNC_LIMIT, Event::Deadline { planner, agent, link, exchange });
    }

    fn on_answer(
        &mut self,
        planner: usize,
        agent: usize,
        link: u64,
        report: Result<NodeReport, LinkStamp>,
    ) {
        let now = self.planner_instant(planner);
        let valid = self.order_validity(lease_duration(self.planners[planner].proof, now));
        let process = &mut self.planners[planner];
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            return self.at(delay, Event::Answer { planner, agent, link, report });
        }
        if !process.is_alive || process.links[agent].number != link {
            return;
        }
        let report = match report {
            Ok(report) => report,
            Err(newest) if newest.epoch > process.epoch => {
                process.is_alive = false;
                return;
            }
            Err(_) => return self.break_link(planner, agent),
        };
        let is_new = process.links[agent].is_new;
        process.links[agent].is_new &= report.runner.is_none();
        process.planner.set_time(now, WALL + self.now);
        let instance = report.runner.as_ref().map(|runner| runner.instance.clone());
        let ends =
            report.snapshot.as_ref().and_then(|look| look.ended.last()).map(|end| end.number);
        let since = report.now;
        let mut call = SyncCall {
            stamp: LinkStamp { epoch: process.epoch, link },
            grant: None,
            instance: instance.clone(),
            last_acked_end: 0,
            wait: Duration::from_millis(400),
        };
        if let Some(instance) = instance {
            let span = lease_duration(process.proof, now);
            let known_end = match self.missing {
                Missing::LeaseWait => now,
                _ => expired_by(now, span),
            };
            let granted = OrderLease { link, end: since + valid };
            process.planner.on_grant(&instance, known_end, (granted, now + valid));
            call.grant = Some(LeaseGrant { since, span });
            call.last_acked_end = process.planner.last_acked_end(&instance);
            if self.missing == Missing::StoredBeforeSeen {
                call.last_acked_end = ends.unwrap_or(0).max(call.last_acked_end);
            }
        }
        // The link grants before the planner's loop takes the report in.
        process.planner.on_report(report, is_new);
        self.sync(planner, agent, call);
        self.flush(planner);
    }
}
