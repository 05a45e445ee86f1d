//! Runs requests on this host's endpoints.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Response;
use reqwest::header::CONTENT_TYPE;
use tokio::sync::watch;

use crate::connection::announcement::SlotUse;
use crate::connection::protocol::DispatchOrder;
use crate::connection::protocol::DispatchReply;
use crate::connection::protocol::SettleQuery;
use crate::ids::LeaseEpoch;
use crate::ids::RequestId;
use crate::process::agent::shared::AgentShared;
use crate::process::clock;
use crate::request::outcome::EndpointResponse;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;
use crate::request::outcome::body_digest;
use crate::request::request_id::expiry_time;
use crate::request::request_id::id_time;
use crate::request::request_journal::JournalDecision;
use crate::request::request_journal::SettleAnswer;

/// Header that tells the endpoint how long the request is worth running, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Time beyond the deadline for which the endpoint's slot is held for its answer.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Runs a request, or gives the outcome it already has here.
pub async fn dispatch(shared: Arc<AgentShared>, order: DispatchOrder) -> DispatchReply {
    let endpoint = order.endpoint.clone();
    // A task of its own: when the entry hangs up, the request and its record must go on.
    let run = tokio::spawn(dispatch_once(shared.clone(), order));
    let outcome = run.await.unwrap_or(RequestOutcome::Unknown(UnknownReason::AnswerLost));
    let load = shared.endpoints().load_of(&endpoint);
    DispatchReply { outcome, load }
}

async fn dispatch_once(shared: Arc<AgentShared>, order: DispatchOrder) -> RequestOutcome {
    if let Some(reason) = refusal(&shared, &order) {
        return RequestOutcome::not_run(reason);
    }
    if order.request.idempotent {
        return run_on_endpoint(&shared, &order).await;
    }
    let id = order.request.id;
    let Some(time) = id_time(&id) else {
        return RequestOutcome::not_run(NotRunReason::IdInFuture);
    };
    let window = order.window.max(shared.window_of(&order.request.service));
    match begin(&shared, id, order.epoch, expiry_time(time, window)) {
        Begun::Ended(outcome) => outcome,
        Begun::Wait(receiver) => await_running(receiver, order.request.time_left).await,
        Begun::Run(sender) => {
            let outcome = run_on_endpoint(&shared, &order).await;
            {
                let mut journal = shared.journal();
                journal.end(id, &outcome);
                shared.running().remove(&id);
            }
            // Nobody may be waiting.
            let _ = sender.send(Some(outcome.clone()));
            outcome
        }
    }
}

/// What becomes of an order that is not refused.
enum Begun {
    /// It is run, and its outcome is sent here.
    Run(watch::Sender<Option<RequestOutcome>>),
    /// It is being run, and its outcome comes here.
    Wait(watch::Receiver<Option<RequestOutcome>>),
    /// It has this outcome.
    Ended(RequestOutcome),
}

/// Looks an order up in the journal. The outcome to come is found and left under the journal's
/// lock, so that nobody who is told to wait comes too late for it.
fn begin(shared: &AgentShared, id: RequestId, epoch: LeaseEpoch, expires_at: Duration) -> Begun {
    let mut journal = shared.journal();
    match journal.begin(id, epoch, expires_at) {
        JournalDecision::Ended(outcome) => Begun::Ended(outcome),
        JournalDecision::Refuse => Begun::Ended(RequestOutcome::not_run(NotRunReason::Tombstoned)),
        JournalDecision::Run => {
            let (sender, receiver) = watch::channel(None);
            shared.running().insert(id, receiver);
            Begun::Run(sender)
        }
        JournalDecision::Wait => match shared.running().get(&id) {
            Some(receiver) => Begun::Wait(receiver.clone()),
            None => Begun::Ended(RequestOutcome::Unknown(UnknownReason::AnswerLost)),
        },
    }
}

/// Why an order must not be carried out, if so.
fn refusal(shared: &AgentShared, order: &DispatchOrder) -> Option<NotRunReason> {
    if order.incarnation != shared.incarnation {
        return Some(NotRunReason::StaleIncarnation);
    }
    if shared.is_draining() {
        return Some(NotRunReason::Draining);
    }
    if body_digest(&order.request.body) != order.request.digest {
        return Some(NotRunReason::BrokenBody);
    }
    // A later owner of the id asks the agents that hold the workers' leases.
    if !order.request.idempotent && shared.acts_until(clock::now()).is_none() {
        return Some(NotRunReason::AgentNotReady);
    }
    None
}

async fn await_running(
    mut receiver: watch::Receiver<Option<RequestOutcome>>,
    time_left: Duration,
) -> RequestOutcome {
    let lost = RequestOutcome::Unknown(UnknownReason::DeadlinePassed);
    let wait = receiver.wait_for(Option::is_some);
    match tokio::time::timeout(time_left, wait).await {
        Ok(Ok(outcome)) => outcome.clone().unwrap_or(lost),
        Ok(Err(_)) | Err(_) => lost,
    }
}

async fn run_on_endpoint(shared: &AgentShared, order: &DispatchOrder) -> RequestOutcome {
    let service = &order.request.service;
    let is_adaptive = shared.is_limit_adaptive(service);
    let started = clock::now();
    let taken = shared.endpoints().take_slot(&order.endpoint, is_adaptive, started);
    let target = match taken {
        Ok(target) => target,
        Err(reason) => return RequestOutcome::not_run(reason),
    };
    let outcome = call_endpoint(shared, order, &target.address).await;
    let now = clock::now();
    let answered = is_good(&outcome).then_some(now - started);
    let ended = SlotUse { in_flight: target.in_flight, response_time: answered };
    shared.endpoints().release_slot(&order.endpoint, ended, now);
    if let Some(time) = answered {
        shared.observer().on_answer(service, time, now);
    }
    outcome
}

fn is_good(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Answered(answer) if answer.status < 500)
}

async fn call_endpoint(
    shared: &AgentShared,
    order: &DispatchOrder,
    address: &str,
) -> RequestOutcome {
    let request = &order.request;
    let call = shared.http.post(format!("http://{address}/"));
    let call = call.header(CONTENT_TYPE, request.content_type.clone());
    let call = call.header(REQUEST_ID_HEADER, request.id.to_string());
    let call = call.header(DEADLINE_HEADER, request.time_left.as_millis().to_string());
    let call = call.timeout(request.time_left + ANSWER_GRACE).body(request.body.clone());
    match call.send().await {
        Ok(response) => read_answer(response).await,
        // Without a connection nothing was sent.
        Err(error) if error.is_connect() => RequestOutcome::not_run(NotRunReason::ConnectFailed),
        Err(error) if error.is_timeout() => RequestOutcome::Unknown(UnknownReason::DeadlinePassed),
        Err(_) => RequestOutcome::Unknown(UnknownReason::AnswerLost),
    }
}

/// Reads the whole answer; one that breaks off is an error of the HTTP library.
async fn read_answer(response: Response) -> RequestOutcome {
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let content_type = content_type.to_string();
    match response.bytes().await {
        Ok(body) => {
            RequestOutcome::Answered(EndpointResponse::new(status, content_type, body.to_vec()))
        }
        Err(_) => RequestOutcome::Unknown(UnknownReason::AnswerLost),
    }
}

/// Answers a new owner's question about an id.
pub fn settle(shared: &AgentShared, question: &SettleQuery) -> SettleAnswer {
    let Some(time) = id_time(&question.id) else {
        return SettleAnswer::CannotTell;
    };
    if !shared.is_journal_ready() {
        return SettleAnswer::NotReady;
    }
    let expires_at = expiry_time(time, question.window);
    shared.journal().settle(question.id, question.epoch, time, expires_at)
}
