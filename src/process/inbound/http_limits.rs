//! Limits on the connections and requests of a listener.

use std::time::Duration;

/// Limits of a listener. A connection keeps those that were in force when it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest time for a peer to send the head of a request, from its first byte.
    pub header_timeout: Duration,
    /// Longest time between two requests of a connection, and for a peer to take the next bytes of a
    /// response.
    pub idle_timeout: Duration,
    /// Longest time between two pieces of a request body.
    pub body_timeout: Duration,
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Connections of the listener that are open at once. One more closes the one that has waited
    /// longest for its peer.
    pub connections: usize,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            header_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(15),
            head_bytes: 16_384,
            connections: 2_000,
        }
    }
}
