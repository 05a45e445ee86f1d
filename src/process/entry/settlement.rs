//! Settles ids that an earlier owner of their partition may have run.
//!
//! The new owner asks the agents of all workers that the table service names. One that never saw
//! the id refuses it to earlier owners from then on; one that ran it tells the outcome. A worker
//! whose agent stopped gracefully is judged by the journal that the agent left. When a worker can
//! be judged by neither, the outcome is unknown.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::connection::cluster_view::ActingRight;
use crate::connection::protocol::ServiceRequest;
use crate::connection::protocol::SettleQuery;
use crate::connection::rpc_client::call_within;
use crate::connection::worker_row::WorkerRow;
use crate::connection::worker_row::journal_key;
use crate::connection::worker_row::worker_key;
use crate::process::clock;
use crate::process::entry::shared::EntryShared;
use crate::request::outcome::RequestOutcome;
use crate::request::outcome::UnknownReason;
use crate::request::request_id::id_time;
use crate::request::request_id::id_window;
use crate::request::request_journal::JournalHandover;
use crate::request::request_journal::SettleAnswer;
use crate::version::document::ServiceDocument;

/// Longest wait for an agent's word on an id.
const SETTLE_CALL: Duration = Duration::from_millis(1_000);
/// Pause before agents are asked again.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);
/// Time for which agents that do not answer are asked again: enough for a restart.
const SETTLE_PATIENCE: Duration = Duration::from_millis(2_000);

/// Asks all agents about an id. Gives its outcome, or nothing when it was provably never run.
pub async fn settle(
    shared: &Arc<EntryShared>,
    document: &ServiceDocument,
    request: &ServiceRequest,
    right: ActingRight,
) -> Option<RequestOutcome> {
    let started = clock::now();
    let window = id_window(document.requests.largest_deadline);
    let question = SettleQuery { id: request.id, epoch: right.epoch, window };
    let Ok(rows) = shared.worker_rows_since(right.since).await else {
        return Some(RequestOutcome::Unknown(UnknownReason::Unsettled));
    };
    loop {
        let asked = rows.iter().map(|row| ask_worker(shared, row, question.clone()));
        let left = request.time_left.saturating_sub(clock::elapsed(started));
        match conclude(join_all(asked).await) {
            Conclusion::Ended(outcome) => return Some(outcome),
            Conclusion::NeverRun => return None,
            Conclusion::CannotTell => {
                return Some(RequestOutcome::Unknown(UnknownReason::Unsettled));
            }
            Conclusion::Silent if clock::elapsed(started) >= SETTLE_PATIENCE || left.is_zero() => {
                return Some(RequestOutcome::Unknown(UnknownReason::Unsettled));
            }
            Conclusion::Running if left.is_zero() => {
                return Some(RequestOutcome::Unknown(UnknownReason::DeadlinePassed));
            }
            Conclusion::Running | Conclusion::Silent => {
                tokio::time::sleep(SETTLE_PAUSE.min(left)).await;
            }
        }
    }
}

/// What the answers of all workers say together.
#[derive(Debug, PartialEq, Eq)]
enum Conclusion {
    /// It was run and ended like this.
    Ended(RequestOutcome),
    /// It is being run.
    Running,
    /// No worker ran it, and none will for an earlier owner.
    NeverRun,
    /// A worker does not answer.
    Silent,
    /// A worker's memory does not reach back to the id.
    CannotTell,
}

fn conclude(answers: Vec<Option<SettleAnswer>>) -> Conclusion {
    let mut conclusion = Conclusion::NeverRun;
    let mut is_running = false;
    for answer in answers {
        match answer {
            Some(SettleAnswer::Ended(outcome)) => return Conclusion::Ended(outcome),
            Some(SettleAnswer::Running) => is_running = true,
            Some(SettleAnswer::NeverRun) => {}
            Some(SettleAnswer::CannotTell) => conclusion = Conclusion::CannotTell,
            Some(SettleAnswer::NotReady) | None => {
                if conclusion == Conclusion::NeverRun {
                    conclusion = Conclusion::Silent;
                }
            }
        }
    }
    if is_running { Conclusion::Running } else { conclusion }
}

async fn ask_worker(
    shared: &EntryShared,
    row: &WorkerRow,
    question: SettleQuery,
) -> Option<SettleAnswer> {
    // The newest address: the row's may be that of an earlier run.
    let address = shared.agents().get(&row.worker).map(|agent| agent.address.clone());
    let address = address.unwrap_or_else(|| row.address.clone());
    let answer = ask_agent(shared, &address, question.clone()).await;
    if answer.is_some() {
        return answer;
    }
    let current = shared.table.get(&worker_key(&row.worker)).await.ok()??;
    let current: WorkerRow = current.decode().ok()?;
    if current.released {
        return ask_handover(shared, &current, &question).await;
    }
    if current.address == address {
        return None;
    }
    ask_agent(shared, &current.address, question).await
}

async fn ask_agent(
    shared: &EntryShared,
    address: &str,
    question: SettleQuery,
) -> Option<SettleAnswer> {
    let client = shared.agent_connections.client(address).await.ok()?;
    client.settle(call_within(SETTLE_CALL), question).await.ok()
}

/// Judges an id by the journal that a stopped agent left. Nothing has to be refused from then on:
/// orders to the stopped run cannot reach the next one.
async fn ask_handover(
    shared: &EntryShared,
    row: &WorkerRow,
    question: &SettleQuery,
) -> Option<SettleAnswer> {
    let current = shared.table.get(&journal_key(&row.worker)).await.ok()??;
    let handover: JournalHandover = current.decode().ok()?;
    if handover.epoch != row.epoch {
        return Some(SettleAnswer::CannotTell);
    }
    let time = id_time(&question.id)?;
    Some(handover.answer(&question.id, time))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_silent_worker_is_no_proof_and_an_outcome_is() {
        let never = || Some(SettleAnswer::NeverRun);
        assert_eq!(conclude(vec![never(), never()]), Conclusion::NeverRun);
        assert_eq!(conclude(vec![never(), None]), Conclusion::Silent);
        assert_eq!(conclude(vec![None, Some(SettleAnswer::CannotTell)]), Conclusion::CannotTell);
        assert_eq!(conclude(vec![None, Some(SettleAnswer::Running)]), Conclusion::Running);
        let outcome = RequestOutcome::Unknown(UnknownReason::AnswerLost);
        let ended = Some(SettleAnswer::Ended(outcome.clone()));
        assert_eq!(conclude(vec![None, ended]), Conclusion::Ended(outcome));
    }
}
