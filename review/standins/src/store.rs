//! Stand-in of the platform's metadata store, with the limits of its rows and transactions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::record::EventRecord;

/// `RowBytes` of the settings.
pub const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
const MAX_LISTED_ROWS: usize = 500;
/// `TxMs` of the settings, and the time of a read.
const WRITE_TIME: Duration = Duration::from_millis(3);
const READ_TIME: Duration = Duration::from_millis(1);
const FEED_POLL: Duration = Duration::from_millis(5);

type RowPlace = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowPlace, (String, u64)>,
    changes: Vec<(RowPlace, Option<String>, u64)>,
    version: u64,
    refused: u64,
}

#[derive(Clone)]
pub struct PlatformStore {
    rows: Arc<Mutex<Rows>>,
    started: Instant,
    record: EventRecord,
}

fn text(row: &Value, field: &str) -> String {
    row[field].as_str().unwrap_or_default().to_string()
}

fn place(row: &Value) -> RowPlace {
    (text(row, "Table"), text(row, "part"), text(row, "Key"))
}

fn shown(place: &RowPlace, value: Option<&String>, version: u64) -> Value {
    let mut row = json!({ "Table": place.0, "part": place.1, "Key": place.2, "Ver": version });
    match value {
        Some(value) => row["Value"] = json!(value),
        None => row["Deleted"] = json!(true),
    }
    row
}

impl PlatformStore {
    pub async fn listen(record: EventRecord) -> (PlatformStore, SocketAddr) {
        let store = PlatformStore { rows: Arc::default(), started: Instant::now(), record };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        let router = Router::new()
            .route("/-/rows-tx", post(transact))
            .route("/-/rows-get", get(list))
            .route("/-/rows-feed", get(feed))
            .layer(DefaultBodyLimit::max(4 * MAX_TRANSACTION_BYTES))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        (store, address)
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let place = (table.to_string(), String::new(), key.to_string());
        let value = STANDARD.encode(value.to_string());
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(place.clone(), (value.clone(), version));
        rows.changes.push((place, Some(value), version));
    }

    /// Number of transactions that were refused with 400 or 413.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("the rows are not poisoned")
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn entries<'a>(body: &'a Value, field: &str) -> &'a [Value] {
    body[field].as_array().map_or(&[], Vec::as_slice)
}

async fn transact(State(store): State<PlatformStore>, Json(body): Json<Value>) -> Response {
    tokio::time::sleep(WRITE_TIME).await;
    let (expected, puts) = (entries(&body, "Expected"), entries(&body, "Put"));
    let removes = entries(&body, "Remove");
    let mut bytes = 0;
    let mut refusal = None;
    for row in puts {
        let size = STANDARD.decode(text(row, "Value")).map_or(usize::MAX, |value| value.len());
        bytes += size.min(10 * MAX_TRANSACTION_BYTES);
        if size > ROW_BYTES {
            let (table, _, key) = place(row);
            refusal = Some(format!("413: row {table}/{key} has {size} bytes, at most {ROW_BYTES}"));
        }
    }
    if expected.len() + puts.len() + removes.len() > MAX_ENTRIES || bytes > MAX_TRANSACTION_BYTES {
        refusal = Some("413: the transaction is too large".to_string());
    }
    if let Some(reason) = refusal {
        let count = {
            let mut rows = store.lock();
            rows.refused += 1;
            rows.refused
        };
        if count.is_power_of_two() {
            store.record.write(&format!("store refuses a transaction (no. {count}): {reason}"));
        }
        return (StatusCode::PAYLOAD_TOO_LARGE, Json(json!({ "Error": reason }))).into_response();
    }
    let mut rows = store.lock();
    let version_of = |rows: &Rows, at: &RowPlace| rows.rows.get(at).map_or(0, |row| row.1);
    let is_met = expected
        .iter()
        .all(|row| version_of(&rows, &place(row)) == row["Ver"].as_u64().unwrap_or(0));
    if !is_met {
        let current = expected.iter().filter_map(|row| {
            let at = place(row);
            rows.rows.get(&at).map(|(value, version)| shown(&at, Some(value), *version))
        });
        let current: Vec<Value> = current.collect();
        let body = json!({ "rows": current, "Ver": rows.version, "NowMs": store.now_ms() });
        return (StatusCode::PRECONDITION_FAILED, Json(body)).into_response();
    }
    rows.version += 1;
    let version = rows.version;
    for row in puts {
        let (at, value) = (place(row), text(row, "Value"));
        rows.rows.insert(at.clone(), (value.clone(), version));
        rows.changes.push((at, Some(value), version));
    }
    for row in removes {
        let at = place(row);
        rows.rows.remove(&at);
        rows.changes.push((at, None, version));
    }
    Json(json!({ "Ver": version, "NowMs": store.now_ms() })).into_response()
}

type Parameters = Query<HashMap<String, String>>;

async fn list(State(store): State<PlatformStore>, Query(query): Parameters) -> Response {
    tokio::time::sleep(READ_TIME).await;
    let asked = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, part, from, to) = (asked("Table"), asked("part"), asked("From"), asked("To"));
    let limit = asked("Limit").parse().unwrap_or(MAX_LISTED_ROWS).min(MAX_LISTED_ROWS);
    let rows = store.lock();
    let found = rows.rows.iter().filter(|(at, _)| {
        at.0 == table && at.1 == part && at.2 >= from && (to.is_empty() || at.2 < to)
    });
    let (mut listed, mut bytes, mut has_more) = (Vec::new(), 0, false);
    for (at, (value, version)) in found {
        if listed.len() == limit || (bytes + value.len() > MAX_TRANSACTION_BYTES && bytes > 0) {
            has_more = true;
            break;
        }
        bytes += value.len();
        listed.push(shown(at, Some(value), *version));
    }
    let body = json!({
        "rows": listed, "HasMore": has_more, "Ver": rows.version, "NowMs": store.now_ms(),
    });
    Json(body).into_response()
}

async fn feed(State(store): State<PlatformStore>, Query(query): Parameters) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
    let (after, wait) = (number("After"), Duration::from_millis(number("WaitMs")));
    let table = query.get("Table").cloned().unwrap_or_default();
    let began = Instant::now();
    tokio::time::sleep(READ_TIME).await;
    loop {
        {
            let rows = store.lock();
            let newer = rows.changes.iter().rev().take_while(|change| change.2 > after);
            let mut changed: Vec<Value> = newer
                .filter(|change| change.0.0 == table)
                .map(|(at, value, version)| shown(at, value.as_ref(), *version))
                .collect();
            if !changed.is_empty() || began.elapsed() >= wait {
                changed.reverse();
                let body = json!({
                    "rows": changed, "Ver": rows.version, "NowMs": store.now_ms(),
                });
                return Json(body).into_response();
            }
        }
        tokio::time::sleep(FEED_POLL).await;
    }
}
