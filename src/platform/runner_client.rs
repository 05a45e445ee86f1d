//! The platform's runners, as the product's [`RunnerControl`].

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Serialize;

use crate::connection::http_connection::CallFailure;
use crate::connection::http_connection::HttpConnection;
use crate::connection::instance_connection::ConnectionPool;
use crate::connection::instance_connection::InstanceConnection;
use crate::connection::instance_connection::UnidentifiedConnection;
use crate::connection::node_protocol::StartOrder;
use crate::external::runner_control::PollRequest;
use crate::external::runner_control::PollResponse;
use crate::external::runner_control::RunnerControl;
use crate::external::runner_control::RunnerError;
use crate::external::runner_control::RunnerMillis;
use crate::external::runner_control::RunnerTarget;
use crate::ids::InstanceId;
use crate::ids::RunNumber;
use crate::ids::StartMillis;
use crate::platform::instance_name::has_start_time;
use crate::platform::instance_name::instance_name;
use crate::platform::instance_name::runner_id;
use crate::platform::runner_wire::RunnerAnswer;
use crate::platform::runner_wire::WireDone;
use crate::platform::runner_wire::WireHold;
use crate::platform::runner_wire::WireLists;
use crate::platform::runner_wire::WireStart;
use crate::platform::runner_wire::WireStop;
use crate::platform::runner_wire::decode_response;
use crate::platform::runner_wire::unreadable;
use crate::workflow::task_name::TaskName;

/// Header that names the runner that a call is meant for, not which of its instances.
const EXPECT_INSTANCE: &str = "X-Greengagearch-Expect-Instance";
/// Time for a connection to be made; hosts without power do not refuse it.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Unused connections are closed after this time; one that went silent meanwhile costs one call's
/// time limit.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time for the answer to an order; the runner is on the same host, so that a longer silence means
/// that the order is delayed or lost and has to be repeated.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// Time beyond the asked wait within which a poll must be answered.
const HOLD_SLACK: Duration = Duration::from_millis(600);

/// A client of the runner on this host. Calls are sent only on connections to the intended instance. Polls that change nothing are
/// sent on any connection; the response identifies its instance.
#[derive(Debug)]
pub struct RunnerClient {
    pool: Mutex<ConnectionPool<HttpConnection>>,
}

impl RunnerClient {
    /// Opens a client.
    ///
    /// ```
    /// greengagearch::platform::runner_client::RunnerClient::open();
    /// ```
    pub fn open() -> RunnerClient {
        RunnerClient { pool: Mutex::default() }
    }

    /// Sends a call that reaches the intended instance or none.
    async fn call<T: RunnerAnswer>(
        &self,
        target: &RunnerTarget,
        call: Request<String>,
        limit: Duration,
    ) -> Result<T, RunnerError> {
        let (status, body) = loop {
            let pooled = self.pool(target).take(&target.instance);
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(target).await?,
            };
            match connection.get_mut().send(call.clone(), limit).await {
                Ok(answer) => {
                    self.pool(target).put(connection);
                    break answer;
                }
                // The pooled connection had ended.
                Err(CallFailure::NotSent { .. }) if is_pooled => {}
                Err(failure) => return Err(self.on_failure(failure)),
            }
        };
        let answer = decode_response(status, &body);
        match responding_instance(target, answer.started_at) == target.instance {
            true => answer.outcome,
            false => Err(unreadable(&"another instance has responded on the connection")),
        }
    }

    /// Opens a connection to the intended instance, or identifies an idle one as such.
    async fn connect(
        &self,
        target: &RunnerTarget,
    ) -> Result<InstanceConnection<HttpConnection>, RunnerError> {
        if !has_start_time(&target.instance) {
            // Each instance has an id of its own and rejects calls for others.
            let connection = self.open_connection(target).await?;
            return Ok(connection.identify(target.instance.clone()));
        }
        let (connection, _) = match self.poll_any(target, PollRequest::default()).await {
            // The pooled connection may have ended.
            Err(RunnerError::NoAnswer { is_broken: true, .. }) => {
                self.poll_any(target, PollRequest::default()).await?
            }
            polled => polled?,
        };
        let selected = self.pool(target).select(connection, &target.instance);
        selected.ok_or(RunnerError::OtherInstance)
    }

    /// Sends a poll that changes nothing on any connection. Returns the connection, bound to the instance that has responded.
    async fn poll_any(
        &self,
        target: &RunnerTarget,
        request: PollRequest,
    ) -> Result<(InstanceConnection<HttpConnection>, WireLists), RunnerError> {
        let call = call_of(target, "hold", &WireHold::new(target.fence, request))?;
        loop {
            let pooled = self.pool(target).take_any();
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.open_connection(target).await?,
            };
            match connection.get_mut().send(call.clone(), limit_of(request)).await {
                Ok((status, body)) => {
                    let answer = decode_response::<WireLists>(status, &body);
                    let instance = responding_instance(target, answer.started_at);
                    return match answer.outcome {
                        Ok(lists) => Ok((connection.identify(instance), lists)),
                        Err(_) if instance != target.instance => Err(RunnerError::OtherInstance),
                        Err(error) => Err(error),
                    };
                }
                // The pooled connection had ended.
                Err(CallFailure::NotSent { .. }) if is_pooled => {}
                Err(failure) => return Err(self.on_failure(failure)),
            }
        }
    }

    async fn open_connection(
        &self,
        target: &RunnerTarget,
    ) -> Result<UnidentifiedConnection<HttpConnection>, RunnerError> {
        let opened = HttpConnection::open(&target.address, CONNECT_LIMIT).await;
        let connection = opened.map_err(|failure| self.on_failure(failure))?;
        Ok(UnidentifiedConnection::new(connection))
    }

    fn on_failure(&self, failure: CallFailure) -> RunnerError {
        let is_broken = matches!(failure, CallFailure::Broken { .. });
        match failure {
            CallFailure::Refused => return RunnerError::NotRunning,
            // When one connection went silent, the unused ones may have, too.
            CallFailure::Silent { .. } => self.lock().clear(),
            CallFailure::NotSent { .. } | CallFailure::Broken { .. } => {}
        }
        RunnerError::NoAnswer { is_broken, reason: failure.to_string() }
    }

    /// Locks the idle connections, without those that cannot be used for the target.
    fn pool(&self, target: &RunnerTarget) -> MutexGuard<'_, ConnectionPool<HttpConnection>> {
        let mut pool = self.lock();
        pool.retain(|idle| {
            idle.is_open() && idle.idle_time() < IDLE_LIMIT && idle.address() == target.address
        });
        pool
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionPool<HttpConnection>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl RunnerControl for RunnerClient {
    async fn start(
        &self,
        target: &RunnerTarget,
        order: &StartOrder,
        lease_end: RunnerMillis,
    ) -> Result<(), RunnerError> {
        let body = WireStart {
            task: order.traits.task.to_string(),
            run: order.run,
            payload: &order.payload,
            lease_end,
            fence: target.fence,
            checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        let call = call_of(target, "run-start", &body)?;
        self.call(target, call, ORDER_LIMIT).await.map(|_: WireDone| ())
    }

    async fn stop(
        &self,
        target: &RunnerTarget,
        task: &TaskName,
        run: RunNumber,
    ) -> Result<(), RunnerError> {
        let body = WireStop { task: task.to_string(), run, percent: None, fence: target.fence };
        let call = call_of(target, "run-stop", &body)?;
        self.call(target, call, ORDER_LIMIT).await.map(|_: WireDone| ())
    }

    async fn pace(
        &self,
        target: &RunnerTarget,
        task: &TaskName,
        run: RunNumber,
        percent: u32,
    ) -> Result<(), RunnerError> {
        let percent = Some(percent);
        let body = WireStop { task: task.to_string(), run, percent, fence: target.fence };
        let call = call_of(target, "pace", &body)?;
        self.call(target, call, ORDER_LIMIT).await.map(|_: WireDone| ())
    }

    async fn poll(
        &self,
        target: &RunnerTarget,
        request: PollRequest,
    ) -> Result<PollResponse, RunnerError> {
        let changes_nothing = request.lease_end.is_none() && request.seen == 0;
        if changes_nothing {
            let (connection, lists) = self.poll_any(target, request).await?;
            let selected = self.pool(target).select(connection, &target.instance);
            self.pool(target).put(selected.ok_or(RunnerError::OtherInstance)?);
            return Ok(lists.decode());
        }
        let call = call_of(target, "hold", &WireHold::new(target.fence, request))?;
        let lists: WireLists = self.call(target, call, limit_of(request)).await?;
        Ok(lists.decode())
    }
}

fn limit_of(request: PollRequest) -> Duration {
    request.wait + HOLD_SLACK
}

fn call_of<B: Serialize>(
    target: &RunnerTarget,
    name: &str,
    body: &B,
) -> Result<Request<String>, RunnerError> {
    let body = serde_json::to_string(body).map_err(|error| unreadable(&error))?;
    let call = Request::post(format!("/-/{name}"))
        .header(HOST, &target.address)
        .header(CONTENT_TYPE, "application/json")
        .header(EXPECT_INSTANCE, runner_id(&target.instance));
    call.body(body).map_err(|error| unreadable(&error))
}

/// Returns the instance that has responded. One that tells no start time is taken for the intended one.
fn responding_instance(target: &RunnerTarget, started_at: Option<StartMillis>) -> InstanceId {
    match started_at {
        Some(_) => instance_name(runner_id(&target.instance), started_at),
        None => target.instance.clone(),
    }
}
