//! Starts of which a try has no answer: what refusals, stops and looks tell of them.

mod linked_agent;

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::connection::node_protocol::RunnerSnapshot;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::external::runner_control::RunnerTarget;
use greengagearch::process::node::pending_start::StartStep;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::begun_run;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::plain_traits;
use crate::linked_agent::registered_runner;
use crate::linked_agent::start_order;

const STAMP: LinkStamp = LinkStamp { epoch: 3, link: 1 };
const TASK: &str = "a.0.0.0";
const ROOM: ResourceVector = ResourceVector { millicores: 400, memory_mib: 100, accelerators: 0 };

/// An agent with a runner, a planner, a lease and one order to start.
struct Agent {
    state: NodeState,
    now: Instant,
    key: RunKey,
}

impl Agent {
    fn with_start(is_repeat: bool) -> Agent {
        let now = Instant::now();
        let mut agent = Agent { state: NodeState::new(now), now, key: (TASK.parse().unwrap(), 1) };
        agent.beat(1, false);
        agent.state.admit(STAMP).unwrap();
        agent.look(Vec::new());
        agent.state.on_sync(&lease_call(STAMP, LONG_LEASE));
        agent.order(is_repeat);
        agent
    }

    fn order(&mut self, is_repeat: bool) {
        let order = start_order(plain_traits(TASK, ROOM), is_repeat);
        assert!(self.state.accept_start(&order, self.now));
    }

    fn beat(&mut self, sequence: u64, draining: bool) {
        let mut runner = registered_runner(1_000, 1_000, sequence);
        runner.status.draining = draining;
        self.state.on_heartbeat(runner);
    }

    fn target(&self) -> RunnerTarget {
        self.state.target().unwrap()
    }

    fn next_step(&mut self) -> StartStep {
        self.state.next_step(&self.target(), &self.key, &ROOM, self.now)
    }

    /// Sends a try, which is answered so.
    fn try_start(&mut self, answer: Result<(), RunnerError>) {
        let target = self.target();
        let sent = self.state.begin_attempt(&target, &self.key, &ROOM, self.now);
        assert!(sent.is_some(), "nothing speaks against the start");
        self.state.on_start_response(&target, &self.key, &answer, self.now);
    }

    fn try_stop(&mut self, answer: Result<(), RunnerError>) {
        let target = self.target();
        assert!(self.is_stop_due());
        self.state.on_stop_response(&target, &self.key, &answer);
    }

    fn is_stop_due(&self) -> bool {
        self.state.stop_target(&self.target(), &self.key).is_some()
    }

    /// A look that shows these runs, and what the planner is told of it.
    fn look(&mut self, running: Vec<PresentRun>) -> RunnerSnapshot {
        look_at(&mut self.state, running, 0, self.now);
        self.state.report(self.now).snapshot.unwrap()
    }
}

fn silence() -> Result<(), RunnerError> {
    Err(RunnerError::NoAnswer { is_broken: false, reason: String::new() })
}

fn refusal(reason: RejectReason) -> Result<(), RunnerError> {
    Err(RunnerError::Rejected { reason })
}

/// Guards against a task that runs twice: the refusal of a repeat was taken for the fate of a start that was carried out late.
#[test]
fn a_refused_repeat_does_not_settle_a_start_without_an_answer() {
    for reason in [RejectReason::Unwell, RejectReason::Room, RejectReason::Ticket] {
        let mut agent = Agent::with_start(false);
        agent.try_start(silence());
        agent.try_start(refusal(reason));
        let look = agent.look(Vec::new());
        assert_eq!((look.present.len(), look.rejected.len()), (1, 0), "{reason:?}");

        agent.now += Duration::from_millis(1_100);
        assert_eq!(agent.next_step(), StartStep::Stop(reason));
        agent.try_stop(refusal(RejectReason::Unwell));
        assert_eq!(agent.look(Vec::new()).present.len(), 1, "the stop was not taken: {reason:?}");

        agent.try_stop(Ok(()));
        let look = agent.look(Vec::new());
        assert_eq!((look.present.len(), look.rejected.len()), (0, 1), "{reason:?}");
        assert_eq!(look.rejected[0].reason, reason);
    }
}

/// Guards against a task that waits for nothing: a refusal is told at once where no try can be carried out any more.
#[test]
fn a_refused_first_try_is_told_with_the_next_look() {
    let mut agent = Agent::with_start(false);
    agent.try_start(refusal(RejectReason::Unwell));
    assert_eq!(agent.next_step(), StartStep::Finished(Some(RejectReason::Unwell)));
    assert!(!agent.is_stop_due());
    let look = agent.look(Vec::new());
    assert_eq!((look.present.len(), look.rejected.len()), (0, 1));
}

/// Guards against a task that runs twice: the planner may order a run twice over one link, and gives it up when the first order is refused.
#[test]
fn an_order_that_comes_after_its_refusal_was_told_is_refused_again() {
    let mut agent = Agent::with_start(false);
    agent.try_start(refusal(RejectReason::Unwell));
    assert_eq!(agent.look(Vec::new()).rejected.len(), 1);
    agent.order(true);
    assert_eq!(agent.next_step(), StartStep::Finished(Some(RejectReason::Unwell)));
    assert_eq!(agent.look(Vec::new()).rejected.len(), 1);
}

/// Guards against work that is thrown away: a run that a look shows has begun, whatever later tries were answered.
#[test]
fn a_start_that_a_look_shows_is_neither_repeated_nor_refused() {
    let mut agent = Agent::with_start(false);
    agent.try_start(silence());
    agent.try_start(refusal(RejectReason::Unwell));
    let begun = begun_run(TASK);
    let look = agent.look(vec![begun]);
    assert_eq!((look.present.len(), look.rejected.len()), (1, 0));
    agent.now += Duration::from_secs(2);
    assert_eq!(agent.next_step(), StartStep::Finished(None));
    assert!(!agent.is_stop_due());
}

/// Guards against a run that goes on after its stop: an unwell runner that refuses a stop has not taken it.
#[test]
fn a_refused_stop_is_sent_again() {
    let mut agent = Agent::with_start(false);
    agent.try_start(Ok(()));
    let begun = begun_run(TASK);
    agent.look(vec![begun.clone()]);
    let key = agent.key.clone();
    assert!(agent.state.accept_stop(&key));
    agent.try_stop(refusal(RejectReason::Unwell));
    agent.try_stop(Err(RunnerError::Fenced));
    agent.look(vec![begun]);
    assert!(agent.is_stop_due());
    assert!(!agent.state.accept_stop(&key), "it is still being sent");
    agent.try_stop(Ok(()));
    assert!(!agent.is_stop_due());
}

/// Guards against a run that goes on after its job was cancelled: its planner is replaced before the runner has taken the stop.
#[test]
fn a_stop_is_sent_until_it_is_taken_also_when_its_planner_was_replaced() {
    let mut agent = Agent::with_start(false);
    agent.try_start(Ok(()));
    let begun = begun_run(TASK);
    agent.look(vec![begun.clone()]);
    let key = agent.key.clone();
    assert!(agent.state.accept_stop(&key));
    agent.try_stop(silence());

    let ordered_for = agent.target();
    agent.state.admit(LinkStamp { epoch: STAMP.epoch + 1, link: 1 }).unwrap();
    let target = agent.state.stop_target(&ordered_for, &key);
    assert_eq!(target.map(|target| target.epoch), Some(STAMP.epoch + 1));
    agent.state.on_stop_response(&ordered_for, &key, &Ok(()));
    agent.look(vec![begun]);
    assert!(!agent.is_stop_due());
}

/// Guards against a start that leaves seconds after its stop: it waits for its turn while others hang, and the stop does not.
#[test]
fn a_start_that_was_stopped_while_it_waited_for_its_turn_does_not_leave() {
    let mut agent = Agent::with_start(false);
    assert_matches!(agent.next_step(), StartStep::Send);
    let key = agent.key.clone();
    agent.state.accept_stop(&key);
    agent.try_stop(Ok(()));
    let target = agent.target();
    assert_eq!(agent.state.begin_attempt(&target, &key, &ROOM, agent.now), None);
    assert_eq!(agent.next_step(), StartStep::Finished(None));
}

/// Guards against a task that runs twice: a stop that the runner has not taken does not rule out that a late start begins.
#[test]
fn a_stopped_start_without_an_answer_counts_as_present_until_the_stop_is_taken() {
    let mut agent = Agent::with_start(false);
    agent.try_start(silence());
    let key = agent.key.clone();
    agent.state.accept_stop(&key);
    assert_eq!(agent.next_step(), StartStep::Finished(None));
    assert_eq!(agent.look(Vec::new()).present.len(), 1);
    agent.try_stop(silence());
    assert_eq!(agent.look(Vec::new()).present.len(), 1);
    agent.try_stop(Ok(()));
    assert!(agent.look(Vec::new()).present.is_empty());
}

/// Guards against a task that runs twice: an agent that is new knows of no try of the one before it, which may be carried out late.
#[test]
fn a_start_that_was_ordered_before_is_not_refused_without_a_stop() {
    let mut agent = Agent::with_start(true);
    agent.beat(2, true);
    assert_eq!(agent.next_step(), StartStep::Stop(RejectReason::Leaving));
    assert_eq!(agent.look(Vec::new()).present.len(), 1);

    let mut agent = Agent::with_start(true);
    agent.try_start(refusal(RejectReason::Room));
    assert_eq!(agent.next_step(), StartStep::Stop(RejectReason::Room));

    let mut agent = Agent::with_start(true);
    agent.now += Duration::from_secs(10);
    assert_eq!(agent.next_step(), StartStep::Stop(RejectReason::Late));
}

/// Guards against a task that stands still: a runner that says that the run can no longer begin has settled all its tries.
#[test]
fn a_repeat_that_is_refused_as_old_settles_a_start_without_an_answer() {
    let mut agent = Agent::with_start(false);
    agent.try_start(silence());
    agent.try_start(refusal(RejectReason::Old));
    assert_eq!(agent.next_step(), StartStep::Finished(Some(RejectReason::Old)));
    let look = agent.look(Vec::new());
    assert_eq!((look.present.len(), look.rejected.len()), (0, 1));
}
