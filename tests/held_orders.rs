//! Orders that are held up on their way for longer than a lease: the planner has given up what they start by then.

mod linked_agent;
mod planning;

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::LeaseGrant;
use greengagearch::connection::node_protocol::LinkStamp;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::OrderLease;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::process::node::pending_start::StartStep;
use greengagearch::process::node::state::NodeState;
use greengagearch::workflow::grant::expired_by;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::worker_inventory::RunKey;

use crate::linked_agent::LONG_LEASE;
use crate::linked_agent::lease_call;
use crate::linked_agent::look_at;
use crate::linked_agent::registered_runner;
use crate::planning::PlannedFleet;
use crate::planning::job;
use crate::planning::step;

const LIFE: &str = "i-1";
const FIRST_LINK: LinkStamp = LinkStamp { epoch: 3, link: 1 };
const SECOND_LINK: LinkStamp = LinkStamp { epoch: 3, link: 2 };
/// Longer than any lease, with what clocks may differ by.
const OUTAGE: Duration = Duration::from_secs(11);

/// A planner and one agent, whose messages the test carries.
struct LinkedFleet {
    fleet: PlannedFleet,
    agent: NodeState,
}

impl LinkedFleet {
    /// Both are linked, and the agent has a lease.
    fn open() -> LinkedFleet {
        let fleet = PlannedFleet::new(&[LIFE]);
        let mut agent = NodeState::new(fleet.started);
        agent.on_heartbeat(registered_runner(4_000, 4_000, 1));
        agent.admit(FIRST_LINK).unwrap();
        let mut linked = LinkedFleet { fleet, agent };
        linked.look();
        linked.grant(FIRST_LINK);
        linked
    }

    fn now(&self) -> Instant {
        self.fleet.now()
    }

    fn look(&mut self) {
        let now = self.now();
        look_at(&mut self.agent, Vec::new(), 0, now);
    }

    /// The planner grants a lease from now on, and the agent hears of it at once.
    fn grant(&mut self, stamp: LinkStamp) {
        let (since, now) = (self.fleet.clock, self.now());
        let grant = LeaseGrant { since, span: LONG_LEASE };
        let granted = OrderLease { link: stamp.link, end: since + LONG_LEASE };
        let expired = expired_by(now, LONG_LEASE);
        self.fleet.planner.on_grant(LIFE, expired, (granted, now + LONG_LEASE));
        self.agent.on_sync(&SyncCall { grant: Some(grant), ..lease_call(stamp, LONG_LEASE) });
    }

    /// The order to start the only task of a new job; it is on its way.
    fn start_on_its_way(&mut self) -> StartOrder {
        self.fleet.submit("a", job(vec![step(1, 400)]));
        self.fleet.plan();
        let mut orders = self.fleet.planner.take_orders().into_iter();
        let start = orders.find_map(|(_, order)| match order {
            NodeOrder::Start(start) => Some(start),
            _ => None,
        });
        start.expect("the task is started")
    }

    /// Time passes in which nothing comes through, until the planner gives the worker up.
    fn lose_worker(&mut self) {
        self.fleet.pass(OUTAGE);
        self.fleet.planner.on_tick();
        let decisions = self.fleet.planner.take_decisions();
        assert!(decisions.iter().any(|one| matches!(one, PlanDecision::WorkerLost { .. })));
    }

    fn receive(&mut self, start: &StartOrder) {
        let now = self.now();
        self.agent.accept_start(start, now);
        self.agent.on_orders(0, 1);
    }

    /// Whether the start leaves for the runner.
    fn is_sent(&mut self, start: &StartOrder) -> bool {
        let (now, room) = (self.now(), start.traits.resources);
        let key: RunKey = (start.traits.task.clone(), start.run);
        let target = self.agent.target().unwrap();
        let step = self.agent.next_step(&target, &key, &room, now);
        let attempt = self.agent.begin_attempt(&target, &key, &room, now);
        matches!(step, StartStep::Send) || attempt.is_some()
    }
}

/// Guards against a task that runs twice at once: a start that was held up comes over the old link, and is carried out under the
/// lease of the new one. Its run has been given up with its worker meanwhile.
#[test]
fn a_start_that_outlives_its_lease_on_the_way_is_not_carried_out_under_the_next() {
    let mut linked = LinkedFleet::open();
    let start = linked.start_on_its_way();
    linked.lose_worker();
    linked.receive(&start);
    linked.agent.admit(SECOND_LINK).unwrap();
    linked.look();
    linked.grant(SECOND_LINK);
    assert!(!linked.is_sent(&start));
}

/// Guards against the same where the planner stood still between the decision and the sending, and its link goes on.
#[test]
fn a_start_that_was_decided_before_the_planner_stood_still_is_not_carried_out() {
    let mut linked = LinkedFleet::open();
    let start = linked.start_on_its_way();
    linked.lose_worker();
    linked.look();
    linked.grant(FIRST_LINK);
    linked.receive(&start);
    assert!(!linked.is_sent(&start));
}

/// Guards against starts that are given up without need: the lease that they were ordered under goes on.
#[test]
fn a_start_is_carried_out_as_long_as_its_lease_goes_on() {
    let mut linked = LinkedFleet::open();
    let start = linked.start_on_its_way();
    linked.fleet.pass(Duration::from_secs(8));
    linked.look();
    linked.receive(&start);
    assert!(linked.is_sent(&start));
}

/// Guards against a task that runs twice at once: an earlier agent may have sent the start, and the order that repeats it over the
/// next link was given under the lease of the link before. The run must not count as absent before a stop has ruled it out.
#[test]
fn a_repeated_start_under_the_lease_of_another_link_stays_present_until_it_is_stopped() {
    let mut linked = LinkedFleet::open();
    let start = linked.start_on_its_way();
    linked.agent.admit(SECOND_LINK).unwrap();
    linked.look();
    linked.grant(SECOND_LINK);
    let repeat = StartOrder { is_repeat: true, ..start.clone() };
    linked.receive(&repeat);
    assert!(!linked.is_sent(&repeat));
    linked.look();
    let now = linked.now();
    let present = linked.agent.report(now).snapshot.unwrap().present;
    assert_eq!(present.len(), 1);
    let key: RunKey = (start.traits.task.clone(), start.run);
    let target = linked.agent.target().unwrap();
    assert!(linked.agent.stop_target(&target, &key).is_some(), "it is being stopped");
}
