//! A TCP stream that counts what the system's own processes say to each other.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes that this process has sent to and received from other processes of the system, without
/// the headers of TCP and IP.
///
/// ```
/// let (sent, received) = greengagearch::connection::counted_stream::byte_counts();
/// assert_eq!((sent, received), (0, 0));
/// ```
pub fn byte_counts() -> (u64, u64) {
    (SENT.load(Ordering::Relaxed), RECEIVED.load(Ordering::Relaxed))
}

/// A TCP stream whose bytes are counted.
#[derive(Debug)]
pub struct CountedStream(pub TcpStream);

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(context, buffer);
        RECEIVED.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(context, data);
        if let Poll::Ready(Ok(written)) = &polled {
            SENT.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
