//! Faults from outside the processes, in overlapping series, all drawn from one seed.

use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::platform_runner::RefusedCalls;
use crate::platform_runner::RunnerRefusal;
use crate::platform_store::StoreFault;
use crate::proxy::ProxyFault;
use crate::soak::SoakShared;
use crate::soak::scale::SoakKind;
use crate::soak::scale::SoakScale;

/// Longest time between two faults; they overlap.
const LONGEST_PAUSE_MILLIS: u64 = 1_800;
/// How much slower than the time a runner's clock may go.
pub(super) const SLOWEST_CLOCK: f64 = 0.98;

/// Time after which the life follows that a drain has ended.
const LEAVES_FOR: Duration = Duration::from_millis(500);

/// For how long a runner refuses calls.
const REFUSAL_MILLIS: RangeInclusive<u64> = 200..=4_000;
/// Time after which refusals follow a fault of orders: the first tries have come, and their repeats have not been answered.
const FOLLOWS_AFTER_MILLIS: RangeInclusive<u64> = 100..=1_500;

pub(crate) struct FaultPlayer {
    pub(super) shared: Arc<SoakShared>,
    pub(super) rng: StdRng,
    pub(super) scale: SoakScale,
    version: u64,
    /// What has to be mended, and when.
    pub(super) mends: Vec<(Instant, Mend)>,
    /// What is still to follow another fault, and when.
    pub(super) followers: Vec<(Instant, Follower)>,
}

/// A fault that follows another one.
pub(super) enum Follower {
    Refusal(RefusalFault),
    Crash(RunnerCrash),
}

/// The end of a runner's life; another one follows after a pause.
pub(super) struct RunnerCrash {
    pub node: usize,
    pub speed: f64,
    pub pause: Duration,
}

/// A runner that refuses calls for a time.
pub(super) struct RefusalFault {
    node: usize,
    refusal: RunnerRefusal,
    span: Duration,
}

/// How a fault ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mend {
    PlannerRuns(usize),
    AgentRuns(usize),
    PlannerLine(usize),
    AgentLine(usize),
    Store(usize),
    AllStores,
    Orders(usize),
    Calls(usize),
    /// A runner that drains leaves, and another life follows.
    Drain(usize),
}

impl fmt::Display for RefusalFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RefusalFault { node, refusal, span } = self;
        let status = refusal.status.as_u16();
        write!(f, "runner {node} refuses {:?} with {status} for {span:?}", refusal.calls)
    }
}

impl FaultPlayer {
    pub fn new(shared: Arc<SoakShared>, scale: SoakScale, seed: u64) -> FaultPlayer {
        FaultPlayer {
            shared,
            rng: StdRng::seed_from_u64(seed),
            scale,
            version: 1,
            mends: Vec::new(),
            followers: Vec::new(),
        }
    }

    /// Plays faults for a time, and mends what is broken at the end.
    pub async fn play(mut self, length: Duration) {
        let until = Instant::now() + length;
        while Instant::now() < until {
            match self.scale.kind {
                SoakKind::Short => self.strike().await,
                SoakKind::Long => self.strike_long().await,
                SoakKind::StoreCuts => self.cut_off_planners().await,
            }
            let pause = Duration::from_millis(self.rng.random_range(50..LONGEST_PAUSE_MILLIS));
            let next = Instant::now() + pause;
            while Instant::now() < next {
                self.follow(Instant::now()).await;
                self.mend(Instant::now()).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        self.mend(until + Duration::from_secs(3_600)).await;
        self.shared.tell("all faults are over".to_string());
    }

    pub(super) fn later(&mut self, mend: Mend) -> Duration {
        let millis = self.scale.draw_outage(&mut self.rng);
        let span = Duration::from_millis(millis);
        self.mends.push((Instant::now() + span, mend));
        span
    }

    async fn strike(&mut self) {
        let planner = self.rng.random_range(0..self.scale.planners);
        let node = self.rng.random_range(0..self.scale.nodes);
        let text = match self.rng.random_range(0..20) {
            0 => self.pause_planner(planner).await,
            1 => self.pause_agent(node).await,
            2 => self.kill_planner(planner).await,
            3 => self.kill_agent(node).await,
            4 => self.stop_planner(planner).await,
            5 => self.crash_runner(node).await,
            6 | 7 => self.break_planner_line(planner).await,
            8 | 9 => self.break_agent_line(node).await,
            10 => self.break_store(planner, false).await,
            11 => self.break_store(planner, true).await,
            12 => self.drop_history().await,
            13 | 14 => self.hold_up_orders(node).await,
            15 | 16 => self.lose_answers(node).await,
            17 | 18 => self.refuse_calls(node).await,
            _ => self.configure().await,
        };
        self.shared.tell(text);
    }

    pub(super) async fn pause_planner(&mut self, planner: usize) -> String {
        let span = self.later(Mend::PlannerRuns(planner));
        self.shared.cluster.lock().await.planners[planner].process.signal("STOP");
        format!("planner {planner} stands still for {span:?}")
    }

    pub(super) async fn pause_agent(&mut self, node: usize) -> String {
        let span = self.later(Mend::AgentRuns(node));
        self.shared.evacuations().note_pause(node, span);
        self.shared.cluster.lock().await.nodes[node].process.signal("STOP");
        format!("agent {node} stands still for {span:?}")
    }

    pub(super) async fn kill_planner(&mut self, planner: usize) -> String {
        self.shared.cluster.lock().await.restart_planner(planner);
        format!("planner {planner} is killed and starts again")
    }

    pub(super) async fn kill_agent(&mut self, node: usize) -> String {
        self.shared.cluster.lock().await.restart_agent(node);
        format!("agent {node} is killed and starts again")
    }

    /// A graceful stop: the process is waited for, and started again.
    pub(super) async fn stop_planner(&mut self, planner: usize) -> String {
        let mut cluster = self.shared.cluster.lock().await;
        let seat = &mut cluster.planners[planner];
        seat.process.signal("CONT");
        seat.process.signal("TERM");
        seat.process.ended().await;
        cluster.restart_planner(planner);
        format!("planner {planner} is stopped and starts again")
    }

    async fn crash_runner(&mut self, node: usize) -> String {
        let speed = self.rng.random_range(SLOWEST_CLOCK..=1.0);
        let pause = Duration::from_millis(self.rng.random_range(10..1_500));
        self.crash(RunnerCrash { node, speed, pause }).await;
        format!("runner {node} crashes and starts again")
    }

    pub(super) async fn crash(&mut self, crash: RunnerCrash) {
        let RunnerCrash { node, speed, pause } = crash;
        self.shared.cluster.lock().await.replace_runner(node, speed, pause).await;
    }

    pub(super) fn draw_line_fault(&mut self) -> ProxyFault {
        match self.rng.random_range(0..4) {
            0 => ProxyFault::Delay(Duration::from_millis(self.rng.random_range(5..300))),
            1 => ProxyFault::HoldForward,
            2 => ProxyFault::HoldBack,
            _ => ProxyFault::Cut,
        }
    }

    pub(super) async fn break_planner_line(&mut self, planner: usize) -> String {
        let fault = self.draw_line_fault();
        let span = self.later(Mend::PlannerLine(planner));
        self.shared.cluster.lock().await.planners[planner].line.set_fault(fault);
        format!("line of planner {planner} to the store: {fault:?} for {span:?}")
    }

    pub(super) async fn break_agent_line(&mut self, node: usize) -> String {
        let fault = self.draw_line_fault();
        let span = self.later(Mend::AgentLine(node));
        self.shared.cluster.lock().await.nodes[node].line.set_fault(fault);
        format!("line of the planner to agent {node}: {fault:?} for {span:?}")
    }

    /// The store misbehaves, for one entry or for all.
    pub(super) async fn break_store(&mut self, planner: usize, for_all: bool) -> String {
        let fault = match self.rng.random_range(0..5) {
            0 => StoreFault::Busy,
            1 => StoreFault::Silent,
            2 => StoreFault::LoseAnswers(self.rng.random_range(1..6)),
            3 => StoreFault::Slow(Duration::from_millis(self.rng.random_range(50..400))),
            _ => StoreFault::LateWrites(Duration::from_millis(self.rng.random_range(500..4_000))),
        };
        let span = self.later(if for_all { Mend::AllStores } else { Mend::Store(planner) });
        let cluster = self.shared.cluster.lock().await;
        let broken = cluster.planners.iter().enumerate();
        for (_, seat) in broken.filter(|(number, _)| for_all || *number == planner) {
            seat.listener.set_fault(fault);
        }
        let whom = if for_all { "all".to_string() } else { format!("planner {planner}") };
        format!("store for {whom}: {fault:?} for {span:?}")
    }

    pub(super) async fn drop_history(&mut self) -> String {
        self.shared.cluster.lock().await.store.drop_history();
        "the store drops its history".to_string()
    }

    pub(super) async fn hold_up_orders(&mut self, node: usize) -> String {
        let delay = Duration::from_millis(self.rng.random_range(500..6_000));
        let span = self.later(Mend::Orders(node));
        self.shared.cluster.lock().await.nodes[node].runner.present().set_late_orders(Some(delay));
        let follower = self.draw_follower(node);
        format!("runner {node} carries orders out {delay:?} late for {span:?}{follower}")
    }

    pub(super) async fn lose_answers(&mut self, node: usize) -> String {
        let count = self.rng.random_range(1..5);
        self.shared.cluster.lock().await.nodes[node].runner.present().lose_answers(count);
        let follower = self.draw_follower(node);
        format!("runner {node} loses {count} answers{follower}")
    }

    pub(super) async fn refuse_calls(&mut self, node: usize) -> String {
        let fault = self.draw_refusal(node);
        let text = fault.to_string();
        self.refuse(fault).await;
        text
    }

    fn draw_refusal(&mut self, node: usize) -> RefusalFault {
        let calls = match self.rng.random_range(0..3) {
            0 => RefusedCalls::All,
            1 => RefusedCalls::AllButEvery(self.rng.random_range(2..6)),
            _ => RefusedCalls::Orders,
        };
        let refusal = match self.rng.random_bool(0.5) {
            true => RunnerRefusal::busy(calls),
            false => RunnerRefusal::unavailable(calls),
        };
        let span = Duration::from_millis(self.rng.random_range(REFUSAL_MILLIS));
        RefusalFault { node, refusal, span }
    }

    /// Lets refusals follow a fault of a runner's orders, in one case of two.
    fn draw_follower(&mut self, node: usize) -> String {
        if self.rng.random_bool(0.5) {
            return String::new();
        }
        let fault = self.draw_refusal(node);
        let pause = Duration::from_millis(self.rng.random_range(FOLLOWS_AFTER_MILLIS));
        let text = format!("; {pause:?} later {fault}");
        self.followers.push((Instant::now() + pause, Follower::Refusal(fault)));
        text
    }

    /// Begins what is to follow other faults by now.
    async fn follow(&mut self, now: Instant) {
        let due: Vec<Follower> =
            self.followers.extract_if(.., |(at, _)| *at <= now).map(|(_, fault)| fault).collect();
        for fault in due {
            match fault {
                Follower::Refusal(fault) => self.refuse(fault).await,
                Follower::Crash(crash) => self.crash(crash).await,
            }
        }
    }

    async fn refuse(&mut self, fault: RefusalFault) {
        let RefusalFault { node, refusal, span } = fault;
        self.mends.push((Instant::now() + span, Mend::Calls(node)));
        let cluster = self.shared.cluster.lock().await;
        cluster.nodes[node].runner.present().refuse_calls(Some(refusal));
    }

    pub(super) async fn configure(&mut self) -> String {
        self.version += self.rng.random_range(1..4);
        self.shared.cluster.lock().await.configure(self.version, &["q", "other"]);
        format!("configuration {}", self.version)
    }

    async fn mend(&mut self, now: Instant) {
        let due: Vec<Mend> =
            self.mends.extract_if(.., |(at, _)| *at <= now).map(|(_, mend)| mend).collect();
        for mend in due {
            // A later fault of the same kind may be under way; it ends with this one.
            let mut cluster = self.shared.cluster.lock().await;
            match mend {
                Mend::PlannerRuns(planner) => cluster.planners[planner].process.signal("CONT"),
                Mend::AgentRuns(node) => cluster.nodes[node].process.signal("CONT"),
                Mend::PlannerLine(planner) => {
                    cluster.planners[planner].line.set_fault(ProxyFault::None);
                }
                Mend::AgentLine(node) => cluster.nodes[node].line.set_fault(ProxyFault::None),
                Mend::Store(planner) => {
                    cluster.planners[planner].listener.set_fault(StoreFault::None);
                }
                Mend::AllStores => {
                    cluster
                        .planners
                        .iter()
                        .for_each(|one| one.listener.set_fault(StoreFault::None));
                }
                Mend::Orders(node) => cluster.nodes[node].runner.present().set_late_orders(None),
                Mend::Drain(node) => cluster.replace_runner(node, 1.0, LEAVES_FOR).await,
                Mend::Calls(node) => cluster.nodes[node].runner.present().refuse_calls(None),
            }
        }
    }
}
