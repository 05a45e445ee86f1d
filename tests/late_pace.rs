//! Paces that a runner carries out later than newer ones, and paces that an agent before has ordered. A runner does not tell at which
//! pace a run works, so that an agent which believes in the wrong one never orders another.

mod linked_agent;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use greengagearch::connection::node_protocol::ImageInterference;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::external::runner_control::PollRequest;
use greengagearch::external::runner_control::PollResponse;
use greengagearch::external::runner_control::RunnerControl;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerMillis;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::node::runner_poller::spawn_runner_poller;
use greengagearch::process::node::shared::NodeShared;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::task_name::TaskName;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::linked_agent::begun_run;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;

const TARGET_MS: u64 = 125;
/// Tails of the task that serves: with nothing beside it, and with far too much.
const QUIET_TAIL_MS: u64 = 27;
const HARMED_TAIL_MS: u64 = 500;
/// Time that a look takes.
const LOOK: Duration = Duration::from_millis(50);
/// Time until the agent has noticed and mended what a late pace did, and a bound far beyond that on the wait for it.
const MENDED_AFTER: Duration = Duration::from_millis(1_500);
const LIMIT: Duration = Duration::from_secs(30);

/// What becomes of a call that paces.
#[derive(Clone, Copy)]
enum PaceFate {
    AtOnce,
    /// It is carried out and answered after some time.
    Slow(Duration),
    /// It gets no answer and is carried out after some time.
    Unanswered(Duration),
}

/// Chooses the fate of a call by the runner and the ordered pace.
type FateChoice = dyn Fn(&PacedRunner, u32) -> PaceFate + Send + Sync;

/// A runner with one task that serves and one that fills, whose paces meet the fates that a test chooses.
struct PacedRunner {
    pace: Mutex<u32>,
    tail_ms: Mutex<u64>,
    fate_of: Box<FateChoice>,
}

impl PacedRunner {
    fn open(
        pace: u32,
        tail_ms: u64,
        fate_of: impl Fn(&PacedRunner, u32) -> PaceFate + Send + Sync + 'static,
    ) -> Arc<RunnerHandle> {
        let (pace, tail_ms) = (Mutex::new(pace), Mutex::new(tail_ms));
        Arc::new(RunnerHandle(Arc::new(PacedRunner { pace, tail_ms, fate_of: Box::new(fate_of) })))
    }

    fn pace(&self) -> u32 {
        *self.pace.lock().unwrap()
    }

    fn set_tail(&self, tail_ms: u64) {
        *self.tail_ms.lock().unwrap() = tail_ms;
    }

    fn set_pace(&self, percent: u32) {
        *self.pace.lock().unwrap() = percent;
    }
}

/// Access to a runner that calls may outlive.
struct RunnerHandle(Arc<PacedRunner>);

#[async_trait]
impl RunnerControl for RunnerHandle {
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
        percent: u32,
    ) -> Result<(), RunnerError> {
        match (self.0.fate_of)(&self.0, percent) {
            PaceFate::AtOnce => self.0.set_pace(percent),
            PaceFate::Slow(delay) => {
                sleep(delay).await;
                self.0.set_pace(percent);
            }
            PaceFate::Unanswered(delay) => {
                let runner = self.0.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    runner.set_pace(percent);
                });
                let reason = "nothing in time".to_string();
                return Err(RunnerError::NoAnswer { is_broken: false, reason });
            }
        }
        Ok(())
    }

    async fn poll(&self, _: &RunnerTarget, _: PollRequest) -> Result<PollResponse, RunnerError> {
        sleep(LOOK).await;
        let tail = *self.0.tail_ms.lock().unwrap();
        let running = vec![run("s.0.0.0", tail), run("f.0.0.0", 1_000)];
        Ok(PollResponse { clock: 500, running, ..PollResponse::default() })
    }
}

fn run(task: &str, usage: u64) -> PresentRun {
    PresentRun { usage, progress_percent: 100, ..begun_run(task) }
}

fn traits(task: &str, target_ms: u64) -> TaskTraits {
    let effect = ImageInterference { serving: "image".to_string(), added_permille: 300 };
    TaskTraits {
        image: "image".to_string(),
        target_ms,
        best_effort: target_ms == 0,
        effects: if target_ms == 0 { vec![effect] } else { Vec::new() },
        idle_tail_ms: 25,
        yields: false,
        ..plain_traits(task, ResourceVector::default())
    }
}

/// An agent that looks at a runner, but does not know yet what runs there.
fn watching(control: Arc<RunnerHandle>) -> Arc<NodeShared> {
    let shared = Arc::new(NodeShared::new(control));
    shared.state().on_heartbeat(registered_runner(4_000, 4_000, 1));
    shared.state().admit(LinkStamp { epoch: 1, link: 1 }).unwrap();
    spawn_runner_poller(shared.clone());
    shared
}

/// Tells the agent what runs on its runner.
fn describe(shared: &NodeShared) {
    let mut state = shared.state();
    for told in [traits("s.0.0.0", TARGET_MS), traits("f.0.0.0", 0)] {
        state.traits.insert(told.task.clone(), told);
    }
}

/// The pace that the agent believes in.
fn believed(shared: &NodeShared) -> u32 {
    shared.state().pace.ordered_percent(&("f.0.0.0".parse().unwrap(), 1))
}

/// Waits until the fill is at work at a pace in which the agent believes as well.
async fn until_paced(runner: &RunnerHandle, shared: &NodeShared, percent: u32) {
    let waiting = async {
        while (runner.0.pace(), believed(shared)) != (percent, percent) {
            sleep(LOOK).await;
        }
    };
    let is_paced = timeout(LIMIT, waiting).await.is_ok();
    assert!(is_paced, "at work {}, believed {}", runner.0.pace(), believed(shared));
}

/// Guards against a fill that stands still for good: a pace without an answer was carried out after a newer one, in which the agent
/// believed from then on.
#[tokio::test]
async fn a_pace_without_an_answer_that_is_carried_out_after_newer_ones_is_mended() {
    let is_first = AtomicBool::new(true);
    let late = Duration::from_secs(4);
    let runner = PacedRunner::open(100, HARMED_TAIL_MS, move |runner, _| {
        runner.set_tail(QUIET_TAIL_MS);
        match is_first.swap(false, Ordering::Relaxed) {
            true => PaceFate::Unanswered(late),
            false => PaceFate::AtOnce,
        }
    });
    let shared = watching(runner.clone());
    describe(&shared);
    sleep(late + MENDED_AFTER).await;
    until_paced(&runner, &shared, 100).await;
}

/// Guards against a fill that goes on harming a task: a rise that took some time was carried out after the cut that followed it.
#[tokio::test]
async fn a_pace_that_a_newer_one_has_overtaken_is_mended() {
    let has_risen = AtomicBool::new(false);
    let runner = PacedRunner::open(100, HARMED_TAIL_MS, move |runner, percent| {
        if percent > runner.pace() && !has_risen.swap(true, Ordering::Relaxed) {
            runner.set_tail(HARMED_TAIL_MS);
            return PaceFate::Slow(Duration::from_millis(350));
        }
        if percent == 0 && !has_risen.load(Ordering::Relaxed) {
            runner.set_tail(QUIET_TAIL_MS);
        }
        PaceFate::AtOnce
    });
    let shared = watching(runner.clone());
    describe(&shared);
    sleep(2 * MENDED_AFTER).await;
    until_paced(&runner, &shared, 0).await;
}

/// Guards against a fill that stands still for good: an agent that was killed had paced it down, and the next one took it for
/// unpaced.
#[tokio::test]
async fn an_agent_that_is_new_orders_the_pace_of_what_runs_already() {
    let runner = PacedRunner::open(0, QUIET_TAIL_MS, |_, _| PaceFate::AtOnce);
    let shared = watching(runner.clone());
    // The planner describes what an agent has shown.
    sleep(3 * LOOK).await;
    describe(&shared);
    // It rises in parts.
    until_paced(&runner, &shared, 100).await;
}
