//! The calls that a runner takes.

use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use serde::Deserialize;
use serde_json::json;
use tokio::time::timeout;

use crate::platform_runner::CRASH_AFTER;
use crate::platform_runner::PlatformRunner;
use crate::platform_runner::faults::turn_away;
use crate::platform_runner::with_start_time;

/// Time for which an answer that is lost is held back.
pub(super) const HANG: Duration = Duration::from_secs(30);

/// The calls of one life.
pub(super) fn router(runner: &PlatformRunner) -> Router {
    Router::new()
        .route("/-/run-start", post(take_start))
        .route("/-/run-stop", post(take_stop))
        .route("/-/hold", post(take_hold))
        .route("/-/pace", post(take_pace))
        .layer(from_fn_with_state(runner.clone(), turn_away))
        .with_state(runner.clone())
}

#[derive(Deserialize)]
struct StartBody {
    #[serde(rename = "Task")]
    task: String,
    #[serde(rename = "Run")]
    run: u32,
    #[serde(rename = "Spec", default)]
    payload: String,
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "Fence", default)]
    fence: u64,
    #[serde(rename = "Ticket", default)]
    ticket: String,
}

async fn take_start(
    State(runner): State<PlatformRunner>,
    headers: HeaderMap,
    Json(body): Json<StartBody>,
) -> Response {
    let ordered = Instant::now();
    runner.lock().came.insert((body.task.clone(), body.run));
    carry_out(runner, move |runner| start(runner, &headers, body, ordered)).await
}

/// Carries an order out to its end, also when the caller gives up. An order tells its answer and whether that is lost.
async fn carry_out(
    runner: PlatformRunner,
    order: impl FnOnce(&PlatformRunner) -> Result<(Response, bool), Box<Response>> + Send + 'static,
) -> Response {
    let carried_out = tokio::spawn(async move {
        let is_answered = runner.hold_up().await;
        let answer = order(&runner.newest()).unwrap_or_else(|refusal| (*refusal, false));
        (answer, is_answered)
    });
    match carried_out.await {
        Ok(((answer, false), true)) => answer,
        _ => {
            tokio::time::sleep(HANG).await;
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
    }
}

/// Starts a run; gives the answer and whether it is lost.
fn start(
    runner: &PlatformRunner,
    headers: &HeaderMap,
    body: StartBody,
    ordered: Instant,
) -> Result<(Response, bool), Box<Response>> {
    let mut life = runner.admit(headers, body.fence)?;
    if body.until_ms < runner.clock_ms() {
        return Ok((runner.refuse("late"), false));
    }
    life.extend(body.until_ms, runner.clock_ms());
    let key = (body.task.clone(), body.run);
    if life.running.contains_key(&key) {
        return Ok((runner.answer(), false));
    }
    if life.highest.get(&body.task).is_some_and(|highest| body.run <= *highest) {
        return Ok((runner.refuse("old"), false));
    }
    let has_ticket = life
        .advice
        .as_ref()
        .is_none_or(|advice| advice.is_valid(&body.task, &runner.instance, &body.ticket));
    if !has_ticket {
        return Ok((runner.refuse("ticket"), false));
    }
    life.highest.insert(body.task.clone(), body.run);
    life.running.insert(key, Instant::now());
    let place = (runner.label(), runner.traits.host);
    runner.journal.begin((&body.task, body.run), (&place.0, place.1), ordered);
    let is_lost = life.faults.loses_answer();
    drop(life);
    tokio::spawn(work(runner.clone(), body.task, body.run, body.payload));
    Ok((runner.answer(), is_lost))
}

async fn work(runner: PlatformRunner, task: String, run: u32, payload: String) {
    if payload.contains("crash") {
        tokio::time::sleep(CRASH_AFTER).await;
        return runner.crash_and_return().await;
    }
    let words = payload.split_whitespace();
    let millis = words.filter_map(|word| word.strip_prefix("run_ms=")?.parse().ok()).next();
    tokio::time::sleep(Duration::from_millis(millis.unwrap_or(50))).await;
    runner.end(&task, run, if payload.contains("fail") { "failed" } else { "done" });
}

async fn take_stop(
    State(runner): State<PlatformRunner>,
    headers: HeaderMap,
    Json(body): Json<StartBody>,
) -> Response {
    carry_out(runner, move |runner| stop(runner, &headers, &body)).await
}

/// Ends a run, or sees to it that it does not begin; gives the answer and whether it is lost.
fn stop(
    runner: &PlatformRunner,
    headers: &HeaderMap,
    body: &StartBody,
) -> Result<(Response, bool), Box<Response>> {
    let mut life = runner.admit(headers, body.fence)?;
    let is_running = life.running.contains_key(&(body.task.clone(), body.run));
    let highest = life.highest.entry(body.task.clone()).or_default();
    let is_new = is_running || *highest < body.run;
    *highest = body.run.max(*highest);
    // As with starts, only the call that does something loses its answer.
    let is_lost = is_new && life.faults.loses_answer();
    drop(life);
    runner.end(&body.task, body.run, "stopped");
    Ok((runner.answer(), is_lost))
}

async fn take_pace(State(runner): State<PlatformRunner>) -> Response {
    carry_out(runner, |runner| Ok((runner.answer(), runner.lock().faults.loses_answer()))).await
}

#[derive(Deserialize)]
struct HoldBody {
    #[serde(rename = "Fence", default)]
    fence: u64,
    #[serde(rename = "LastSeen", default)]
    seen: u64,
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "WaitMs", default)]
    wait_ms: u64,
}

async fn take_hold(
    State(runner): State<PlatformRunner>,
    headers: HeaderMap,
    Json(body): Json<HoldBody>,
) -> Response {
    let has_ends = {
        let mut life = match runner.admit(&headers, body.fence) {
            Ok(life) => life,
            Err(refusal) => return *refusal,
        };
        life.extend(body.until_ms, runner.clock_ms());
        let (seen, left) = life.ended.drain(..).partition(|ended| ended.0 <= body.seen);
        life.ended = left;
        let lapsed = life.lapsed.unwrap_or(runner.started);
        runner.journal.note(&runner.label(), &seen, lapsed);
        !life.ended.is_empty()
    };
    if !has_ends {
        // The wait is over when something ends or when it has been long enough.
        let _ = timeout(Duration::from_millis(body.wait_ms), runner.ended.notified()).await;
    }
    if runner.is_over() && runner.start_time.is_some() {
        // A process that has crashed answers nothing.
        tokio::time::sleep(HANG).await;
    }
    let life = runner.lock();
    let running: Vec<_> =
        life.running.keys().map(|(task, run)| json!([task, run, "", 0, 0])).collect();
    let body = json!({ "ClockMs": runner.clock_ms(), "Running": running, "Ended": life.ended });
    let mut text = with_start_time(body, runner.start_time).to_string();
    for (list, entry) in ["Running", "Ended"].into_iter().zip(&life.foreign_entries) {
        insert_entry(&mut text, list, entry);
    }
    ([(CONTENT_TYPE, "application/json")], text).into_response()
}

/// Inserts an entry at the begin of a list.
fn insert_entry(body: &mut String, list: &str, entry: &str) {
    let begin = format!("\"{list}\":[");
    if let Some(at) = body.find(&begin).filter(|_| !entry.is_empty()) {
        let at = at + begin.len();
        let separator = if body[at..].starts_with(']') { "" } else { "," };
        body.insert_str(at, &format!("{entry}{separator}"));
    }
}
