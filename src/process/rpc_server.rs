//! Accepts connections of other processes of the system.

use futures::Stream;
use futures::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::process::accept::next_stream;

/// Hands each connection that `listener` accepts to `serve`, until the process ends.
fn spawn_accept_loop<F>(listener: TcpListener, serve: F)
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

/// Serves the calls that come on each connection which `listener` accepts, until the process ends; calls of
/// one connection run beside each other.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let no_calls = |_| futures::stream::empty::<std::future::Ready<()>>();
/// greengagearch::process::rpc_server::spawn_rpc_server(listener, no_calls);
/// # });
/// ```
pub fn spawn_rpc_server<F, S, C>(listener: TcpListener, calls_of: F)
where
    F: Fn(TcpStream) -> S + Send + 'static,
    S: Stream<Item = C> + Send + 'static,
    C: Future<Output = ()> + Send + 'static,
{
    spawn_accept_loop(listener, move |stream| {
        tokio::spawn(calls_of(stream).for_each(|call| async {
            tokio::spawn(call);
        }));
    });
}
