//! The users' platform's metadata store, as far as the product calls it, with its faults.
//!
//! Each process of the product gets a listener of its own to the same rows, so that the store can turn
//! one of them away and serve the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::partition_queues::PartitionQueues;

/// Time for which a silent listener holds an answer back.
const HANG: Duration = Duration::from_secs(30);

/// How a listener misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// It refuses everything at once.
    Busy,
    /// It refuses everything after this time.
    BusyAfter(Duration),
    /// It answers nothing, and does nothing.
    Silent,
    /// This many transactions are applied, and their answers never come.
    LoseAnswers(u32),
    /// Every call takes this long.
    Slow(Duration),
    /// Reads take this long; transactions of a partition are carried out one after another, this long each, also those whose
    /// callers have gone. What would wait for more than a second is refused, and what spans partitions takes twice as long.
    Queued {
        /// Time of a read.
        read: Duration,
        /// Time of a transaction.
        write: Duration,
    },
    /// Calls for changes get no answer, all others do.
    SilentFeeds,
    /// Writes get no answer and are carried out later, if their conditions still hold.
    LateWrites(Duration),
}

/// Place of a row: table, partition, key.
type RowPlace = (String, String, String);

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct WireRow {
    #[serde(rename = "Table")]
    table: String,
    part: String,
    #[serde(rename = "Key")]
    key: String,
    #[serde(rename = "Value", skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    #[serde(rename = "Ver")]
    version: u64,
    #[serde(rename = "Deleted", skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

impl WireRow {
    fn place(&self) -> RowPlace {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireTransaction {
    #[serde(rename = "Expected")]
    expected: Vec<WireRow>,
    #[serde(rename = "Put")]
    puts: Vec<WireRow>,
    #[serde(rename = "Remove")]
    removes: Vec<WireRow>,
}

impl WireTransaction {
    fn partitions(&self) -> BTreeSet<String> {
        let rows = self.expected.iter().chain(&self.puts).chain(&self.removes);
        rows.map(|row| row.part.clone()).collect()
    }
}

#[derive(Debug, Default)]
struct StoreRows {
    rows: BTreeMap<RowPlace, WireRow>,
    /// Changes in order; those up to `dropped` are forgotten.
    changes: Vec<WireRow>,
    dropped: u64,
    version: u64,
    /// Rows that calls asked to write, whatever became of them.
    asked: Vec<RowPlace>,
}

/// The rows that all listeners share.
#[derive(Clone, Default)]
pub struct PlatformStore {
    rows: Arc<Mutex<StoreRows>>,
    changed: Arc<Notify>,
    /// By partition, where transactions queue.
    queues: PartitionQueues,
}

/// A listener of the store.
#[derive(Clone)]
pub struct StoreListener {
    /// Where it listens.
    pub address: SocketAddr,
    store: PlatformStore,
    fault: Arc<Mutex<StoreFault>>,
    /// Calls for changes of a table, so far.
    feeds: Arc<AtomicUsize>,
}

impl PlatformStore {
    /// Opens a listener to the rows.
    pub async fn listen(&self) -> StoreListener {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        let opened = StoreListener {
            address,
            store: self.clone(),
            fault: Arc::default(),
            feeds: Arc::default(),
        };
        let router = Router::new()
            .route("/-/rows-tx", post(take_transaction))
            .route("/-/rows-get", get(take_range))
            .route("/-/rows-feed", get(take_feed))
            .with_state(opened.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        opened
    }

    /// Writes a row as the operator does; the value is text.
    pub fn put(&self, table: &str, part: &str, key: &str, value_base64: String) {
        let row = WireRow {
            table: table.to_string(),
            part: part.to_string(),
            key: key.to_string(),
            value: Some(value_base64),
            ..WireRow::default()
        };
        let transaction = WireTransaction { puts: vec![row], ..WireTransaction::default() };
        // Without conditions it is always applied.
        let _ = self.apply(transaction);
    }

    /// Removes a row as the operator does.
    pub fn remove(&self, table: &str, part: &str, key: &str) {
        let row = WireRow {
            table: table.to_string(),
            part: part.to_string(),
            key: key.to_string(),
            ..WireRow::default()
        };
        let transaction = WireTransaction { removes: vec![row], ..WireTransaction::default() };
        // Without conditions it is always applied.
        let _ = self.apply(transaction);
    }

    /// Forgets the history, so that feeds have to read anew.
    pub fn drop_history(&self) {
        let mut rows = self.lock();
        rows.dropped = rows.version;
        rows.changes.clear();
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Changes of a row, or of all rows of a table, since the history was last dropped.
    pub fn changes_of(&self, table: &str, key: Option<&str>) -> usize {
        let rows = self.lock();
        let is_it = |row: &&WireRow| row.table == table && key.is_none_or(|key| row.key == key);
        rows.changes.iter().filter(is_it).count()
    }

    /// Calls that asked to write a row, whatever became of them.
    pub fn calls_to_write(&self, table: &str, key: &str) -> usize {
        let rows = self.lock();
        rows.asked.iter().filter(|place| place.0 == table && place.2 == key).count()
    }

    /// Keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.lock();
        rows.rows.keys().filter(|place| place.0 == table).map(|place| place.2.clone()).collect()
    }

    /// Value of a row, base64.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let place = (table.to_string(), part.to_string(), key.to_string());
        self.lock().rows.get(&place)?.value.clone()
    }

    fn lock(&self) -> MutexGuard<'_, StoreRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, transaction: WireTransaction) -> Result<u64, Vec<WireRow>> {
        let mut rows = self.lock();
        let version = |rows: &StoreRows, row: &WireRow| {
            rows.rows.get(&row.place()).map_or(0, |found| found.version)
        };
        if transaction.expected.iter().any(|row| version(&rows, row) != row.version) {
            let current = transaction.expected.iter().filter_map(|row| rows.rows.get(&row.place()));
            return Err(current.cloned().collect());
        }
        rows.version += 1;
        let version = rows.version;
        for row in transaction.puts {
            let row = WireRow { version, ..row };
            rows.changes.push(row.clone());
            rows.rows.insert(row.place(), row);
        }
        for row in transaction.removes {
            rows.rows.remove(&row.place());
            rows.changes.push(WireRow { version, deleted: true, value: None, ..row });
        }
        drop(rows);
        self.changed.notify_waiters();
        Ok(version)
    }
}

impl StoreListener {
    /// Sets how the listener misbehaves from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Number of calls for changes of a table that came in here so far.
    pub fn feeds(&self) -> usize {
        self.feeds.load(Ordering::Relaxed)
    }

    /// Answers as the fault has it, if it keeps a call from being carried out.
    async fn refusal(&self) -> Option<Response> {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            StoreFault::Busy => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            StoreFault::BusyAfter(delay) => {
                tokio::time::sleep(delay).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
            StoreFault::Silent => {
                tokio::time::sleep(HANG).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
            StoreFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                None
            }
            StoreFault::None
            | StoreFault::LoseAnswers(_)
            | StoreFault::LateWrites(_)
            | StoreFault::SilentFeeds
            | StoreFault::Queued { .. } => None,
        }
    }

    fn has_silent_feeds(&self) -> bool {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        fault == StoreFault::SilentFeeds
    }

    /// Takes the time of a read.
    async fn wait_to_read(&self) {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if let StoreFault::Queued { read, .. } = fault {
            tokio::time::sleep(read).await;
        }
    }

    /// Applies a transaction in its turn, where they queue, unless too many wait. It is carried out even when nobody waits any more.
    async fn apply_in_turn(
        &self,
        transaction: WireTransaction,
    ) -> Option<Result<u64, Vec<WireRow>>> {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let StoreFault::Queued { write, .. } = fault else {
            return Some(self.store.apply(transaction));
        };
        let store = self.store.clone();
        let partitions = transaction.partitions();
        let queues = &self.store.queues;
        queues.carry_out(partitions, write, move || store.apply(transaction)).await
    }

    /// Whether the answer to a transaction that was applied is to be lost.
    fn write_delay(&self) -> Option<Duration> {
        match *self.fault.lock().unwrap_or_else(PoisonError::into_inner) {
            StoreFault::LateWrites(delay) => Some(delay),
            _ => None,
        }
    }

    fn loses_answer(&self) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match *fault {
            StoreFault::LoseAnswers(left) if left > 0 => {
                *fault = StoreFault::LoseAnswers(left - 1);
                true
            }
            _ => false,
        }
    }
}

async fn take_transaction(
    State(listener): State<StoreListener>,
    Json(transaction): Json<WireTransaction>,
) -> Response {
    if let Some(refusal) = listener.refusal().await {
        return refusal;
    }
    if let Some(delay) = listener.write_delay() {
        // It goes on when the caller has given up, and nobody hears of it.
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = listener.store.apply(transaction);
        });
        tokio::time::sleep(HANG).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let asked: Vec<RowPlace> = transaction.puts.iter().map(WireRow::place).collect();
    listener.store.lock().asked.extend(asked);
    let Some(applied) = listener.apply_in_turn(transaction).await else {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    };
    if listener.loses_answer() {
        tokio::time::sleep(HANG).await;
    }
    match applied {
        Ok(version) => Json(json!({ "Ver": version, "NowMs": 0 })).into_response(),
        Err(rows) => {
            (StatusCode::PRECONDITION_FAILED, Json(json!({ "rows": rows }))).into_response()
        }
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    #[serde(rename = "Table")]
    table: String,
    part: String,
    #[serde(rename = "From", default)]
    from: String,
    #[serde(rename = "Limit")]
    limit: Option<usize>,
}

async fn take_range(
    State(listener): State<StoreListener>,
    Query(query): Query<RangeQuery>,
) -> Response {
    if let Some(refusal) = listener.refusal().await {
        return refusal;
    }
    listener.wait_to_read().await;
    let rows = listener.store.lock();
    let matching = rows
        .rows
        .values()
        .filter(|row| row.table == query.table && row.part == query.part && row.key >= query.from);
    let limit = query.limit.unwrap_or(500);
    let found: Vec<&WireRow> = matching.take(limit + 1).collect();
    let has_more = found.len() > limit;
    let shown = &found[..found.len().min(limit)];
    let body: Value = json!({ "rows": shown, "HasMore": has_more, "Ver": rows.version });
    Json(body).into_response()
}

#[derive(Deserialize)]
struct FeedQuery {
    #[serde(rename = "Table")]
    table: String,
    #[serde(rename = "After")]
    after: u64,
    #[serde(rename = "WaitMs")]
    wait_ms: u64,
}

async fn take_feed(
    State(listener): State<StoreListener>,
    Query(query): Query<FeedQuery>,
) -> Response {
    listener.feeds.fetch_add(1, Ordering::Relaxed);
    if let Some(refusal) = listener.refusal().await {
        return refusal;
    }
    listener.wait_to_read().await;
    let waiting = async {
        loop {
            let changed = listener.store.changed.notified();
            let answer = changes(&listener.store, &query);
            if !matches!(&answer, Ok((rows, _)) if rows.is_empty()) {
                return;
            }
            changed.await;
        }
    };
    // The wait is over when there is a change or when it has been long enough.
    let _ = timeout(Duration::from_millis(query.wait_ms), waiting).await;
    if listener.has_silent_feeds() {
        // Also calls that came in before the fault.
        tokio::time::sleep(HANG).await;
    }
    match changes(&listener.store, &query) {
        Ok((rows, version)) => Json(json!({ "rows": rows, "Ver": version })).into_response(),
        Err(()) => StatusCode::GONE.into_response(),
    }
}

/// Changes of a table after a version, or nothing when that history is dropped.
fn changes(store: &PlatformStore, query: &FeedQuery) -> Result<(Vec<WireRow>, u64), ()> {
    let rows = store.lock();
    if query.after < rows.dropped {
        return Err(());
    }
    let is_new = |row: &&WireRow| row.table == query.table && row.version > query.after;
    Ok((rows.changes.iter().filter(is_new).cloned().collect(), rows.version))
}
