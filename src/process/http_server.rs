//! Serves HTTP and stops gracefully.

use axum::Router;
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
        let serve = axum::serve(listener, router);
        let graceful = serve.with_graceful_shutdown(async move { stop.raised().await });
        // The server never gives an error; the type is for other kinds of listeners.
        let _ = graceful.await;
    })
}
