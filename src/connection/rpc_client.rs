//! RPC clients of other processes: connections are cached, and replaced once they are closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tarpc::client::Config;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::counted_stream::CountedStream;
use crate::connection::node_protocol::NodeRpcClient;
use crate::connection::planner_protocol::PlannerRpcClient;
use crate::connection::protocol::AgentRpcClient;
use crate::connection::protocol::EntryRpcClient;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size limit of a message between two processes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a call to another process returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The connection could not be opened, so the call was not sent.
    #[snafu(display("could not connect to the process; the call was not sent"))]
    NotSent,
    /// The call was or may have been sent, and no response was received.
    #[snafu(display("no response from the process; the call may have been carried out"))]
    NoAnswer,
}

impl From<RpcError> for CallError {
    fn from(_: RpcError) -> CallError {
        // tarpc does not report whether a failed call was sent, so every failure on an open
        // connection counts as possibly sent.
        CallError::NoAnswer
    }
}

/// A client type that can be created on a TCP connection.
pub trait RpcConnection: Clone + Send + 'static {
    /// Creates a client on `stream` and spawns the task that drives it. The task sets `closed` when
    /// the connection is closed.
    fn spawn(stream: TcpStream, closed: Arc<AtomicBool>) -> Self;
}

macro_rules! impl_connection {
    ($client:ident) => {
        impl RpcConnection for $client {
            fn spawn(stream: TcpStream, closed: Arc<AtomicBool>) -> $client {
                let connection = $client::new(Config::default(), framed(stream));
                tokio::spawn(async move {
                    // Calls in flight return their own errors, so the result is not needed here.
                    let _ = connection.dispatch.await;
                    closed.store(true, Ordering::Release);
                });
                connection.client
            }
        }
    };
}

/// Creates the transport between two processes: length-prefixed frames with bincode encoding.
pub fn framed<I, S>(stream: TcpStream) -> Transport<CountedStream, I, S, Bincode<I, S>>
where
    I: DeserializeOwned,
    S: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    let frames = codec.max_frame_length(MAX_FRAME_BYTES).new_framed(CountedStream(stream));
    serde_transport::new(frames, Bincode::default())
}

impl_connection!(AgentRpcClient);
impl_connection!(NodeRpcClient);
impl_connection!(PlannerRpcClient);
impl_connection!(EntryRpcClient);

#[derive(Debug)]
struct CachedClient<C> {
    client: C,
    closed: Arc<AtomicBool>,
}

/// Open connections to processes of one kind, by address.
#[derive(Debug)]
pub struct ConnectionCache<C> {
    clients: Mutex<HashMap<String, CachedClient<C>>>,
}

impl<C> Default for ConnectionCache<C> {
    fn default() -> ConnectionCache<C> {
        ConnectionCache { clients: Mutex::new(HashMap::new()) }
    }
}

impl<C: RpcConnection> ConnectionCache<C> {
    /// Returns the client connected to `address`, and opens a connection if there is none.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if the connection cannot be opened.
    ///
    /// ```
    /// use greengagearch::connection::protocol::AgentRpcClient;
    /// use greengagearch::connection::rpc_client::CallError;
    /// use greengagearch::connection::rpc_client::ConnectionCache;
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let connections = ConnectionCache::<AgentRpcClient>::default();
    /// assert_eq!(connections.client("nowhere").await.err(), Some(CallError::NotSent));
    /// # });
    /// ```
    pub async fn client(&self, address: &str) -> Result<C, CallError> {
        if let Some(client) = self.open_client(address) {
            return Ok(client);
        }
        let target: SocketAddr = address.parse().map_err(|_| CallError::NotSent)?;
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(CallError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| CallError::NotSent)?;
        // A concurrent call may have opened a connection meanwhile; all calls share one.
        if let Some(client) = self.open_client(address) {
            return Ok(client);
        }
        let closed = Arc::new(AtomicBool::new(false));
        let client = C::spawn(stream, closed.clone());
        let cached = CachedClient { client: client.clone(), closed };
        let mut clients = self.lock();
        // Closed connections to processes that no longer exist would otherwise never be removed.
        clients.retain(|_, known| !known.closed.load(Ordering::Acquire));
        clients.insert(address.to_string(), cached);
        Ok(client)
    }

    /// Removes the connection to `address` from the cache; the next call opens a new one.
    ///
    /// ```
    /// use greengagearch::connection::protocol::AgentRpcClient;
    /// use greengagearch::connection::rpc_client::ConnectionCache;
    ///
    /// ConnectionCache::<AgentRpcClient>::default().drop_client("127.0.0.1:1");
    /// ```
    pub fn drop_client(&self, address: &str) {
        self.lock().remove(address);
    }

    fn open_client(&self, address: &str) -> Option<C> {
        let clients = self.lock();
        let cached = clients.get(address)?;
        (!cached.closed.load(Ordering::Acquire)).then(|| cached.client.clone())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, CachedClient<C>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the context of a call with a deadline of `time_limit` from now.
///
/// ```
/// use std::time::Duration;
///
/// let context = greengagearch::connection::rpc_client::call_within(Duration::from_secs(1));
/// assert!(context.deadline > std::time::Instant::now());
/// ```
pub fn call_within(time_limit: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + time_limit;
    context
}
