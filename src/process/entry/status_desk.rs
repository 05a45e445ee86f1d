//! What operators see of endpoints, workers and queues: no more than the processes know anyway.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use futures::future::join_all;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::protocol::TeamQueue;
use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::WorkerRow;
use crate::external::worker::ResourceAmount;
use crate::ids::DomainName;
use crate::ids::EntryId;
use crate::ids::WorkerId;
use crate::process::clock;
use crate::process::entry::scheduler::BEATS_TO_TRUST;
use crate::process::entry::shared::EntryShared;
use crate::request::pool_endpoint::EndpointStatus;

/// Longest wait for another entry's queues.
const PEER_CALL: Duration = Duration::from_secs(1);
/// Age up to which the workers' rows need not be read again.
const ROWS_LIFE: Duration = Duration::from_secs(2);

/// A worker as the table service and its agent's heartbeats show it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerStatusRow {
    /// The worker.
    pub worker: WorkerId,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: String,
    /// Whether the answering entry hears of the agent that holds the worker's lease.
    pub is_heard: bool,
    /// Tasks that are committed there.
    pub tasks: usize,
    /// What it has.
    pub capacity: ResourceAmount,
    /// What may still be committed.
    pub free: ResourceAmount,
}

/// What operators see beside the processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Endpoints by service, as the answering entry's pools know them.
    pub endpoints: Vec<EndpointStatus>,
    /// Workers; empty while the table service is down.
    pub workers: Vec<WorkerStatusRow>,
    /// Queues of all teams.
    pub queues: Vec<TeamQueue>,
    /// What could not be found out, and why.
    pub gaps: Vec<StatusGap>,
}

/// A part of the report that is missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusGap {
    /// The table service gave no rows of workers.
    Workers,
    /// This entry did not tell the queues of its teams.
    Queues(EntryId),
}

/// Answers with the status as this entry sees it.
pub async fn handle_status(State(shared): State<Arc<EntryShared>>) -> Json<StatusReport> {
    let mut report =
        StatusReport { endpoints: shared.pools.endpoint_statuses(), ..StatusReport::default() };
    match shared.worker_rows_since(clock::now() - ROWS_LIFE).await {
        Ok(rows) => report.workers = rows.iter().map(|row| worker_status(&shared, row)).collect(),
        Err(_) => report.gaps.push(StatusGap::Workers),
    }
    collect_queues(&shared, &mut report).await;
    Json(report)
}

fn worker_status(shared: &EntryShared, row: &WorkerRow) -> WorkerStatusRow {
    let limit = shared.view().map().timing.agent_beat() * BEATS_TO_TRUST;
    let agents = shared.agents();
    let agent = agents.get(&row.worker);
    let is_heard = agent.is_some_and(|agent| agent.is_live_holder(row, limit));
    WorkerStatusRow {
        worker: row.worker.clone(),
        domain: row.domain.clone(),
        rack: row.rack.clone(),
        is_heard,
        tasks: row.tasks.len(),
        capacity: row.capacity,
        free: row.free(),
    }
}

/// A team's tasks are all in one partition, so that one entry knows its whole queue.
async fn collect_queues(shared: &EntryShared, report: &mut StatusReport) {
    report.queues = shared.queues();
    let members = shared.view().map().members.clone();
    let others = members.iter().filter(|one| one.incarnation != shared.member.incarnation);
    let asked = others.map(|member| async {
        let client = shared.entry_connections.client(&member.address).await;
        let queues = match client {
            Ok(client) => client.team_queues(call_within(PEER_CALL)).await.ok(),
            Err(_) => None,
        };
        queues.ok_or_else(|| StatusGap::Queues(member.id.clone()))
    });
    for queues in join_all(asked).await {
        match queues {
            Ok(queues) => report.queues.extend(queues),
            Err(gap) => report.gaps.push(gap),
        }
    }
    report.queues.sort_by(|a, b| a.team.cmp(&b.team));
}
