//! Decides which connection is closed when connections or memory run short.
//!
//! A connection that waits for its peer can be closed, one whose request the process works on
//! cannot. The one that has waited longest in its present phase goes first: an ordinary peer leaves
//! each phase soon, whatever a crowd of others does beside it.

use std::collections::HashMap;
use std::time::Instant;

/// Number of a connection, unique in its process.
pub type ConnectionNumber = u64;
/// Number of a listener in its process.
pub type ListenerNumber = usize;

/// Memory in bytes of a connection that has sent nothing: its task and its first read buffer.
pub const CONNECTION_BYTES: u64 = 12 * 1_024;
/// One part in this many of the memory for connections is kept from idle ones, for requests.
const IDLE_SHARE: u64 = 2;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Waits for a request.
    Idle,
    /// Receives the head of a request.
    Head,
    /// Waits for more of a request body.
    Body,
    /// The process works on the request.
    Working,
    /// Sends a response.
    Answering,
    /// Discards the unread rest of a request, so that the peer gets the response.
    Closing,
}

impl ConnectionPhase {
    fn waits_for_peer(self) -> bool {
        self != ConnectionPhase::Working
    }

    fn is_request_unfinished(self) -> bool {
        matches!(self, ConnectionPhase::Head | ConnectionPhase::Body)
    }
}

/// Limits on all connections of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Connections that are open at once.
    pub connections: usize,
    /// Memory in bytes of connections and of requests that are not answered yet.
    pub bytes: u64,
}

/// A connection that must give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEviction {
    /// It is closed.
    Close(ConnectionNumber),
    /// Its request is refused, and it is closed as soon as the response is sent.
    Refuse(ConnectionNumber),
}

/// There is no room, and nothing that could give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    listener: ListenerNumber,
    phase: ConnectionPhase,
    /// When the phase began.
    since: Instant,
    /// Memory of its request in bytes.
    held_bytes: u64,
}

/// All connections of a process.
#[derive(Debug)]
pub struct ConnectionLedger {
    limits: LedgerLimits,
    entries: HashMap<ConnectionNumber, ConnectionEntry>,
    /// Connections of each listener.
    counts: HashMap<ListenerNumber, usize>,
    last_number: ConnectionNumber,
    held_bytes: u64,
}

impl ConnectionLedger {
    /// Creates a ledger without connections. Idle connections get half of the memory at most, so
    /// that the limit on connections may be lowered.
    ///
    /// ```
    /// use greengagearch::process::inbound::connection_ledger::ConnectionLedger;
    /// use greengagearch::process::inbound::connection_ledger::LedgerLimits;
    ///
    /// let ledger = ConnectionLedger::new(LedgerLimits { connections: 8, bytes: 1_000_000 });
    /// assert_eq!(ledger.connections(), 0);
    /// ```
    pub fn new(limits: LedgerLimits) -> ConnectionLedger {
        let affordable = limits.bytes / IDLE_SHARE / CONNECTION_BYTES;
        let affordable = usize::try_from(affordable).unwrap_or(usize::MAX).max(1);
        let connections = limits.connections.min(affordable);
        ConnectionLedger {
            limits: LedgerLimits { connections, ..limits },
            entries: HashMap::new(),
            counts: HashMap::new(),
            last_number: 0,
            held_bytes: 0,
        }
    }

    /// Number of connections.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let ledger = ConnectionLedger::new(LedgerLimits { connections: 8, bytes: 1_000_000 });
    /// assert_eq!(ledger.connections(), 0);
    /// ```
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Memory of connections and requests in bytes.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 8, bytes: 1_000_000 });
    /// ledger.open(0, 8, std::time::Instant::now()).unwrap();
    /// assert_eq!(ledger.used_bytes(), CONNECTION_BYTES);
    /// ```
    pub fn used_bytes(&self) -> u64 {
        self.entries.len() as u64 * CONNECTION_BYTES + self.held_bytes
    }

    /// Adds a connection to a listener that may have `listener_limit` of them. Returns its number
    /// and the connection that gives way to it.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the process works on requests of all others.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let now = std::time::Instant::now();
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 8, bytes: 1_000_000 });
    /// let (first, _) = ledger.open(0, 1, now).unwrap();
    /// let (_, evicted) = ledger.open(0, 1, now).unwrap();
    /// assert_eq!(evicted, Some(ConnectionEviction::Close(first)));
    /// ```
    pub fn open(
        &mut self,
        listener: ListenerNumber,
        listener_limit: usize,
        now: Instant,
    ) -> Result<(ConnectionNumber, Option<ConnectionEviction>), NoRoom> {
        let count = self.counts.get(&listener).copied().unwrap_or(0);
        let evicted = if count >= listener_limit {
            Some(self.evict(|_, entry| entry.listener == listener && entry.phase.waits_for_peer())?)
        } else if self.entries.len() >= self.limits.connections {
            Some(self.evict(|_, entry| entry.phase.waits_for_peer())?)
        } else {
            None
        };
        self.last_number += 1;
        let phase = ConnectionPhase::Idle;
        let entry = ConnectionEntry { listener, phase, since: now, held_bytes: 0 };
        self.entries.insert(self.last_number, entry);
        *self.counts.entry(listener).or_default() += 1;
        Ok((self.last_number, evicted))
    }

    /// Notes that a connection begins a phase. Does nothing for one that was evicted.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let now = std::time::Instant::now();
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 1, bytes: 1_000_000 });
    /// let (number, _) = ledger.open(0, 1, now).unwrap();
    /// ledger.begin_phase(number, ConnectionPhase::Working, now);
    /// assert_eq!(ledger.open(0, 1, now), Err(NoRoom));
    /// ```
    pub fn begin_phase(&mut self, number: ConnectionNumber, phase: ConnectionPhase, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.phase = phase;
            entry.since = now;
        }
    }

    /// Adds memory to the request of a connection. Returns the connections that give way to it:
    /// those that have sent the unfinished part of a request and then waited longest.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if that is not enough, or the connection itself was evicted.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let now = std::time::Instant::now();
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 1, bytes: 1_000_000 });
    /// let (number, _) = ledger.open(0, 1, now).unwrap();
    /// assert_eq!(ledger.hold(number, 500_000), Ok(Vec::new()));
    /// assert_eq!(ledger.hold(number, 500_000), Err(NoRoom));
    /// ```
    pub fn hold(
        &mut self,
        number: ConnectionNumber,
        bytes: u64,
    ) -> Result<Vec<ConnectionEviction>, NoRoom> {
        if !self.entries.contains_key(&number) {
            return Err(NoRoom);
        }
        let mut evicted = Vec::new();
        while self.used_bytes() + bytes > self.limits.bytes {
            let gives_way = |other: ConnectionNumber, entry: &ConnectionEntry| {
                other != number && entry.held_bytes > 0 && entry.phase.is_request_unfinished()
            };
            evicted.push(self.evict(gives_way)?);
        }
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        Ok(evicted)
    }

    /// Releases the memory of a connection's request.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let now = std::time::Instant::now();
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 1, bytes: 1_000_000 });
    /// let (number, _) = ledger.open(0, 1, now).unwrap();
    /// ledger.hold(number, 500_000).unwrap();
    /// ledger.release(number);
    /// assert_eq!(ledger.used_bytes(), CONNECTION_BYTES);
    /// ```
    pub fn release(&mut self, number: ConnectionNumber) {
        if let Some(entry) = self.entries.get_mut(&number) {
            self.held_bytes -= std::mem::take(&mut entry.held_bytes);
        }
    }

    /// Removes a connection.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let now = std::time::Instant::now();
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 1, bytes: 1_000_000 });
    /// let (number, _) = ledger.open(0, 1, now).unwrap();
    /// ledger.close(number);
    /// assert_eq!((ledger.connections(), ledger.used_bytes()), (0, 0));
    /// ```
    pub fn close(&mut self, number: ConnectionNumber) {
        self.release(number);
        if let Some(entry) = self.entries.remove(&number)
            && let Some(count) = self.counts.get_mut(&entry.listener)
        {
            *count -= 1;
        }
    }

    /// Evicts all connections of a listener whose request is unfinished.
    ///
    /// ```
    /// # use greengagearch::process::inbound::connection_ledger::*;
    /// let now = std::time::Instant::now();
    /// let mut ledger = ConnectionLedger::new(LedgerLimits { connections: 1, bytes: 1_000_000 });
    /// let (number, _) = ledger.open(0, 1, now).unwrap();
    /// ledger.begin_phase(number, ConnectionPhase::Head, now);
    /// assert_eq!(ledger.evict_unfinished(0), [ConnectionEviction::Close(number)]);
    /// ```
    pub fn evict_unfinished(&mut self, listener: ListenerNumber) -> Vec<ConnectionEviction> {
        let mut evicted = Vec::new();
        while let Ok(eviction) =
            self.evict(|_, entry| entry.listener == listener && entry.phase.is_request_unfinished())
        {
            evicted.push(eviction);
        }
        evicted
    }

    /// Evicts the connection that has been in its phase for longest among those that may give way.
    fn evict(
        &mut self,
        may_give_way: impl Fn(ConnectionNumber, &ConnectionEntry) -> bool,
    ) -> Result<ConnectionEviction, NoRoom> {
        let candidates =
            self.entries.iter().filter(|(number, entry)| may_give_way(**number, entry));
        let longest = candidates.min_by_key(|(number, entry)| (entry.since, **number));
        let (number, entry) = longest.ok_or(NoRoom)?;
        let (number, phase) = (*number, entry.phase);
        self.close(number);
        Ok(match phase {
            ConnectionPhase::Body => ConnectionEviction::Refuse(number),
            _ => ConnectionEviction::Close(number),
        })
    }
}
