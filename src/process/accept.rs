//! Accepts connections, for all listeners of the programs.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The next connection, without delay of small messages.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = listener.local_addr().unwrap();
/// let peer = tokio::net::TcpStream::connect(address).await.unwrap();
/// let stream = greengagearch::process::accept::next_stream(&listener).await;
/// assert_eq!(stream.peer_addr().unwrap(), peer.local_addr().unwrap());
/// # });
/// ```
pub async fn next_stream(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            // Without the option answers may wait for the peer's delayed acknowledgement.
            Ok((stream, _)) if stream.set_nodelay(true).is_ok() => return stream,
            // The peer has gone already.
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
