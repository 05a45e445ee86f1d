//! The loops in which an agent carries orders out. What is done next is the agent's own decision; here it waits, leaves and is answered.

use super::*;

/// Pause before a stop that was not taken is sent again.
const STOP_PAUSE: u64 = 30;

/// A start that the agent tries.
#[derive(Clone, Debug)]
pub(super) struct StartTry {
    pub(super) key: RunKey,
    pub(super) room: ResourceVector,
}

/// An order that waits for its turn.
#[derive(Clone, Debug)]
pub(super) enum QueuedOrder {
    Start(StartTry),
    Stop(RunKey),
}

impl PlanningWorld {
    /// Does what has to be done next about a start.
    pub(super) fn on_try(&mut self, agent: usize, run: u64, target: RunnerTarget, tried: StartTry) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        if one.run != run {
            return;
        }
        match one.state.next_step(&target, &tried.key, &tried.room, now) {
            StartStep::Send => {
                self.pause_before_call(agent);
                self.await_slot(agent, run, target, QueuedOrder::Start(tried));
            }
            StartStep::Wait(pause) => {
                let pause = (pause.as_millis() as u64).max(1);
                self.at(pause, Event::Try { agent, run, target, tried });
            }
            StartStep::Stop(_) => {
                self.await_slot(agent, run, target, QueuedOrder::Stop(tried.key));
            }
            StartStep::Finished(_) => {}
        }
    }

    /// An order waits for a slot, and leaves then if it still has to.
    pub(super) fn await_slot(
        &mut self,
        agent: usize,
        run: u64,
        target: RunnerTarget,
        queued: QueuedOrder,
    ) {
        match self.slot_wait() {
            0 => self.on_slot(agent, run, target, queued),
            wait => self.at(wait, Event::Slot { agent, run, target, queued }),
        }
    }

    /// An order has its slot.
    pub(super) fn on_slot(
        &mut self,
        agent: usize,
        run: u64,
        target: RunnerTarget,
        queued: QueuedOrder,
    ) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        if one.run != run {
            return;
        }
        match queued {
            QueuedOrder::Start(tried) => {
                match one.state.begin_attempt(&target, &tried.key, &tried.room, now) {
                    Some(lease_end) => {
                        self.pause_before_call(agent);
                        let order = Order::Start { tried, lease_end };
                        self.at(0, call_of(agent, run, &target, order));
                    }
                    None => self.at(0, Event::Try { agent, run, target, tried }),
                }
            }
            QueuedOrder::Stop(key) => {
                if let Some(due) = one.state.stop_target(&target, &key) {
                    self.at(0, call_of(agent, run, &due, Order::Stop { key }));
                }
            }
        }
    }

    /// An order was answered, or will not be.
    pub(super) fn on_order_answered(
        &mut self,
        agent: usize,
        target: RunnerTarget,
        order: Order,
        told: Result<(), RunnerError>,
    ) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        let run = one.run;
        match order {
            Order::Start { tried, .. } => {
                one.state.on_start_response(&target, &tried.key, &told, now);
                self.at(0, Event::Try { agent, run, target, tried });
            }
            Order::Stop { key } => {
                one.state.on_stop_response(&target, &key, &told);
                if told.is_err() {
                    let queued = QueuedOrder::Stop(key);
                    self.at(STOP_PAUSE, Event::Slot { agent, run, target, queued });
                }
            }
            Order::Hold { .. } => {}
        }
    }
}

/// What the adapter tells of an answer to an order.
pub(super) fn told_of(answer: &CallAnswer) -> Result<(), RunnerError> {
    let reason = match answer {
        CallAnswer::Order(RunnerAnswer::Done) => return Ok(()),
        CallAnswer::Order(RunnerAnswer::Fenced) => return Err(RunnerError::Fenced),
        CallAnswer::NotRunning => return Err(RunnerError::NotRunning),
        CallAnswer::OtherInstance | CallAnswer::Lists(_) => return Err(RunnerError::OtherInstance),
        CallAnswer::Order(RunnerAnswer::Old) => RejectReason::Old,
        CallAnswer::Order(RunnerAnswer::Late) => RejectReason::Late,
        CallAnswer::Order(RunnerAnswer::Room) => RejectReason::Room,
        CallAnswer::Order(RunnerAnswer::Unwell) => RejectReason::Unwell,
    };
    Err(RunnerError::Rejected { reason })
}

/// What the adapter tells of an order without an answer.
pub(super) fn silence(is_broken: bool) -> Result<(), RunnerError> {
    Err(RunnerError::NoAnswer { is_broken, reason: String::new() })
}
