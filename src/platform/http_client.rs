//! One HTTP client for all calls of the platform, with a time limit on each of them.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::StatusCode;

/// Time for a connection to be made; hosts without power do not refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Unused connections are closed after this time. New connections are priced; one that went silent
/// meanwhile costs one call's time limit.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Unused connections that are kept for each address.
const IDLE_CONNECTIONS: usize = 16;

/// What came back of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer.
    Answer(StatusCode, Vec<u8>),
    /// The call never left, since nobody listens at the address.
    Refused,
    /// The call never left.
    NotSent(String),
    /// The call left, and no whole answer came.
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

    /// Sends a call and reads the whole answer within a time limit.
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
        let exchange = async {
            let response = call.send().await?;
            let status = response.status();
            Ok::<_, reqwest::Error>((status, response.bytes().await?.to_vec()))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok((status, body))) => CallResult::Answer(status, body),
            Ok(Err(error)) if is_refusal(&error) => CallResult::Refused,
            Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                CallResult::NotSent(error.to_string())
            }
            Ok(Err(error)) => CallResult::NoAnswer(error.to_string()),
            Err(_) => {
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
