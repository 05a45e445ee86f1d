//! The users' platform's advice service: which workers may run a step, with a ticket for each.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

/// Time for a decision, and more for each worker named.
const DECISION: Duration = Duration::from_millis(5);
const EACH: Duration = Duration::from_millis(1);

#[derive(Debug, Default)]
struct AdviceState {
    /// Workers that policy rules out.
    barred: BTreeSet<String>,
    /// Calls that are still to be refused.
    refusals: u32,
    tickets: Vec<(String, String, Instant)>,
    calls: u64,
}

/// A running advice service.
#[derive(Clone)]
pub struct PlatformAdvice {
    /// Where it listens.
    pub address: SocketAddr,
    validity: Duration,
    state: Arc<Mutex<AdviceState>>,
}

impl PlatformAdvice {
    /// Starts a service whose tickets are valid this long and that rules some workers out.
    pub async fn spawn(validity: Duration, barred: &[&str]) -> PlatformAdvice {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        let barred = barred.iter().map(ToString::to_string).collect();
        let state = AdviceState { barred, ..AdviceState::default() };
        let advice = PlatformAdvice { address, validity, state: Arc::new(Mutex::new(state)) };
        let router = Router::new().route("/-/advise", post(advise)).with_state(advice.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        advice
    }

    /// Refuses this many calls, as when too many wait.
    pub fn refuse(&self, calls: u32) {
        self.lock().refusals = calls;
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Whether a ticket is valid for a step on a worker now. `task` is the name of a task of the step.
    pub fn is_valid(&self, task: &str, worker: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let text = ticket_of(step, worker);
        let state = self.lock();
        let mut given = state.tickets.iter();
        ticket == text
            && given
                .any(|(known, on, until)| known == step && on == worker && Instant::now() < *until)
    }

    fn lock(&self) -> MutexGuard<'_, AdviceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ticket_of(step: &str, worker: &str) -> String {
    format!("{step}/{worker}")
}

#[derive(Deserialize)]
struct AdviceBody {
    #[serde(rename = "Step")]
    step: String,
    #[serde(rename = "Workers")]
    workers: Vec<String>,
}

async fn advise(State(advice): State<PlatformAdvice>, Json(body): Json<AdviceBody>) -> Response {
    {
        let mut state = advice.lock();
        state.calls += 1;
        if state.refusals > 0 {
            state.refusals -= 1;
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
    }
    let count = u32::try_from(body.workers.len()).unwrap_or(u32::MAX);
    tokio::time::sleep(DECISION + EACH * count).await;
    let mut state = advice.lock();
    let until = Instant::now() + advice.validity;
    let mut allowed = Vec::new();
    for worker in body.workers {
        if !state.barred.contains(&worker) {
            allowed.push((worker.clone(), ticket_of(&body.step, &worker)));
            state.tickets.push((body.step.clone(), worker, until));
        }
    }
    let valid_ms = advice.validity.as_millis() as u64;
    Json(json!({ "Allowed": allowed, "ValidityMs": valid_ms })).into_response()
}
