//! A TCP stream that counts the bytes sent and received between processes of the system.

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

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Returns the bytes that this process has sent to and received from other processes of the system,
/// excluding TCP and IP headers.
///
/// ```
/// let (sent, received) = greengagearch::connection::counted_stream::byte_counts();
/// assert_eq!((sent, received), (0, 0));
/// ```
pub fn byte_counts() -> (u64, u64) {
    (SENT_BYTES.load(Ordering::Relaxed), RECEIVED_BYTES.load(Ordering::Relaxed))
}

/// A TCP stream whose bytes are added to the totals of [`byte_counts`].
#[derive(Debug)]
pub struct CountedStream(pub TcpStream);

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(context, buffer);
        RECEIVED_BYTES.fetch_add((buffer.filled().len() - filled_before) as u64, Ordering::Relaxed);
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
            SENT_BYTES.fetch_add(*written as u64, Ordering::Relaxed);
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
