//! Serves HTTP and stops gracefully.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::body::HttpBody;
use axum::extract::Request;
use axum::http::HeaderValue;
use axum::http::header::CONNECTION;
use axum::middleware::Next;
use axum::middleware::from_fn;
use axum::response::Response;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::process::stop_signal::StopSignal;

/// Serves `router` on `listener` until `stop` is raised and the requests in flight have ended.
///
/// ```
/// use greengagearch::process::http_server::spawn_http_server;
/// use greengagearch::process::stop_signal::StopSwitch;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let (switch, signal) = StopSwitch::new();
/// let server = spawn_http_server(listener, axum::Router::new(), signal);
/// switch.stop();
/// server.await.unwrap();
/// # });
/// ```
pub fn spawn_http_server(
    listener: TcpListener,
    router: Router,
    stop: StopSignal,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
            // The peer has gone already when this fails.
            let _ = stream.set_nodelay(true);
        });
        let serve = axum::serve(listener, router.layer(from_fn(close_after_unread)));
        let graceful = serve.with_graceful_shutdown(async move { stop.raised().await });
        // The server never gives an error; the type is for other kinds of listeners.
        let _ = graceful.await;
    })
}

/// Tells the peer to use its connection no more when it is answered before its body was read: what
/// is left of the body may end the connection under its next request, whose fate it could not tell.
async fn close_after_unread(request: Request, next: Next) -> Response {
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

fn with_close(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
