//! The platform's table service, with its faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
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
use greengagearch::external::memory_table::MemoryTable;
use greengagearch::external::table::TableError;
use greengagearch::external::table::TableTransaction;
use serde::Deserialize;
use tokio::net::TcpListener;

/// Time for which a service that is down holds an answer back.
const HANG: Duration = Duration::from_secs(30);

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    /// It does not.
    #[default]
    None,
    /// It refuses everything at once.
    Down,
    /// It answers nothing.
    Hanging,
    /// It takes this long for each answer.
    Slow(Duration),
    /// Commits take effect and their answers are lost; this many times.
    LoseAnswers(u32),
    /// The next commit of a job's row takes effect and its answer is lost; from then on it refuses everything at once.
    LoseAnswerAndRefuse,
}

/// A running stand-in.
#[derive(Clone)]
pub struct TableService {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its rows.
    pub table: Arc<MemoryTable>,
    fault: Arc<Mutex<TableFault>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
}

impl TableService {
    /// Starts the service on any free port.
    pub async fn bind() -> TableService {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let service = TableService {
            address: listener.local_addr().expect("a bound listener has an address"),
            table: Arc::default(),
            fault: Arc::default(),
            reads: Arc::default(),
            writes: Arc::default(),
        };
        let router = Router::new()
            .route("/row", get(handle_row))
            .route("/rows", get(handle_rows))
            .route("/commit", post(handle_commit))
            .layer(axum::extract::DefaultBodyLimit::max(16 << 20))
            .with_state(service.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        service
    }

    /// Changes the fault from now on.
    pub fn set_fault(&self, fault: TableFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Reads and commits that were asked for so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    fn fault(&self) -> TableFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this commit's answer is to be lost.
    fn loses_answer(&self, transaction: &TableTransaction) -> bool {
        let mut fault = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match *fault {
            TableFault::LoseAnswers(0) => false,
            TableFault::LoseAnswers(left) => {
                *fault = TableFault::LoseAnswers(left - 1);
                true
            }
            TableFault::LoseAnswerAndRefuse if is_of_job(transaction) => {
                *fault = TableFault::Down;
                true
            }
            _ => false,
        }
    }

    async fn misbehave(&self) -> Option<Response> {
        match self.fault() {
            TableFault::Down => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            TableFault::Hanging => {
                tokio::time::sleep(HANG).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
            TableFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                None
            }
            TableFault::None | TableFault::LoseAnswers(_) | TableFault::LoseAnswerAndRefuse => None,
        }
    }
}

/// Whether a commit writes the row of a job.
fn is_of_job(transaction: &TableTransaction) -> bool {
    transaction.writes.iter().any(|write| write.key.starts_with("job/"))
}

async fn handle_row(State(service): State<TableService>, query: Query<RowQuery>) -> Response {
    service.reads.fetch_add(1, Ordering::Relaxed);
    if let Some(answer) = service.misbehave().await {
        return answer;
    }
    Json(service.table.row(&query.key)).into_response()
}

async fn handle_rows(State(service): State<TableService>, query: Query<ListQuery>) -> Response {
    service.reads.fetch_add(1, Ordering::Relaxed);
    if let Some(answer) = service.misbehave().await {
        return answer;
    }
    Json(service.table.rows(&query.prefix)).into_response()
}

async fn handle_commit(
    State(service): State<TableService>,
    Json(transaction): Json<TableTransaction>,
) -> Response {
    service.writes.fetch_add(1, Ordering::Relaxed);
    if let Some(answer) = service.misbehave().await {
        return answer;
    }
    let result = service.table.apply(&transaction);
    if service.loses_answer(&transaction) {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    match result {
        Ok(version) => Json(version).into_response(),
        Err(TableError::Conflict { key }) => (StatusCode::CONFLICT, key).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
