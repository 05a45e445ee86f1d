//! Connections between agents and their runners: each belongs to the life that accepted it, and ends with that life.

use greengagearch::connection::instance_connection::InstanceConnection;
use greengagearch::connection::instance_connection::UnidentifiedConnection;

use super::*;

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
        let one = &mut self.agents[agent];
        let (is_alive, life) = (one.life.is_alive, one.life.name.clone());
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
}
