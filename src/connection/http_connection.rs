//! One HTTP connection, on which calls follow each other.
//!
//! An HTTP client with a pool sends a call on a new connection if the pooled one has ended, and so
//! may reach another process than the one that has accepted the pooled one. Here the caller decides
//! on which connection a call leaves.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::process::clock;

/// Longest pause between two pieces of a body.
const STALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Why a call has no response.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallFailure {
    /// Nobody listens at the address.
    #[snafu(display("connection refused"))]
    Refused,
    /// No part of the call was written.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Why.
        reason: String,
    },
    /// The connection broke after the call may have been written.
    #[snafu(display("connection broke: {reason}"))]
    Broken {
        /// Why.
        reason: String,
    },
    /// No whole response arrived in time.
    #[snafu(display("nothing within {} ms", limit.as_millis()))]
    Silent {
        /// The time limit that was exceeded.
        limit: Duration,
    },
}

/// An open connection. It is closed when this is dropped, also during a call.
#[derive(Debug)]
pub struct HttpConnection {
    address: String,
    sender: SendRequest<String>,
    driver: AbortHandle,
    used_at: Instant,
}

impl HttpConnection {
    /// Connects to an address within a time limit.
    ///
    /// # Errors
    ///
    /// [`CallFailure::Refused`] if nobody listens, [`CallFailure::NotSent`] otherwise.
    ///
    /// ```no_run
    /// # async fn f() {
    /// # use std::time::Duration;
    /// use greengagearch::connection::http_connection::HttpConnection;
    ///
    /// let connection = HttpConnection::open("127.0.0.1:80", Duration::from_secs(1)).await;
    /// # }
    /// ```
    pub async fn open(address: &str, limit: Duration) -> Result<HttpConnection, CallFailure> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected.map_err(|error| not_sent(&error))?.map_err(|error| match error {
            error if error.kind() == io::ErrorKind::ConnectionRefused => CallFailure::Refused,
            error => not_sent(&error),
        })?;
        stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error))?;
        // The call that is in progress gets the error as well.
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        let (address, used_at) = (address.to_string(), clock::now());
        Ok(HttpConnection { address, sender, driver, used_at })
    }

    /// Returns the address to which the connection was opened.
    ///
    /// ```no_run
    /// # fn f(connection: greengagearch::connection::http_connection::HttpConnection) {
    /// assert_eq!(connection.address(), "127.0.0.1:80");
    /// # }
    /// ```
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns whether the connection is not known to have ended.
    ///
    /// ```no_run
    /// # fn f(connection: greengagearch::connection::http_connection::HttpConnection) {
    /// assert!(connection.is_open());
    /// # }
    /// ```
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the time since the last response, or since the connection was opened.
    ///
    /// ```no_run
    /// # fn f(connection: greengagearch::connection::http_connection::HttpConnection) {
    /// assert!(connection.idle_time().as_secs() < 30);
    /// # }
    /// ```
    pub fn idle_time(&self) -> Duration {
        clock::elapsed(self.used_at)
    }

    /// Sends a call and reads the whole response. The limit is for the time until the response
    /// begins.
    ///
    /// # Errors
    ///
    /// See [`CallFailure`].
    ///
    /// ```no_run
    /// # async fn f(mut connection: greengagearch::connection::http_connection::HttpConnection) {
    /// # use std::time::Duration;
    /// let call = hyper::Request::post("/").body(String::new()).unwrap();
    /// connection.send(call, Duration::from_secs(1)).await;
    /// # }
    /// ```
    pub async fn send(
        &mut self,
        call: Request<String>,
        limit: Duration,
    ) -> Result<(StatusCode, Vec<u8>), CallFailure> {
        let response = timeout(limit, async {
            self.sender.ready().await.map_err(|error| not_sent(&error))?;
            self.sender.try_send_request(call).await.map_err(|mut error| {
                // The call is handed back if no part of it was written.
                match error.take_message() {
                    Some(_) => not_sent(error.error()),
                    None => broken(error.error()),
                }
            })
        });
        let response = response.await.map_err(|_| CallFailure::Silent { limit })??;
        let status = response.status();
        let body = read_body(response.into_body()).await?;
        self.used_at = clock::now();
        Ok((status, body))
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads a body as long as it makes progress.
async fn read_body(mut body: Incoming) -> Result<Vec<u8>, CallFailure> {
    let mut bytes = Vec::new();
    loop {
        let frame = poll_fn(|context| Pin::new(&mut body).poll_frame(context));
        match timeout(STALL_LIMIT, frame).await {
            Ok(Some(Ok(frame))) => bytes.extend(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(error))) => return Err(broken(&error)),
            Ok(None) => return Ok(bytes),
            Err(_) => return Err(CallFailure::Silent { limit: STALL_LIMIT }),
        }
    }
}

fn not_sent(error: &dyn std::error::Error) -> CallFailure {
    CallFailure::NotSent { reason: error.to_string() }
}

fn broken(error: &dyn std::error::Error) -> CallFailure {
    CallFailure::Broken { reason: error.to_string() }
}
