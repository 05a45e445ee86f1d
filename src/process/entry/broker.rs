//! The path of a request through an entry: ownership of its id, slot, dispatch, retry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::connection::cluster_map::partition_of_request;
use crate::connection::cluster_view::ActingRight;
use crate::connection::lease::FIRST_EPOCH;
use crate::connection::protocol::AgentRpcClient;
use crate::connection::protocol::DispatchOrder;
use crate::connection::protocol::RequestTrace;
use crate::connection::protocol::ServiceRequest;
use crate::connection::protocol::TracedOutcome;
use crate::connection::rpc_client::call_within;
use crate::ids::LeaseEpoch;
use crate::ids::RequestId;
use crate::process::clock;
use crate::process::entry::ledger_desk::DeskVerdict;
use crate::process::entry::settlement::settle;
use crate::process::entry::shared::EntryShared;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;
use crate::request::pool_endpoint::EndpointKey;
use crate::request::pool_endpoint::EndpointLoad;
use crate::request::pool_endpoint::SlotResult;
use crate::request::request_id::IdAge;
use crate::request::request_id::MAX_CLOCK_SKEW;
use crate::request::request_id::expiry_time;
use crate::request::request_id::id_age;
use crate::request::request_id::id_time;
use crate::request::request_id::id_window;
use crate::request::service_pool::SlotDecision;
use crate::version::document::ServiceDocument;

/// Time beyond a deadline for which an answer is still waited for, so that the slot's state is known.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Pause before ownership of a partition is looked at again.
const OWNER_PAUSE: Duration = Duration::from_millis(50);
/// Tries to make an id of an own partition; with three entries one in three fits.
const ID_TRIES: usize = 1_000;
/// When to come back after all tries were refused.
const TRIES_PAUSE: Duration = Duration::from_millis(100);
/// Endpoints tried for one request at most.
const LARGEST_TRIES: usize = 8;
/// Runs a request that a caller sent to this entry.
pub async fn run(shared: Arc<EntryShared>, request: ServiceRequest) -> TracedOutcome {
    if request.idempotent {
        return run_idempotent(&shared, request).await;
    }
    let started = clock::now();
    let deadline = started + request.time_left;
    loop {
        let ended = run_or_forward(&shared, &request, deadline).await;
        if !is_between_owners(&ended.outcome) || !may_wait(&shared, started, deadline) {
            return ended;
        }
        tokio::time::sleep(OWNER_PAUSE).await;
    }
}

/// Whether a request was refused because its partition has no acting owner at present.
fn is_between_owners(outcome: &RequestOutcome) -> bool {
    matches!(
        outcome,
        RequestOutcome::NotRun {
            reason: NotRunReason::NoOwner
                | NotRunReason::LeaseLapsed
                | NotRunReason::OwnerUnreachable,
            ..
        }
    )
}

/// Whether an owner may act in time. Without that prospect the refusal is given at once.
fn may_wait(shared: &EntryShared, started: Instant, deadline: Instant) -> bool {
    let now = clock::now();
    let view = shared.view();
    let has_time = deadline.saturating_duration_since(now) > 2 * OWNER_PAUSE;
    let is_due = now < started + view.takeover_limit();
    has_time && is_due && view.may_regain_lease(now) && !shared.is_draining()
}

/// Makes an id that falls into a partition this entry acts for.
pub fn own_id(shared: &EntryShared) -> Option<RequestId> {
    let now = clock::now();
    let view = shared.view();
    let mut ids = std::iter::repeat_with(RequestId::now_v7).take(ID_TRIES);
    ids.find(|id| view.acting_right(partition_of_request(id), now).is_some())
}

async fn run_or_forward(
    shared: &Arc<EntryShared>,
    request: &ServiceRequest,
    deadline: Instant,
) -> TracedOutcome {
    let partition = partition_of_request(&request.id);
    let owner = {
        let view = shared.view();
        view.map().owner_of(partition).cloned()
    };
    let mut request = request.clone();
    request.time_left = deadline.saturating_duration_since(clock::now());
    let Some(owner) = owner else {
        return lapsed(shared).into();
    };
    if owner.incarnation == shared.member.incarnation {
        return run_as_owner(shared.clone(), request).await;
    }
    let Ok(client) = shared.entry_connections.client(&owner.address).await else {
        return RequestOutcome::not_run(NotRunReason::OwnerUnreachable).into();
    };
    shared.metrics.messages.with_label_values(&["forward"]).inc();
    let context = call_within(request.time_left + 2 * ANSWER_GRACE);
    match client.forward(context, request).await {
        Ok(outcome) => outcome,
        Err(_) => RequestOutcome::Unknown(UnknownReason::OwnerSilent).into(),
    }
}

fn lapsed(shared: &EntryShared) -> RequestOutcome {
    let timing = shared.view().map().timing.partition_lease();
    RequestOutcome::NotRun {
        reason: NotRunReason::LeaseLapsed,
        retry_after: timing.takeover_wait(),
    }
}

/// Runs a non-idempotent request as the owner of its id's partition, at most once.
pub async fn run_as_owner(shared: Arc<EntryShared>, request: ServiceRequest) -> TracedOutcome {
    let _flight = shared.begin_flight();
    let document = shared.with_catalog(|catalog| catalog.document(&request.service));
    let Some(document) = document else {
        return RequestOutcome::not_run(NotRunReason::UnknownService).into();
    };
    let partition = partition_of_request(&request.id);
    let right = shared.view().acting_right(partition, clock::now());
    let Some(right) = right else {
        return lapsed(&shared).into();
    };
    let Some(time) = id_time(&request.id) else {
        return RequestOutcome::not_run(NotRunReason::IdInFuture).into();
    };
    let window = id_window(document.requests.largest_deadline);
    match id_age(time, shared.clock.wall(), window) {
        IdAge::Current => {}
        IdAge::TooOld => return RequestOutcome::Unknown(UnknownReason::IdTooOld).into(),
        IdAge::InFuture => return RequestOutcome::not_run(NotRunReason::IdInFuture).into(),
    }
    let id = request.id;
    match shared.ledger.begin(id, request.digest, expiry_time(time, window)) {
        DeskVerdict::Ended(outcome) => outcome.into(),
        DeskVerdict::Conflict => RequestOutcome::not_run(NotRunReason::BodyConflict).into(),
        DeskVerdict::Wait(receiver) => await_other(receiver, request.time_left).await.into(),
        DeskVerdict::Run => {
            let mut ended = run_first(&shared, &document, request, right, time).await;
            let is_refused = matches!(ended.outcome, RequestOutcome::NotRun { .. });
            if is_refused && !is_still_owner(&shared, &id, right.epoch) {
                // A later owner may have run it meanwhile.
                ended.outcome = RequestOutcome::Unknown(UnknownReason::NoOwner);
            }
            shared.ledger.end(id, &ended.outcome);
            ended
        }
    }
}

/// Waits for the outcome of another call with the same id.
async fn await_other(
    receiver: tokio::sync::oneshot::Receiver<RequestOutcome>,
    time_left: Duration,
) -> RequestOutcome {
    match tokio::time::timeout(time_left, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => RequestOutcome::Unknown(UnknownReason::DeadlinePassed),
    }
}

/// Runs an id that this owner sees for the first time.
async fn run_first(
    shared: &Arc<EntryShared>,
    document: &ServiceDocument,
    request: ServiceRequest,
    right: ActingRight,
    time: Duration,
) -> TracedOutcome {
    let owned_since = shared.clock.wall_at(right.since);
    // An earlier owner may have run every id that it could have accepted: up to one skew ahead of
    // its clock, which may itself be one skew ahead of this one's.
    if time < owned_since + 2 * MAX_CLOCK_SKEW && right.epoch > FIRST_EPOCH {
        let settled = settle(shared, document, &request, right).await;
        if let Some(outcome) = settled {
            return outcome.into();
        }
    }
    dispatch(shared, document, request, right.epoch).await
}

async fn run_idempotent(shared: &Arc<EntryShared>, request: ServiceRequest) -> TracedOutcome {
    let _flight = shared.begin_flight();
    let document = shared.with_catalog(|catalog| catalog.document(&request.service));
    let Some(document) = document else {
        return RequestOutcome::not_run(NotRunReason::UnknownService).into();
    };
    dispatch(shared, &document, request, 0).await
}

/// How one try at an endpoint ended.
struct TryResult {
    outcome: RequestOutcome,
    slot: SlotResult,
    load: Option<EndpointLoad>,
}

/// Sends a request to endpoints until one answers, its fate is unknown, or it is given up.
async fn dispatch(
    shared: &Arc<EntryShared>,
    document: &ServiceDocument,
    request: ServiceRequest,
    epoch: LeaseEpoch,
) -> TracedOutcome {
    let mut trace = RequestTrace::default();
    let outcome = dispatch_traced(shared, document, request, epoch, &mut trace).await;
    TracedOutcome { outcome, trace }
}

async fn dispatch_traced(
    shared: &Arc<EntryShared>,
    document: &ServiceDocument,
    request: ServiceRequest,
    epoch: LeaseEpoch,
    trace: &mut RequestTrace,
) -> RequestOutcome {
    let deadline = clock::now() + request.time_left;
    let mut avoid = None;
    let mut was_unknown = None;
    let mut tries = 0;
    while tries < LARGEST_TRIES {
        let asked = clock::now();
        let slot = shared.pools.take_slot(document, deadline, &request.caller, avoid.take()).await;
        trace.queued += clock::elapsed(asked);
        let key = match slot {
            SlotDecision::Granted(key) => key,
            SlotDecision::Queued => break,
            SlotDecision::Refused { reason, retry_after } => {
                return RequestOutcome::NotRun { reason, retry_after }
                    .combine_with_earlier(was_unknown);
            }
        };
        trace.worker = Some(key.worker.clone());
        let result = try_endpoint(shared, document, &request, &key, epoch, deadline).await;
        shared.pools.release(&document.name, &key, result.slot, result.load);
        match result.outcome {
            RequestOutcome::NotRun { reason, .. } if reason.is_retryable() => {
                // Other entries were quicker, or the agent is about to get its lease: that is a
                // queue, whose end the deadline decides.
                let is_queue =
                    matches!(reason, NotRunReason::SlotsFull | NotRunReason::AgentNotReady);
                tries += usize::from(!is_queue);
                avoid = Some(key);
            }
            RequestOutcome::Unknown(reason)
                if request.idempotent && shared.pools.try_retry(&document.name) =>
            {
                was_unknown = Some(reason);
                tries += 1;
                avoid = Some(key);
            }
            outcome => return outcome.combine_with_earlier(was_unknown),
        }
    }
    let refused =
        RequestOutcome::NotRun { reason: NotRunReason::Overloaded, retry_after: TRIES_PAUSE };
    refused.combine_with_earlier(was_unknown)
}

async fn try_endpoint(
    shared: &Arc<EntryShared>,
    document: &ServiceDocument,
    request: &ServiceRequest,
    key: &EndpointKey,
    epoch: LeaseEpoch,
    deadline: Instant,
) -> TryResult {
    let time_left = deadline.saturating_duration_since(clock::now());
    if time_left.is_zero() {
        return not_sent(NotRunReason::DeadlinePassed, SlotResult::Neutral);
    }
    let address = {
        let agents = shared.agents();
        let known = agents.get(&key.worker);
        known
            .filter(|agent| agent.place.incarnation == key.incarnation)
            .map(|one| one.address.clone())
    };
    let Some(address) = address else {
        return not_sent(NotRunReason::StaleIncarnation, SlotResult::Leaving);
    };
    let Ok(client) = shared.agent_connections.client(&address).await else {
        return not_sent(NotRunReason::AgentUnreachable, SlotResult::Failure);
    };
    // The last look before sending: a lease that lapsed in the queue must not be acted on.
    if epoch > 0 && !is_still_owner(shared, &request.id, epoch) {
        return not_sent(NotRunReason::LeaseLapsed, SlotResult::Neutral);
    }
    let order = DispatchOrder {
        request: ServiceRequest { time_left, ..request.clone() },
        endpoint: key.endpoint.clone(),
        incarnation: key.incarnation,
        epoch,
        window: id_window(document.requests.largest_deadline),
    };
    send(client, order, time_left).await
}

fn is_still_owner(shared: &EntryShared, id: &RequestId, epoch: LeaseEpoch) -> bool {
    let partition = partition_of_request(id);
    let right = shared.view().acting_right(partition, clock::now());
    right.is_some_and(|right| right.epoch == epoch)
}

async fn send(client: AgentRpcClient, order: DispatchOrder, time_left: Duration) -> TryResult {
    let sent = clock::now();
    let answer = client.dispatch(call_within(time_left + ANSWER_GRACE), order).await;
    let Ok(reply) = answer else {
        return unknown(UnknownReason::AgentSilent);
    };
    let slot = match &reply.outcome {
        RequestOutcome::Answered(answer) if !answer.is_intact() => {
            return unknown(UnknownReason::AnswerLost);
        }
        RequestOutcome::Answered(answer) if answer.status >= 500 => SlotResult::Failure,
        RequestOutcome::Answered(_) => SlotResult::Success(clock::elapsed(sent)),
        RequestOutcome::NotRun {
            reason: NotRunReason::SlotsFull | NotRunReason::AgentNotReady,
            ..
        } => SlotResult::Full,
        RequestOutcome::NotRun {
            reason: NotRunReason::EndpointLeaving | NotRunReason::Draining,
            ..
        } => SlotResult::Leaving,
        RequestOutcome::NotRun { reason: NotRunReason::ConnectFailed, .. } => SlotResult::Failure,
        RequestOutcome::NotRun { .. } => SlotResult::Neutral,
        RequestOutcome::Unknown(_) => SlotResult::Failure,
    };
    TryResult { outcome: reply.outcome, slot, load: reply.load }
}

fn not_sent(reason: NotRunReason, slot: SlotResult) -> TryResult {
    TryResult { outcome: RequestOutcome::not_run(reason), slot, load: None }
}

fn unknown(reason: UnknownReason) -> TryResult {
    let outcome = RequestOutcome::Unknown(reason);
    TryResult { outcome, slot: SlotResult::Failure, load: None }
}
