//! Connections between agents and their runners: each belongs to the life that accepted it, and ends with that life.

use super::*;

/// A connection of an agent's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LifeConnection {
    /// The life at the other end.
    pub(super) life: String,
}

impl PlanningWorld {
    /// The connection on which a call leaves: an idle one, or a new one to the life that listens, be it the one that is meant or not.
    pub(super) fn connect(&mut self, agent: usize) -> Option<LifeConnection> {
        let one = &mut self.agents[agent];
        let (is_alive, life) = (one.life.is_alive, one.life.name.clone());
        one.connections.retain(|connection| is_alive && connection.life == life);
        is_alive.then(|| one.connections.pop().unwrap_or(LifeConnection { life }))
    }

    /// A call has been taken in; its connection is idle again.
    pub(super) fn keep_connection(&mut self, agent: usize, connection: LifeConnection) {
        self.agents[agent].connections.push(connection);
    }
}
