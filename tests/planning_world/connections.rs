//! Connections between agents and their runners: each belongs to the life that accepted it, and ends with that life.

use greengagearch::connection::instance_connection::InstanceConnection;
use greengagearch::connection::instance_connection::UnidentifiedConnection;

use super::schedule::runner_id;
use super::*;

/// Share of calls before which idle connections have been closed.
const CLOSED_SHARE: f64 = 0.05;
/// Share of calls that have a connection, and whose agent stands still before they leave.
const STANDSTILL_SHARE: f64 = 0.01;
/// Share of calls at which the agent has not noticed that connections have ended.
const UNNOTICED_SHARE: f64 = 0.5;

/// A connection of an agent's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LifeConnection {
    /// The life at the other end.
    pub(super) life: String,
}

impl Order {
    /// Whether any life may carry the order out.
    fn changes_nothing(&self) -> bool {
        matches!(self, Order::Hold { lease_end: None, seen: 0, .. })
    }
}

impl PlanningWorld {
    /// The connection on which a call leaves, or why it does not leave. Where lives have the same id, it belongs to the life that is
    /// meant, unless the call changes nothing.
    pub(super) fn connect(
        &mut self,
        agent: usize,
        target: &RunnerTarget,
        order: &Order,
    ) -> Result<InstanceConnection<LifeConnection>, CallAnswer> {
        let is_any = order.changes_nothing()
            || !self.has_same_ids
            || self.missing == Missing::InstanceConnections;
        let is_unnoticed = self.connection_chance(UNNOTICED_SHARE) && !is_any;
        let is_closed = self.connection_chance(CLOSED_SHARE);
        let one = &mut self.agents[agent];
        if is_closed {
            one.connections.clear();
        }
        let (is_alive, life) = (one.life.is_alive, one.life.name.clone());
        if is_unnoticed && let Some(connection) = one.connections.take(&target.instance) {
            return Ok(connection);
        }
        one.connections.retain(|connection| is_alive && connection.life == life);
        if !is_alive {
            return Err(CallAnswer::NotRunning);
        }
        let open = || UnidentifiedConnection::new(LifeConnection { life: life.clone() });
        if is_any {
            return Ok(one.connections.take_any().unwrap_or_else(open).identify(life));
        }
        if let Some(connection) = one.connections.take(&target.instance) {
            return Ok(connection);
        }
        let connection = one.connections.take_any().unwrap_or_else(open).identify(life.clone());
        one.connections.select(connection, &target.instance).ok_or(CallAnswer::OtherInstance)
    }

    /// Whether the life to which a connection belongs has ended, so that nothing comes of a call on it.
    pub(super) fn has_ended(&self, agent: usize, instance: &str) -> bool {
        let life = &self.agents[agent].life;
        !life.is_alive || life.name != instance
    }

    /// Whether a call for a life is carried out by the one to which its connection belongs.
    pub(super) fn is_taken(&self, life: &str, meant: &str) -> bool {
        match self.has_same_ids {
            true => runner_id(life) == runner_id(meant),
            false => life == meant,
        }
    }

    /// Whether a call for a life that was held up is carried out by the present one.
    pub(super) fn is_taken_late(&self, agent: usize, meant: &str) -> bool {
        let life = &self.agents[agent].life;
        life.is_alive && self.is_taken(&life.name, meant)
    }

    /// Finds a connection for a call, after which the agent may stand still before the call leaves.
    pub(super) fn stands_still_connected(
        &mut self,
        agent: usize,
        target: &RunnerTarget,
        order: &Order,
    ) -> bool {
        let is_bound = self.has_same_ids && !order.changes_nothing();
        if !is_bound || !self.connection_chance(STANDSTILL_SHARE) {
            return false;
        }
        let Ok(connection) = self.connect(agent, target, order) else {
            return false;
        };
        self.agents[agent].connections.put(connection);
        let until = self.outage_end();
        self.pause_agent(agent, until);
        true
    }

    fn connection_chance(&mut self, share: f64) -> bool {
        self.has_outages() && !self.is_calm() && self.connection_rng.random_bool(share)
    }
}
