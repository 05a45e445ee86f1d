//! Keeps the connections of a process within its memory and descriptors.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::time::Duration;
use std::time::Instant;

use futures::task::AtomicWaker;
use log::Level;
use prometheus::IntCounterVec;

use crate::process::clock;
use crate::process::inbound::connection_ledger::ConnectionEviction;
use crate::process::inbound::connection_ledger::ConnectionLedger;
use crate::process::inbound::connection_ledger::ConnectionNumber;
use crate::process::inbound::connection_ledger::ConnectionPhase;
use crate::process::inbound::connection_ledger::LedgerLimits;
use crate::process::inbound::connection_ledger::ListenerNumber;
use crate::process::logging::log_event;
use crate::process::machine_limits::MachineLimits;
use crate::process::metrics::ProcessMetrics;

/// Most connections of a process, whatever its memory.
const MAX_CONNECTIONS: u64 = 2_000;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// One part in this many of the other descriptors is for connections that peers open; the rest is
/// for those that the process opens.
const DESCRIPTOR_SHARE: u64 = 2;
/// One part in this many of the process's memory is for connections and their requests.
const MEMORY_SHARE: u64 = 4;
/// Shortest time between two log lines about connections that were closed for the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed, or its request refused, before the peer had its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// Another connection needed its place.
    Connections,
    /// Another request needed its memory, or there is none for its own.
    Memory,
    /// The peer did not finish the head of a request in time.
    HeadTimeout,
    /// The peer sent no more of a request body.
    BodyTimeout,
    /// The peer sent a head that is malformed or too large.
    BadHead,
    /// The peer did not take its response.
    ResponseTimeout,
    /// The process stops.
    Stopping,
}

impl CloseReason {
    /// The reason as it is logged and counted.
    ///
    /// ```
    /// use greengagearch::process::inbound::connection_guard::CloseReason;
    ///
    /// assert_eq!(CloseReason::HeadTimeout.as_str(), "head_timeout");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::Connections => "connections",
            CloseReason::Memory => "memory",
            CloseReason::HeadTimeout => "head_timeout",
            CloseReason::BodyTimeout => "body_timeout",
            CloseReason::BadHead => "bad_head",
            CloseReason::ResponseTimeout => "response_timeout",
            CloseReason::Stopping => "stopping",
        }
    }
}

/// Connections that were closed for one reason since the last log line about it.
#[derive(Debug, Default)]
struct CloseCount {
    unlogged: u64,
    logged_at: Option<Instant>,
}

#[derive(Debug)]
struct GuardState {
    ledger: ConnectionLedger,
    connections: HashMap<ConnectionNumber, Arc<ConnectionControl>>,
    listeners: Vec<&'static str>,
    closed: HashMap<(ListenerNumber, CloseReason), CloseCount>,
}

/// All connections that peers have opened to a process.
#[derive(Debug)]
pub struct ConnectionGuard {
    state: Mutex<GuardState>,
    closed: IntCounterVec,
}

impl Default for ConnectionGuard {
    fn default() -> ConnectionGuard {
        ConnectionGuard::new(MachineLimits::default(), ProcessMetrics::open().closed_connections)
    }
}

impl ConnectionGuard {
    /// Creates the guard of a process. `closed` counts connections that were closed by listener and
    /// reason.
    ///
    /// ```
    /// use greengagearch::process::inbound::connection_guard::ConnectionGuard;
    /// use greengagearch::process::machine_limits::MachineLimits;
    /// use greengagearch::process::metrics::ProcessMetrics;
    ///
    /// let closed = ProcessMetrics::open().closed_connections;
    /// let guard = ConnectionGuard::new(MachineLimits::default(), closed);
    /// assert_eq!(guard.connections(), 0);
    /// ```
    pub fn new(machine: MachineLimits, closed: IntCounterVec) -> ConnectionGuard {
        let sockets = machine.descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_SHARE;
        let connections = usize::try_from(sockets.min(MAX_CONNECTIONS)).unwrap_or(usize::MAX);
        let bytes = machine.memory_bytes / MEMORY_SHARE;
        let state = GuardState {
            ledger: ConnectionLedger::new(LedgerLimits { connections, bytes }),
            connections: HashMap::new(),
            listeners: Vec::new(),
            closed: HashMap::new(),
        };
        ConnectionGuard { state: Mutex::new(state), closed }
    }

    /// Number of open connections.
    ///
    /// ```
    /// use greengagearch::process::inbound::connection_guard::ConnectionGuard;
    ///
    /// assert_eq!(ConnectionGuard::default().connections(), 0);
    /// ```
    pub fn connections(&self) -> usize {
        self.state().ledger.connections()
    }

    /// Adds a listener by the name under which its connections are logged and counted.
    ///
    /// ```
    /// use greengagearch::process::inbound::connection_guard::ConnectionGuard;
    ///
    /// assert_eq!(ConnectionGuard::default().add_listener("callers"), 0);
    /// ```
    pub fn add_listener(&self, name: &'static str) -> ListenerNumber {
        let mut state = self.state();
        state.listeners.push(name);
        state.listeners.len() - 1
    }

    /// Adds a connection, for which another one may be closed. `None` if there is no room.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use greengagearch::process::inbound::connection_guard::ConnectionGuard;
    ///
    /// let guard = Arc::new(ConnectionGuard::default());
    /// let listener = guard.add_listener("callers");
    /// let handle = ConnectionGuard::open(&guard, listener, 10).unwrap();
    /// assert_eq!(guard.connections(), 1);
    /// drop(handle);
    /// assert_eq!(guard.connections(), 0);
    /// ```
    pub fn open(
        guard: &Arc<ConnectionGuard>,
        listener: ListenerNumber,
        listener_limit: usize,
    ) -> Option<ConnectionHandle> {
        let mut state = guard.state();
        let Ok((number, evicted)) = state.ledger.open(listener, listener_limit, clock::now())
        else {
            guard.count(&mut state, listener, CloseReason::Connections);
            return None;
        };
        let control = Arc::new(ConnectionControl::new(listener));
        state.connections.insert(number, control.clone());
        guard.carry_out(&mut state, evicted, CloseReason::Connections);
        Some(ConnectionHandle { guard: guard.clone(), control, number })
    }

    /// Closes the connections of a listener whose requests are unfinished.
    pub fn close_unfinished(&self, listener: ListenerNumber) {
        let mut state = self.state();
        let evicted = state.ledger.evict_unfinished(listener);
        self.carry_out(&mut state, evicted, CloseReason::Stopping);
    }

    fn carry_out(
        &self,
        state: &mut GuardState,
        evictions: impl IntoIterator<Item = ConnectionEviction>,
        reason: CloseReason,
    ) {
        for eviction in evictions {
            let (number, verdict) = match eviction {
                ConnectionEviction::Close(number) => (number, VERDICT_CLOSE),
                ConnectionEviction::Refuse(number) => (number, VERDICT_REFUSE),
            };
            if let Some(control) = state.connections.remove(&number) {
                self.count(state, control.listener, reason);
                control.verdict.store(verdict, Ordering::Release);
                control.waker.wake();
            }
        }
    }

    /// Counts a closed connection. Logs the first one for a reason at once and then their number
    /// every [`LOG_INTERVAL`].
    fn count(&self, state: &mut GuardState, listener: ListenerNumber, reason: CloseReason) {
        let name = state.listeners.get(listener).copied().unwrap_or("unknown");
        self.closed.with_label_values(&[name, reason.as_str()]).inc();
        let connections = state.ledger.connections();
        let bytes = state.ledger.used_bytes();
        let now = clock::now();
        let count = state.closed.entry((listener, reason)).or_default();
        count.unlogged += 1;
        let is_due = |logged_at| now.saturating_duration_since(logged_at) >= LOG_INTERVAL;
        if !count.logged_at.is_none_or(is_due) {
            return;
        }
        count.logged_at = Some(now);
        let closed = std::mem::take(&mut count.unlogged);
        log_event(
            Level::Warn,
            "connections_closed",
            &[
                ("listener", &name),
                ("reason", &reason.as_str()),
                ("count", &closed),
                ("open", &connections),
                ("used_bytes", &bytes),
            ],
        );
    }

    fn state(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const VERDICT_NONE: u8 = 0;
const VERDICT_REFUSE: u8 = 1;
const VERDICT_CLOSE: u8 = 2;

/// What the guard and the task of a connection share.
#[derive(Debug)]
struct ConnectionControl {
    listener: ListenerNumber,
    verdict: AtomicU8,
    waker: AtomicWaker,
    phase: AtomicU8,
    /// Number of phases so far.
    epoch: AtomicU64,
    has_unread: AtomicBool,
    refusal: Mutex<Option<CloseReason>>,
}

impl ConnectionControl {
    fn new(listener: ListenerNumber) -> ConnectionControl {
        ConnectionControl {
            listener,
            verdict: AtomicU8::new(VERDICT_NONE),
            waker: AtomicWaker::new(),
            phase: AtomicU8::new(ConnectionPhase::Idle as u8),
            epoch: AtomicU64::new(0),
            has_unread: AtomicBool::new(false),
            refusal: Mutex::new(None),
        }
    }
}

/// An open connection; it counts until the handle is dropped.
#[derive(Debug)]
pub struct ConnectionHandle {
    guard: Arc<ConnectionGuard>,
    control: Arc<ConnectionControl>,
    number: ConnectionNumber,
}

impl ConnectionHandle {
    /// Whether the connection must be closed at once. Otherwise the task of `context` is woken when
    /// it must be.
    pub fn poll_closed(&self, context: &mut Context<'_>) -> bool {
        self.control.waker.register(context.waker());
        self.control.verdict.load(Ordering::Acquire) == VERDICT_CLOSE
    }

    /// Whether the request must be refused.
    pub fn poll_refused(&self, context: &mut Context<'_>) -> bool {
        self.control.waker.register(context.waker());
        if self.is_evicted() {
            // The eviction has been counted; its reason makes no difference to the peer.
            self.set_refusal(CloseReason::Memory);
        }
        self.refusal().is_some()
    }

    /// Whether the connection was evicted, so that nothing more may be spent on it.
    pub fn is_evicted(&self) -> bool {
        self.control.verdict.load(Ordering::Acquire) != VERDICT_NONE
    }

    /// The present phase.
    pub fn phase(&self) -> ConnectionPhase {
        const PHASES: [ConnectionPhase; 6] = [
            ConnectionPhase::Idle,
            ConnectionPhase::Head,
            ConnectionPhase::Body,
            ConnectionPhase::Working,
            ConnectionPhase::Answering,
            ConnectionPhase::Closing,
        ];
        PHASES[usize::from(self.control.phase.load(Ordering::Relaxed)) % PHASES.len()]
    }

    /// Number of phases so far, by which a new phase of the same kind is told from the last one.
    pub fn epoch(&self) -> u64 {
        self.control.epoch.load(Ordering::Relaxed)
    }

    /// Begins a phase.
    pub fn begin_phase(&self, phase: ConnectionPhase) {
        self.control.phase.store(phase as u8, Ordering::Relaxed);
        self.control.epoch.fetch_add(1, Ordering::Relaxed);
        let mut state = self.guard.state();
        state.ledger.begin_phase(self.number, phase, clock::now());
        if matches!(phase, ConnectionPhase::Answering | ConnectionPhase::Closing) {
            state.ledger.release(self.number);
        }
    }

    /// Adds memory to the connection's request. Returns whether there is room for it.
    pub fn hold(&self, bytes: u64) -> bool {
        let mut state = self.guard.state();
        match state.ledger.hold(self.number, bytes) {
            Ok(evicted) => {
                self.guard.carry_out(&mut state, evicted, CloseReason::Memory);
                true
            }
            Err(_) => false,
        }
    }

    /// Refuses the request that is being received; its response is replaced by a refusal.
    pub fn refuse(&self, reason: CloseReason) {
        self.count(reason);
        self.set_refusal(reason);
    }

    fn set_refusal(&self, reason: CloseReason) {
        let mut refusal = self.control.refusal.lock().unwrap_or_else(PoisonError::into_inner);
        refusal.get_or_insert(reason);
    }

    /// Why the request was refused, if it was.
    pub fn refusal(&self) -> Option<CloseReason> {
        *self.control.refusal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts that the connection is closed for this reason.
    pub fn count(&self, reason: CloseReason) {
        let mut state = self.guard.state();
        self.guard.count(&mut state, self.control.listener, reason);
    }

    /// Notes that a request was answered before all of it was read.
    pub fn note_unread(&self) {
        self.control.has_unread.store(true, Ordering::Relaxed);
    }

    /// Whether the peer may still be sending a request that was answered.
    pub fn has_unread(&self) -> bool {
        self.control.has_unread.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        let mut state = self.guard.state();
        state.ledger.close(self.number);
        state.connections.remove(&self.number);
    }
}
