//! Accepts connections of other processes of the system.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
            match listener.accept().await {
                // Without the option answers may wait for the peer's delayed acknowledgement.
                Ok((stream, _)) if stream.set_nodelay(true).is_ok() => serve(stream),
                // The peer has gone already.
                Ok(_) => {}
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
}
