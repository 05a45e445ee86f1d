//! A runner that refuses all looks for longer than the leases that it was given: what ran there has lapsed.

mod linked_agent;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::clock;
use greengagearch::process::node::runner_poller::spawn_runner_poller;
use greengagearch::process::node::shared::NodeShared;
use greengagearch::workflow::task_name::TaskName;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::registered_runner;

const STAMP: LinkStamp = LinkStamp { epoch: 1, link: 1 };
/// The only lease that the runner gets.
const LEASE: Duration = Duration::from_millis(1_000);
/// Time in which the runner answers.
const WELL: Duration = Duration::from_millis(300);
/// Bound on the wait; the longest lease that an agent before may have sent takes ten seconds of it.
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(100);

/// A runner with one run, which answers looks until it is unwell.
#[derive(Default)]
struct UnwellRunner {
    is_unwell: AtomicBool,
    is_silent: bool,
}

impl UnwellRunner {
    fn failure(&self) -> Option<RunnerError> {
        let silence = RunnerError::NoAnswer { is_broken: false, reason: "late".to_string() };
        let refusal = RunnerError::Rejected { reason: RejectReason::Unwell };
        let failure = if self.is_silent { silence } else { refusal };
        self.is_unwell.load(Ordering::Relaxed).then_some(failure)
    }
}

#[async_trait]
impl RunnerControl for UnwellRunner {
    async fn start(
        &self,
        _: &RunnerTarget,
        _: &StartOrder,
        _: RunnerMillis,
    ) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn stop(&self, _: &RunnerTarget, _: &TaskName, _: u32) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn pace(
        &self,
        _: &RunnerTarget,
        _: &TaskName,
        _: u32,
        _: u32,
    ) -> Result<(), RunnerError> {
        Ok(())
    }

    async fn poll(&self, _: &RunnerTarget, _: PollRequest) -> Result<PollResponse, RunnerError> {
        sleep(Duration::from_millis(20)).await;
        let running = vec![begun_run("a.0.0.0")];
        let lists = PollResponse { clock: 500, running, ..PollResponse::default() };
        self.failure().map_or(Ok(lists), Err)
    }
}

/// Whether the agent of a runner tells, after its leases have expired in looks that failed, that the run is over there.
async fn is_told_as_over(is_silent: bool) -> bool {
    let runner = Arc::new(UnwellRunner { is_silent, ..UnwellRunner::default() });
    let shared = Arc::new(NodeShared::new(runner.clone()));
    shared.state().on_heartbeat(registered_runner(4_000, 4_000, 1));
    shared.state().admit(STAMP).unwrap();
    shared.state().on_sync(&lease_call(STAMP, LEASE));
    spawn_runner_poller(shared.clone());
    sleep(WELL).await;
    drop(shared.state().report(clock::now()));
    runner.is_unwell.store(true, Ordering::Relaxed);
    let told = async {
        while !tells_nothing(&shared.state().report(clock::now())) {
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, told).await.is_ok()
}

/// Whether a report says that nothing runs on the life.
fn tells_nothing(report: &NodeReport) -> bool {
    let is_former = report.former.iter().any(|life| life == "i-1");
    is_former || report.snapshot.as_ref().is_some_and(|look| look.present.is_empty())
}

/// The baseline: what ran on a silent runner is told as over when its leases have surely expired.
#[tokio::test]
async fn what_ran_on_a_runner_that_is_silent_beyond_its_leases_is_over() {
    assert!(is_told_as_over(true).await);
}

/// Guards against a task that stands still: its runner refused all looks, its lease lapsed, and for as long as the runner refused the
/// agent did not tell and the planner kept the run.
#[tokio::test]
async fn what_ran_on_a_runner_that_refuses_beyond_its_leases_is_over() {
    assert!(is_told_as_over(false).await);
}
