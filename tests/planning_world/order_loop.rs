//! A copy of the loop in which the agent carries orders out: what it decides before a try, on an answer and on none.

use super::*;

/// Pause before an order without an answer is repeated.
const REPEAT_PAUSE: u64 = 30;
/// Pause between two looks whether there is a lease.
const LEASE_POLL: u64 = 15;

/// A start that the agent tries until it is answered.
#[derive(Clone, Debug)]
pub(super) struct StartTry {
    pub(super) key: RunKey,
    pub(super) room: RoomAmount,
    /// When its order came.
    pub(super) since: u64,
    pub(super) is_sent: bool,
}

impl PlanningWorld {
    /// Decides whether a start is sent, waits, or is over.
    pub(super) fn on_try(&mut self, agent: usize, run: u64, target: RunnerTarget, tried: StartTry) {
        let now = self.agent_instant(agent);
        let one = &mut self.agents[agent];
        if one.run != run || !one.state.is_target(&target) {
            return;
        }
        let key = tried.key.clone();
        if one.state.runs.is_stopping(&key) {
            return one.state.runs.settle_start(&key, None);
        }
        if one.state.is_draining() {
            return one.state.runs.settle_start(&key, Some(RejectReason::Leaving));
        }
        // Worlds without refusals play what they always played.
        let asks_room = self.has_refusals && !tried.is_sent;
        if asks_room && !one.state.has_room(&key, &tried.room) {
            return one.state.runs.settle_start(&key, Some(RejectReason::Room));
        }
        match (one.state.may_start(now), one.state.lease_end()) {
            (Some(true), Some(lease_end)) => {
                one.state.on_lease_sent();
                let order = Order::Start { tried, lease_end };
                self.await_slot(0, agent, run, target, order);
            }
            _ if self.now - tried.since > START_LIMIT => {
                let order = Order::Stop { key, is_late: true };
                self.await_slot(0, agent, run, target, order);
            }
            _ => self.at(LEASE_POLL, Event::Try { agent, run, target, tried }),
        }
    }

    /// Decides what an answer to a start or a stop says of the run.
    pub(super) fn on_order_returned(
        &mut self,
        agent: usize,
        target: RunnerTarget,
        order: Order,
        answer: CallAnswer,
    ) {
        let one = &mut self.agents[agent];
        if !one.state.is_target(&target) {
            return;
        }
        match order {
            Order::Start { tried, .. } => {
                let told = told_of(&answer);
                one.state.on_start_answer(&tried.key, &told);
                if self.has_refusals && matches!(told, Err(RunnerError::NotRunning)) {
                    return self.try_again(agent, target, tried);
                }
                let refused = match told {
                    Err(RunnerError::Rejected { reason }) => Some(reason),
                    _ => None,
                };
                one.state.runs.settle_start(&tried.key, refused);
            }
            Order::Stop { key, is_late: true } => {
                one.state.runs.settle_start(&key, Some(RejectReason::Late));
            }
            Order::Stop { key, is_late: false } => one.state.runs.settle_stop(&key),
            Order::Hold { .. } => {}
        }
    }

    /// Decides what follows a start or a stop without an answer.
    pub(super) fn on_order_unanswered(&mut self, agent: usize, target: RunnerTarget, order: Order) {
        let one = &self.agents[agent];
        let run = one.run;
        match order {
            Order::Start { tried, .. } => self.try_again(agent, target, tried),
            Order::Stop { .. } if one.state.is_target(&target) => {
                self.await_slot(REPEAT_PAUSE, agent, run, target, order);
            }
            Order::Stop { .. } | Order::Hold { .. } => {}
        }
    }

    fn try_again(&mut self, agent: usize, target: RunnerTarget, tried: StartTry) {
        let run = self.agents[agent].run;
        let tried = StartTry { is_sent: true, ..tried };
        self.at(REPEAT_PAUSE, Event::Try { agent, run, target, tried });
    }

    /// An order waits for a slot, and leaves then whatever has become known meanwhile.
    pub(super) fn await_slot(
        &mut self,
        pause: u64,
        agent: usize,
        run: u64,
        target: RunnerTarget,
        order: Order,
    ) {
        match self.slot_wait() {
            0 => self.leave(pause, agent, run, target, order),
            wait => self.at(pause + wait, Event::Slot { agent, run, target, order }),
        }
    }

    /// An order has its slot.
    pub(super) fn on_slot(&mut self, agent: usize, run: u64, target: RunnerTarget, order: Order) {
        if self.agents[agent].run == run {
            self.leave(0, agent, run, target, order);
        }
    }

    fn leave(&mut self, pause: u64, agent: usize, run: u64, target: RunnerTarget, order: Order) {
        let now = self.agent_instant(agent);
        if let Order::Start { tried, .. } = &order {
            self.agents[agent].state.on_start_sent(&tried.key, now);
        }
        self.at(pause, Event::Call { agent, run, target, order, is_late: false });
    }
}

/// What the adapter tells of an answer to an order.
fn told_of(answer: &CallAnswer) -> Result<(), RunnerError> {
    let reason = match answer {
        CallAnswer::Order(RunnerAnswer::Done) => return Ok(()),
        CallAnswer::Order(RunnerAnswer::Fenced) => return Err(RunnerError::Fenced),
        CallAnswer::NotRunning => return Err(RunnerError::NotRunning),
        CallAnswer::OtherLife | CallAnswer::Lists(_) => return Err(RunnerError::OtherLife),
        CallAnswer::Order(RunnerAnswer::Old) => RejectReason::Old,
        CallAnswer::Order(RunnerAnswer::Late) => RejectReason::Late,
        CallAnswer::Order(RunnerAnswer::Room) => RejectReason::Room,
        CallAnswer::Order(RunnerAnswer::Unwell) => RejectReason::Unwell,
    };
    Err(RunnerError::Rejected { reason })
}
