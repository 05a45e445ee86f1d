//! Accepts connections of other processes of the system.

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::process::accept::next_stream;

/// Hands each connection that `listener` accepts to `serve`, until the process ends.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// greengagearch::process::rpc_server::spawn_accept_loop(listener, drop);
/// # });
/// ```
pub fn spawn_accept_loop<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            let stream = next_stream(&listener).await;
            serve(stream);
        }
    });
}
