//! What is wrong with a runner: orders that are late, answers that are lost, calls that are refused.

use std::time::Duration;

use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;

use crate::platform_runner::PlatformRunner;
use crate::platform_runner::calls::HANG;

/// The calls that look at a runner; all others are orders.
const LOOK: &str = "/-/hold";

/// Calls that an unwell runner refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedCalls {
    /// All.
    All,
    /// All but one of so many, which is let through.
    AllButEvery(u32),
    /// Starts, stops and paces; looks are answered.
    Orders,
}

/// How a runner refuses calls, of which it then does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerRefusal {
    /// Which calls.
    pub calls: RefusedCalls,
    /// The answer.
    pub status: StatusCode,
}

impl RunnerRefusal {
    /// Refuses these calls with 503.
    pub fn unavailable(calls: RefusedCalls) -> RunnerRefusal {
        RunnerRefusal { calls, status: StatusCode::SERVICE_UNAVAILABLE }
    }

    /// Refuses these calls with 429.
    pub fn busy(calls: RefusedCalls) -> RunnerRefusal {
        RunnerRefusal { calls, status: StatusCode::TOO_MANY_REQUESTS }
    }
}

/// The faults of one life.
#[derive(Default)]
pub(super) struct RunnerFaults {
    /// Orders whose answers are yet to be lost.
    pub lost_answers: u32,
    /// Orders that get no answer and are carried out after this time.
    pub late_orders: Option<Duration>,
    /// Whether looks get no answer.
    pub leaves_looks_unanswered: bool,
    refusal: Option<RunnerRefusal>,
    /// Calls since it began to refuse.
    calls: u32,
}

impl RunnerFaults {
    /// Refuses calls from now on, or no more.
    pub fn refuse(&mut self, refusal: Option<RunnerRefusal>) {
        self.refusal = refusal;
        self.calls = 0;
    }

    /// Whether the answer to an order that has just been carried out is lost.
    pub fn loses_answer(&mut self) -> bool {
        let is_lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        is_lost
    }

    /// The answer to a call that is refused.
    fn refusal_of(&mut self, is_look: bool) -> Option<StatusCode> {
        let refusal = self.refusal?;
        self.calls += 1;
        let is_refused = match refusal.calls {
            RefusedCalls::All => true,
            RefusedCalls::AllButEvery(count) => !self.calls.is_multiple_of(count),
            RefusedCalls::Orders => !is_look,
        };
        is_refused.then_some(refusal.status)
    }
}

impl PlatformRunner {
    /// Waits as long as orders are held up. Whether the caller gets an answer.
    pub(super) async fn hold_up(&self) -> bool {
        let delay = self.lock().faults.late_orders;
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        delay.is_none()
    }
}

/// Refuses a call before anything is done, if the runner is unwell. A life that is over says so in place of this.
pub(super) async fn turn_away(
    State(runner): State<PlatformRunner>,
    call: Request,
    next: Next,
) -> Response {
    let is_look = call.uri().path() == LOOK;
    let (refusal, is_unanswered) = {
        let mut life = runner.lock();
        match life.is_over {
            true => (None, false),
            false => {
                let is_unanswered = is_look && life.faults.leaves_looks_unanswered;
                (life.faults.refusal_of(is_look), is_unanswered)
            }
        }
    };
    if is_unanswered {
        tokio::time::sleep(HANG).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match refusal {
        Some(status) => status.into_response(),
        None => next.run(call).await,
    }
}
