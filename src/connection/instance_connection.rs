//! Connections to a runner, each of which belongs to one of its instances.
//!
//! The instances of a runner may follow each other at one address and under one id, so neither
//! keeps a call from reaching a later instance than the one that it was decided for. A connection
//! does: it ends with the process that has accepted it. A call on a connection on which the
//! intended instance has responded reaches that instance or none, however long its sender was
//! suspended before it wrote the call.

use std::collections::VecDeque;

use crate::ids::InstanceId;

/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// A connection to an instance that has not been identified yet. Only calls that may be carried out
/// by any instance are sent on it.
#[derive(Debug)]
pub struct UnidentifiedConnection<C> {
    connection: C,
}

/// A connection on which an instance has responded.
#[derive(Debug)]
pub struct InstanceConnection<C> {
    instance: InstanceId,
    connection: C,
}

/// Idle connections to one runner.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    /// The one that was used last is at the back.
    idle: VecDeque<InstanceConnection<C>>,
}

impl<C> UnidentifiedConnection<C> {
    /// Wraps a connection that has just been opened.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// assert_eq!(UnidentifiedConnection::new("socket").identify("i-1@5".into()).instance(), "i-1@5");
    /// ```
    pub fn new(connection: C) -> UnidentifiedConnection<C> {
        UnidentifiedConnection { connection }
    }

    /// Returns the connection, for a call that any instance may carry out.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// assert_eq!(*UnidentifiedConnection::new("socket").get_mut(), "socket");
    /// ```
    pub fn get_mut(&mut self) -> &mut C {
        &mut self.connection
    }

    /// Binds the connection to the instance that has responded on it.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// assert_eq!(UnidentifiedConnection::new("socket").identify("i-1@5".into()).instance(), "i-1@5");
    /// ```
    pub fn identify(self, instance: InstanceId) -> InstanceConnection<C> {
        InstanceConnection { instance, connection: self.connection }
    }
}

impl<C> InstanceConnection<C> {
    /// Returns the instance to which the connection belongs.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// assert_eq!(UnidentifiedConnection::new("socket").identify("i-1@5".into()).instance(), "i-1@5");
    /// ```
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the connection, for a call to this instance.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// let mut connection = UnidentifiedConnection::new("socket").identify("i-1@5".into());
    /// assert_eq!(*connection.get_mut(), "socket");
    /// ```
    pub fn get_mut(&mut self) -> &mut C {
        &mut self.connection
    }
}

impl<C> Default for ConnectionPool<C> {
    fn default() -> ConnectionPool<C> {
        ConnectionPool { idle: VecDeque::new() }
    }
}

impl<C> ConnectionPool<C> {
    /// Takes an idle connection to an instance.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::ConnectionPool;
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// let mut pool = ConnectionPool::default();
    /// pool.put(UnidentifiedConnection::new("socket").identify("i-1@5".into()));
    /// assert!(pool.take(&"i-1@9".into()).is_none());
    /// assert!(pool.take(&"i-1@5".into()).is_some());
    /// ```
    pub fn take(&mut self, instance: &InstanceId) -> Option<InstanceConnection<C>> {
        let position = self.idle.iter().rposition(|idle| idle.instance == *instance)?;
        self.idle.remove(position)
    }

    /// Takes an idle connection to any instance, to find out whether it still responds.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::ConnectionPool;
    ///
    /// assert!(ConnectionPool::<&str>::default().take_any().is_none());
    /// ```
    pub fn take_any(&mut self) -> Option<UnidentifiedConnection<C>> {
        self.idle.pop_back().map(|idle| UnidentifiedConnection::new(idle.connection))
    }

    /// Returns a connection if it belongs to the intended instance, and otherwise keeps it.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::ConnectionPool;
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// let mut pool = ConnectionPool::default();
    /// let connection = UnidentifiedConnection::new("socket").identify("i-1@9".into());
    /// assert!(pool.select(connection, &"i-1@5".into()).is_none());
    /// assert!(pool.take(&"i-1@9".into()).is_some());
    /// ```
    pub fn select(
        &mut self,
        connection: InstanceConnection<C>,
        intended: &InstanceId,
    ) -> Option<InstanceConnection<C>> {
        if connection.instance == *intended {
            return Some(connection);
        }
        self.put(connection);
        None
    }

    /// Keeps an idle connection. The one that was idle for longest is closed if there are too many.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::ConnectionPool;
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// let mut pool = ConnectionPool::default();
    /// pool.put(UnidentifiedConnection::new("socket").identify("i-1@5".into()));
    /// assert!(pool.take(&"i-1@5".into()).is_some());
    /// ```
    pub fn put(&mut self, connection: InstanceConnection<C>) {
        self.idle.push_back(connection);
        if self.idle.len() > MAX_IDLE_CONNECTIONS {
            self.idle.pop_front();
        }
    }

    /// Closes the idle connections that are not usable.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::ConnectionPool;
    /// use greengagearch::connection::instance_connection::UnidentifiedConnection;
    ///
    /// let mut pool = ConnectionPool::default();
    /// pool.put(UnidentifiedConnection::new("socket").identify("i-1@5".into()));
    /// pool.retain(|_| false);
    /// assert!(pool.take_any().is_none());
    /// ```
    pub fn retain(&mut self, is_usable: impl Fn(&C) -> bool) {
        self.idle.retain(|idle| is_usable(&idle.connection));
    }

    /// Closes all idle connections.
    ///
    /// ```
    /// use greengagearch::connection::instance_connection::ConnectionPool;
    ///
    /// ConnectionPool::<&str>::default().clear();
    /// ```
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
