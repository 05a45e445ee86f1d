//! Faults of long soaks: those of the short ones, in other shares, and such that hit several hosts at once.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::soak::faults::FaultPlayer;
use crate::soak::faults::Follower;
use crate::soak::faults::Mend;
use crate::soak::faults::RunnerCrash;
use crate::soak::faults::SLOWEST_CLOCK;

/// Most crashes of a runner in one series.
const MOST_CRASHES: usize = 4;
/// Longest time between two of them.
const CRASH_PAUSE_MILLIS: u64 = 1_500;

impl FaultPlayer {
    pub(super) async fn strike_long(&mut self) {
        let planner = self.rng.random_range(0..self.scale.planners);
        let node = self.rng.random_range(0..self.scale.nodes);
        let text = match self.rng.random_range(0..28) {
            0 => self.pause_planner(planner).await,
            1..=4 => self.pause_agent(node).await,
            5 => self.pause_other_planners(planner).await,
            6 => self.kill_planner(planner).await,
            7 => self.kill_agent(node).await,
            8 => self.stop_planner(planner).await,
            9..=11 => self.crash_in_series(node),
            12 => self.break_planner_line(planner).await,
            13..=16 => self.break_agent_line(node).await,
            17 | 18 => self.break_domain_lines(node % self.scale.domains).await,
            19 => self.break_store(planner, false).await,
            20 => self.break_store(planner, true).await,
            21 => self.drop_history().await,
            22 => self.hold_up_orders(node).await,
            23 => self.lose_answers(node).await,
            24 => self.refuse_calls(node).await,
            25 => self.drain_runner(node).await,
            _ => self.configure().await,
        };
        self.shared.tell(text);
    }

    async fn pause_other_planners(&mut self, left: usize) -> String {
        let mut text = format!("all planners but {left} stand still");
        for planner in (0..self.scale.planners).filter(|planner| *planner != left) {
            text.push_str("; ");
            text.push_str(&self.pause_planner(planner).await);
        }
        text
    }

    /// A runner is killed and back at once, several times.
    fn crash_in_series(&mut self, node: usize) -> String {
        let count = self.rng.random_range(1..=MOST_CRASHES);
        let mut at = Instant::now();
        for _ in 0..count {
            let speed = self.rng.random_range(SLOWEST_CLOCK..=1.0);
            let pause = Duration::from_millis(self.rng.random_range(10..300));
            self.followers.push((at, Follower::Crash(RunnerCrash { node, speed, pause })));
            at += Duration::from_millis(self.rng.random_range(100..CRASH_PAUSE_MILLIS));
        }
        format!("runner {node} crashes {count} times and starts again")
    }

    /// One fault of the lines to all agents of a failure domain; each ends by itself.
    async fn break_domain_lines(&mut self, domain: usize) -> String {
        let fault = self.draw_line_fault();
        let mut text = format!("lines of the planner to domain {domain}: {fault:?}");
        for node in (domain..self.scale.nodes).step_by(self.scale.domains) {
            let span = self.later(Mend::AgentLine(node));
            self.shared.cluster.lock().await.nodes[node].line.set_fault(fault);
            text.push_str(&format!(", agent {node} for {span:?}"));
        }
        text
    }

    /// A runner says that it leaves, and does.
    async fn drain_runner(&mut self, node: usize) -> String {
        let span = self.later(Mend::Drain(node));
        self.shared.cluster.lock().await.nodes[node].runner.present().drain();
        format!("runner {node} drains for {span:?} and starts again")
    }
}
