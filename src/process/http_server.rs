//! Serves HTTP and stops gracefully.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::body::HttpBody;
use axum::extract::Request;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONNECTION;
use axum::http::header::RETRY_AFTER;
use axum::middleware::Next;
use axum::middleware::from_fn;
use axum::response::IntoResponse;
use axum::response::Response;
use futures::StreamExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use log::Level;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::sockopt::set_socket_send_buffer_size;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::process::accept::next_stream;
use crate::process::inbound::connection_guard::CloseReason;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::inbound::connection_guard::ConnectionHandle;
use crate::process::inbound::connection_ledger::ConnectionPhase;
use crate::process::inbound::connection_ledger::ListenerNumber;
use crate::process::inbound::guarded_body::BodyLimits;
use crate::process::inbound::guarded_body::GuardedBody;
use crate::process::inbound::guarded_stream::GuardedStream;
pub use crate::process::inbound::http_limits::HttpLimits;
use crate::process::logging::log_event;
use crate::process::stop_signal::StopSignal;

/// Bytes that a head may be larger than its limit before it is refused, so that one of the largest
/// legal size is always served.
const HEAD_RESERVE: usize = 1_024;
/// Smallest read buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Largest read buffer that a configuration may ask for, in bytes.
const MAX_BUFFER_BYTES: usize = 65_536;
/// Time after the stop signal in which requests that are being received may be completed.
const LAST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Bytes that the kernel may hold for a connection before the process reads them, and before the
/// peer takes them. They count as memory of the process.
const SOCKET_BUFFER_BYTES: usize = 32 * 1_024;
/// Response on a connection for which there is no room. Nothing of its request was read.
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
/// Copies of a body while its request is served, unless a listener says otherwise: as received, and
/// decoded.
const BODY_COPIES: u64 = 2;
/// Value of `Retry-After` in the response to a request that was refused for want of memory.
const RETRY_AFTER_SECONDS: &str = "1";

/// Supplies the limits for the next connection.
pub type LimitSource = Arc<dyn Fn() -> HttpLimits + Send + Sync>;
/// Creates the response to a request that was refused while it was received, from its headers.
pub type RefusalResponse = fn(&HeaderMap, CloseReason) -> Response;

/// What a listener needs besides its routes.
#[derive(Clone)]
pub struct ListenerSettings {
    /// Name under which its connections are logged and counted.
    pub name: &'static str,
    /// Limits on its connections.
    pub limits: LimitSource,
    /// All connections of the process.
    pub guard: Arc<ConnectionGuard>,
    /// Response to a request that was refused while it was received.
    pub refusal: RefusalResponse,
    /// Copies of a request's body that exist at the same time while it is served.
    pub body_copies: u64,
}

impl Default for ListenerSettings {
    fn default() -> ListenerSettings {
        ListenerSettings::new("http", Arc::default())
    }
}

impl ListenerSettings {
    /// Settings with the default limits.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use greengagearch::process::http_server::ListenerSettings;
    ///
    /// assert_eq!(ListenerSettings::new("callers", Arc::default()).name, "callers");
    /// ```
    pub fn new(name: &'static str, guard: Arc<ConnectionGuard>) -> ListenerSettings {
        let limits = Arc::new(HttpLimits::default);
        ListenerSettings { name, limits, guard, refusal, body_copies: BODY_COPIES }
    }

    /// The same settings with these limits.
    ///
    /// ```
    /// use greengagearch::process::http_server::HttpLimits;
    /// use greengagearch::process::http_server::ListenerSettings;
    ///
    /// let limits = HttpLimits { connections: 8, ..HttpLimits::default() };
    /// let settings = ListenerSettings::default().with_limits(limits);
    /// assert_eq!((settings.limits)().connections, 8);
    /// ```
    pub fn with_limits(self, limits: HttpLimits) -> ListenerSettings {
        ListenerSettings { limits: Arc::new(move || limits), ..self }
    }
}

/// The response to a request that was refused while it was received, on listeners without one of
/// their own.
fn refusal(_: &HeaderMap, reason: CloseReason) -> Response {
    match reason {
        CloseReason::BodyTimeout => StatusCode::REQUEST_TIMEOUT.into_response(),
        _ => {
            (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, RETRY_AFTER_SECONDS)]).into_response()
        }
    }
}

/// Serves `router` on `listener` until `stop` is raised and the requests in flight have ended.
///
/// ```
/// use greengagearch::process::http_server::ListenerSettings;
/// use greengagearch::process::http_server::spawn_http_server;
/// use greengagearch::process::stop_signal::StopSwitch;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let (switch, signal) = StopSwitch::new();
/// let settings = ListenerSettings::default();
/// let server = spawn_http_server(listener, axum::Router::new(), settings, signal);
/// switch.stop();
/// server.await.unwrap();
/// # });
/// ```
pub fn spawn_http_server(
    listener: TcpListener,
    router: Router,
    settings: ListenerSettings,
    stop: StopSignal,
) -> JoinHandle<()> {
    let number = settings.guard.add_listener(settings.name);
    bound_socket_buffers(&listener);
    tokio::spawn(async move {
        let connections = GracefulShutdown::new();
        let accepting = accept_all(&listener, &router, &settings, number, &connections);
        tokio::select! {
            () = accepting => {}
            () = stop.raised() => {}
        }
        drop(listener);
        let closing = async {
            tokio::time::sleep(LAST_REQUEST_TIME).await;
            settings.guard.close_unfinished(number);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = connections.shutdown() => {}
            () = closing => {}
        }
    })
}

/// Bounds the socket buffers of the connections that a listener accepts, which inherit them.
fn bound_socket_buffers(listener: &TcpListener) {
    let results = [
        set_socket_recv_buffer_size(listener, SOCKET_BUFFER_BYTES),
        set_socket_send_buffer_size(listener, SOCKET_BUFFER_BYTES),
    ];
    for error in results.iter().filter_map(|result| result.as_ref().err()) {
        log_event(Level::Warn, "socket_buffers_unbounded", &[("error", error)]);
    }
}

/// Serves each connection in a task of its own.
async fn accept_all(
    listener: &TcpListener,
    router: &Router,
    settings: &ListenerSettings,
    number: ListenerNumber,
    connections: &GracefulShutdown,
) {
    loop {
        let stream = next_stream(listener).await;
        let limits = (settings.limits)();
        match ConnectionGuard::open(&settings.guard, number, limits.connections) {
            Some(handle) => {
                let handle = Arc::new(handle);
                let stream = GuardedStream::new(stream, handle.clone(), limits);
                let exchange = HttpExchange {
                    router: TowerToHyperService::new(router.clone()),
                    handle,
                    body: BodyLimits { timeout: limits.body_timeout, copies: settings.body_copies },
                    refusal: settings.refusal,
                };
                serve(stream, exchange, limits.head_bytes, connections);
            }
            // The response fits into the buffer of a new connection.
            None => drop(stream.try_write(NO_ROOM)),
        }
    }
}

fn serve(
    stream: GuardedStream,
    exchange: HttpExchange,
    head_bytes: usize,
    connections: &GracefulShutdown,
) {
    let mut builder = http1::Builder::new();
    let buffer_bytes = head_bytes.saturating_add(HEAD_RESERVE);
    builder.max_buf_size(buffer_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES));
    let service = service_fn(move |request| exchange.clone().answer(request));
    let connection = connections.watch(builder.serve_connection(TokioIo::new(stream), service));
    tokio::spawn(async move {
        // Errors are the peer's: it went away, was too slow, or sent no HTTP.
        let _ = connection.await;
    });
}

/// The requests of one connection and their responses.
#[derive(Clone)]
struct HttpExchange {
    router: TowerToHyperService<Router>,
    handle: Arc<ConnectionHandle>,
    body: BodyLimits,
    refusal: RefusalResponse,
}

impl HttpExchange {
    /// Answers a request, with a refusal if its body was refused while it was received.
    async fn answer(self, request: Request<Incoming>) -> Result<Response, Infallible> {
        let handle = self.handle;
        handle.begin_phase(ConnectionPhase::Working);
        let headers = (!request.body().is_end_stream()).then(|| request.headers().clone());
        let request = request.map(|body| GuardedBody::new(body, handle.clone(), self.body));
        let mut response = self.router.call(request).await?;
        if let (Some(reason), Some(headers)) = (handle.refusal(), headers) {
            response = with_close((self.refusal)(&headers, reason));
        }
        handle.begin_phase(ConnectionPhase::Answering);
        Ok(response)
    }
}

/// Adds `Connection: close` to responses that are sent before the request body has been read. The unread rest of the
/// body may reset the connection, and the peer would not know whether its next request was executed. Routes with tight
/// latency bounds add the header themselves, see [`with_close`].
///
/// ```
/// greengagearch::process::http_server::closing_after_unread(axum::Router::<()>::new());
/// ```
pub fn closing_after_unread<S: Clone + Send + Sync + 'static>(router: Router<S>) -> Router<S> {
    router.layer(from_fn(close_after_unread))
}

async fn close_after_unread(request: Request<Body>, next: Next) -> Response {
    if request.body().is_end_stream() {
        return next.run(request).await;
    }
    let is_read = Arc::new(AtomicBool::new(false));
    let response = next.run(request.map(|body| noting_end(body, is_read.clone()))).await;
    if is_read.load(Ordering::Acquire) { response } else { with_close(response) }
}

/// The same body, which notes when it was read to its end.
fn noting_end(body: Body, is_read: Arc<AtomicBool>) -> Body {
    let end = futures::stream::once(async move {
        is_read.store(true, Ordering::Release);
        Ok(Bytes::new())
    });
    Body::from_stream(body.into_data_stream().chain(end))
}

/// The answer, with the word that the connection ends after it.
///
/// ```
/// let response = axum::response::Response::default();
/// let response = greengagearch::process::http_server::with_close(response);
/// assert_eq!(response.headers()["connection"], "close");
/// ```
pub fn with_close(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
