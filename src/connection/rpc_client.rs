//! Connections to other processes of the system, kept open and replaced when they break.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest message between two processes in bytes.
pub const LARGEST_FRAME: usize = 16 << 20;

/// Why a call to another process gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// Nothing was sent.
    #[snafu(display("the process cannot be reached"))]
    NotSent,
    /// It was sent, or may have been, and no answer came.
    #[snafu(display("the process does not answer"))]
    NoAnswer,
}

impl From<RpcError> for CallError {
    fn from(_: RpcError) -> CallError {
        // tarpc does not tell whether a failed call had left the process, so every failure past the
        // connection counts as sent.
        CallError::NoAnswer
    }
}

/// A client type that is made from a connection.
pub trait RpcConnection: Clone + Send + 'static {
    /// Makes a client on `stream`; the flag is raised when the connection has ended.
    fn spawn(stream: TcpStream, ended: Arc<AtomicBool>) -> Self;
}

macro_rules! impl_connection {
    ($client:ident) => {
        impl RpcConnection for $client {
            fn spawn(stream: TcpStream, ended: Arc<AtomicBool>) -> $client {
                let connection = $client::new(Config::default(), framed(stream));
                tokio::spawn(async move {
                    // The calls in flight get an error of their own.
                    let _ = connection.dispatch.await;
                    ended.store(true, Ordering::Release);
                });
                connection.client
            }
        }
    };
}

/// The transport between two processes: length-prefixed frames, coded by bincode.
pub fn framed<I, S>(stream: TcpStream) -> Transport<CountedStream, I, S, Bincode<I, S>>
where
    I: DeserializeOwned,
    S: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    let frames = codec.max_frame_length(LARGEST_FRAME).new_framed(CountedStream(stream));
    serde_transport::new(frames, Bincode::default())
}

impl_connection!(AgentRpcClient);
impl_connection!(NodeRpcClient);
impl_connection!(PlannerRpcClient);
impl_connection!(EntryRpcClient);

#[derive(Debug)]
struct CachedClient<C> {
    client: C,
    ended: Arc<AtomicBool>,
}

/// Open connections of one kind, by address.
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
    /// The connection to `address`, opened when there is none.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when the process cannot be connected to.
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
        // Another call may have been quicker; calls share one connection.
        if let Some(client) = self.open_client(address) {
            return Ok(client);
        }
        let ended = Arc::new(AtomicBool::new(false));
        let client = C::spawn(stream, ended.clone());
        let cached = CachedClient { client: client.clone(), ended };
        let mut clients = self.lock();
        // Connections of processes that are gone would else be kept for ever.
        clients.retain(|_, known| !known.ended.load(Ordering::Acquire));
        clients.insert(address.to_string(), cached);
        Ok(client)
    }

    /// Closes the connection to `address`; the next call opens a new one.
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
        (!cached.ended.load(Ordering::Acquire)).then(|| cached.client.clone())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, CachedClient<C>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The context of a call that must end within `span`.
///
/// ```
/// use std::time::Duration;
///
/// let context = greengagearch::connection::rpc_client::call_within(Duration::from_secs(1));
/// assert!(context.deadline > std::time::Instant::now());
/// ```
pub fn call_within(span: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + span;
    context
}
