//! Prints the history of one task, to find out how a schedule breaks a promise: `GGA_TRACE_TASK=00.0.0.0`, one seed.

use super::*;

impl PlanningWorld {
    /// Prints an event that concerns the traced task.
    pub(super) fn trace(&self, event: &Event) {
        let Ok(task) = std::env::var("GGA_TRACE_TASK") else {
            return;
        };
        if let Some(line) = self.trace_line(event, &task) {
            eprintln!("{:>6} {line}", self.now);
        }
    }

    /// Prints what the planners have just decided about the traced task.
    pub(super) fn trace_decisions(&mut self) {
        let Ok(task) = std::env::var("GGA_TRACE_TASK") else {
            return;
        };
        let name = format!("{:?}", task.parse::<TaskName>().unwrap());
        for (number, process) in self.planners.iter_mut().enumerate() {
            let decisions = process.planner.take_decisions();
            let texts = decisions.iter().map(|decision| format!("{decision:?}"));
            let is_shown = |text: &String| {
                ["Crashed", "WorkerLost", &name].iter().any(|part| text.contains(part))
            };
            for text in texts.filter(is_shown) {
                eprintln!("{:>6} planner {number}: {text}", self.now);
            }
        }
    }

    /// Prints what is no event.
    pub(super) fn trace_note(&self, note: &str) {
        if std::env::var("GGA_TRACE_TASK").is_ok() {
            eprintln!("{:>6} {note}", self.now);
        }
    }

    /// Prints the runs of the traced task as they really were.
    pub(super) fn trace_runs(&self) {
        let Ok(task) = std::env::var("GGA_TRACE_TASK") else {
            return;
        };
        for record in self.audit.records.iter().filter(|one| one.key.0.to_string() == task) {
            let (run, life, ended) = (record.key.1, &record.life, record.ended);
            eprintln!("       run #{run} on {life}: began {}, ended {ended:?}", record.began);
        }
    }

    fn trace_line(&self, event: &Event, task: &str) -> Option<String> {
        let line = match event {
            Event::Call { agent, target, order, is_late, .. } => {
                let what = order_text(order, task)?;
                let when = if *is_late { "late" } else { "sent" };
                let life = &self.agents[*agent].life;
                format!(
                    "{when}: {what} for {} at {}, up: {}",
                    target.instance, life.name, life.is_alive
                )
            }
            Event::Returned { target, order, answer, .. } => {
                let what = order_text(order, task)?;
                format!("answered: {what} for {}: {answer:?}", target.instance)
            }
            Event::NoAnswer { target, order, .. } => {
                format!("not answered: {} for {}", order_text(order, task)?, target.instance)
            }
            Event::Answer { planner, agent, report: Ok(report), .. } => {
                report_text(*planner, *agent, report, task)?
            }
            Event::Orders { planner, agent, call, .. } => {
                let orders = call.orders.iter().filter(|order| match order {
                    NodeOrder::Start(start) => start.traits.task.to_string() == task,
                    NodeOrder::Stop(name, _) => name.to_string() == task,
                    NodeOrder::Describe(_) => false,
                });
                let orders: Vec<&NodeOrder> = orders.collect();
                if orders.is_empty() {
                    return None;
                }
                let is_stop = matches!(orders[0], NodeOrder::Stop(..));
                format!(
                    "planner {planner} orders agent {agent} for {}: stop {is_stop}, under {:?}, admitted at {:?}",
                    call.instance,
                    call.stamp,
                    self.agents[*agent].state.newest_stamp()
                )
            }
            Event::Back { agent, life } => format!("runner {agent} starts again after {life}"),
            Event::Fault => self.state_text(),
            Event::Takeover => "takeover".to_string(),
            Event::Depart { planner, message } => {
                format!("planner {planner} hands over: {}", self.trace_line(message, task)?)
            }
            Event::CutEnd { agent } => format!("agent {agent} is reached again"),
            _ => return None,
        };
        Some(line)
    }

    fn state_text(&self) -> String {
        let agents = self.agents.iter().map(|agent| {
            let pause = agent.paused_until.saturating_sub(self.now);
            format!(
                "{} up: {}, agent run {}, paused {pause}",
                agent.life.name, agent.life.is_alive, agent.run
            )
        });
        let agents: Vec<String> = agents.collect();
        format!("state before a fault: epoch {}; {}", self.owner_epoch, agents.join("; "))
    }
}

fn order_text(order: &Order, task: &str) -> Option<String> {
    let (kind, key) = match order {
        Order::Start { tried, .. } => ("start", &tried.key),
        Order::Stop { key } => ("stop", key),
        Order::Hold { seen, .. } if *seen > 0 => {
            return Some(format!("hold that acknowledges {seen}"));
        }
        Order::Hold { .. } => return None,
    };
    (key.0.to_string() == task).then(|| format!("{kind} {}#{}", key.0, key.1))
}

fn report_text(planner: usize, agent: usize, report: &NodeReport, task: &str) -> Option<String> {
    let snapshot = report.snapshot.as_ref()?;
    let present = snapshot.present.iter().filter(|run| run.task.to_string() == task);
    let present = present.map(|run| format!("#{} runs", run.run));
    let ended = snapshot.ended.iter().filter(|run| run.task.to_string() == task);
    let ended = ended.map(|run| format!("#{} {:?}", run.run, run.end));
    let unsettled = report.unsettled.iter().filter(|key| key.0.to_string() == task);
    let unsettled = unsettled.map(|key| format!("#{} unsettled", key.1));
    let in_doubt = report.in_doubt.iter().filter(|start| start.key.0.to_string() == task);
    let in_doubt =
        in_doubt.map(|start| format!("#{} in doubt for {:?}", start.key.1, start.remaining));
    let shown: Vec<String> = present.chain(ended).chain(unsettled).chain(in_doubt).collect();
    let instance = report.runner.as_ref().map(|runner| runner.instance.as_str());
    (!shown.is_empty()).then(|| {
        format!("agent {agent} tells planner {planner} of {instance:?}: {}", shown.join(", "))
    })
}
