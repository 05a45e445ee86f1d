//! One HTTP client for all calls of the platform, with time limits on each of them.
//!
//! How long a body takes depends on the link and not on the peer, so that a fixed limit for a whole answer is
//! wrong: over a link of 2 Mbit/s a configuration of half a megabyte takes two seconds, and a call that is given
//! up and begun anew for ever fills the link while it brings nothing. A call has a limit until the head of its answer; from there
//! on it goes on as long as bytes come, within a bound that follows the size.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use reqwest::Body;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use tokio::time::timeout;

/// Time for a connection to be made; hosts without power do not refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Unused connections are closed after this time. New connections are priced; one that went silent
/// meanwhile costs one call's time limit.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Unused connections that are kept for each address.
const IDLE_CONNECTIONS: usize = 16;

/// Longest pause between two pieces of a body. Links hold no more than a few tenths of a second of other
/// calls' bytes in front of it.
const STALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Slowest transfer that is waited for, in bytes a second: an eighth of a link of 2 Mbit/s, the thinnest that was
/// met, which carries up to eight transfers at once.
const SLOWEST_RATE: u64 = 32_000;
/// Size that is taken for a body which does not tell it, in bytes; the store's largest answers have one megabyte of rows.
const UNKNOWN_SIZE: u64 = 1_500_000;

/// What came back of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer.
    Answer(StatusCode, Vec<u8>),
    /// The call never left, since nobody listens at the address.
    Refused,
    /// The call never left.
    NotSent(String),
    /// The call left, and its connection broke before a whole answer came.
    Broken(String),
    /// The call left, and no whole answer came in time.
    NoAnswer(String),
}

/// A client that drops its connections when one of them is silent.
#[derive(Debug)]
pub struct PlatformHttp {
    client: Mutex<Client>,
}

impl PlatformHttp {
    /// Opens a client.
    ///
    /// ```
    /// greengagearch::platform::http_client::PlatformHttp::open();
    /// ```
    pub fn open() -> PlatformHttp {
        PlatformHttp { client: Mutex::new(new_client()) }
    }

    /// The client for the next call.
    ///
    /// ```
    /// greengagearch::platform::http_client::PlatformHttp::open().client();
    /// ```
    pub fn client(&self) -> Client {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a call and reads the whole answer. The limit is for the time until the answer begins; to it comes what the
    /// call's own body takes on the thinnest link.
    ///
    /// ```no_run
    /// # async fn f() {
    /// # use std::time::Duration;
    /// let http = greengagearch::platform::http_client::PlatformHttp::open();
    /// let call = http.client().get("http://10.0.0.1:80/");
    /// http.send(call, Duration::from_secs(1)).await;
    /// # }
    /// ```
    pub async fn send(&self, call: RequestBuilder, limit: Duration) -> CallResult {
        let (client, request) = call.build_split();
        let request = match request {
            Ok(request) => request,
            Err(error) => return CallResult::NotSent(error.to_string()),
        };
        let size = request.body().and_then(Body::as_bytes).map_or(0, <[u8]>::len);
        let limit = limit + transfer_time(size as u64);
        let answer = match timeout(limit, client.execute(request)).await {
            Ok(Ok(response)) => read_whole(response).await,
            Ok(Err(error)) => Err(CallFailure::Broken(error)),
            Err(_) => Err(CallFailure::Silent(limit)),
        };
        match answer {
            Ok((status, body)) => CallResult::Answer(status, body),
            Err(CallFailure::Broken(error)) if is_refusal(&error) => CallResult::Refused,
            Err(CallFailure::Broken(error)) if error.is_connect() => {
                CallResult::NotSent(error.to_string())
            }
            Err(CallFailure::Broken(error)) => CallResult::Broken(error.to_string()),
            Err(CallFailure::Silent(limit)) => {
                self.replace();
                CallResult::NoAnswer(format!("nothing within {} ms", limit.as_millis()))
            }
        }
    }

    /// Replaces the client with its connections: when one went silent, the unused ones may have, too.
    fn replace(&self) {
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = new_client();
    }
}

/// Why a call has no whole answer.
enum CallFailure {
    /// The client could not make the call, or its connection broke.
    Broken(reqwest::Error),
    /// Nothing came for this time.
    Silent(Duration),
}

/// Time in which a body surely passes the thinnest link.
fn transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1_000 / SLOWEST_RATE)
}

/// Reads an answer's body as long as it makes progress.
async fn read_whole(mut response: Response) -> Result<(StatusCode, Vec<u8>), CallFailure> {
    let status = response.status();
    let limit = STALL_LIMIT + transfer_time(response.content_length().unwrap_or(UNKNOWN_SIZE));
    let mut body = Vec::new();
    let reading = async {
        loop {
            match timeout(STALL_LIMIT, response.chunk()).await {
                Ok(Ok(Some(piece))) => body.extend_from_slice(&piece),
                Ok(Ok(None)) => return Ok(()),
                Ok(Err(error)) => return Err(CallFailure::Broken(error)),
                Err(_) => return Err(CallFailure::Silent(STALL_LIMIT)),
            }
        }
    };
    timeout(limit, reading).await.unwrap_or(Err(CallFailure::Silent(limit)))?;
    Ok((status, body))
}

/// Whether the host has answered that nobody listens at the port.
fn is_refusal(error: &reqwest::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(inner) = cause {
        let io = inner.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = inner.source();
    }
    false
}

fn new_client() -> Client {
    let builder = Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_LIMIT)
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .tcp_nodelay(true);
    // Without TLS and proxies there is nothing in the settings above that could be refused.
    builder.build().unwrap_or_default()
}
