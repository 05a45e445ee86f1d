//! A connection whose peer may be slow, silent or greedy.

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::process::inbound::connection_guard::CloseReason;
use crate::process::inbound::connection_guard::ConnectionHandle;
use crate::process::inbound::connection_ledger::ConnectionPhase;
use crate::process::inbound::http_limits::HttpLimits;

/// Time for which the rest of an answered request is discarded. Closing with unread bytes would
/// reset the connection, and the peer might not get its response.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Bytes of a head that the memory of a connection includes.
const FREE_HEAD_BYTES: u64 = 8_192;

/// A connection that counts what its peer sends, bounds the time for it, and breaks off when the
/// guard evicts it.
#[derive(Debug)]
pub struct GuardedStream {
    stream: TcpStream,
    handle: Arc<ConnectionHandle>,
    limits: HttpLimits,
    /// Bytes received since the connection was idle.
    head_bytes: u64,
    /// The bound on the present phase, made when the peer first keeps the process waiting in it.
    timer: Option<Pin<Box<Sleep>>>,
    timed_epoch: u64,
}

impl GuardedStream {
    /// Wraps a connection.
    pub fn new(
        stream: TcpStream,
        handle: Arc<ConnectionHandle>,
        limits: HttpLimits,
    ) -> GuardedStream {
        GuardedStream { stream, handle, limits, head_bytes: 0, timer: None, timed_epoch: 0 }
    }

    /// Counts bytes of a head. Fails if there is no memory for them.
    fn on_received(&mut self, count: usize) -> io::Result<()> {
        match self.handle.phase() {
            ConnectionPhase::Idle => {
                self.handle.begin_phase(ConnectionPhase::Head);
                self.head_bytes = 0;
            }
            ConnectionPhase::Head => {}
            _ => return Ok(()),
        }
        let held = self.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        self.head_bytes += count as u64;
        let more = self.head_bytes.saturating_sub(FREE_HEAD_BYTES) - held;
        if more > 0 && !self.handle.hold(more) {
            self.handle.count(CloseReason::Memory);
            return Err(io::Error::new(ErrorKind::OutOfMemory, "no memory for the head"));
        }
        Ok(())
    }

    /// Waits for the end of the time that the peer has in the present phase.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let (limit, reason) = match self.handle.phase() {
            ConnectionPhase::Idle => (self.limits.idle_timeout, None),
            ConnectionPhase::Head => (self.limits.header_timeout, Some(CloseReason::HeadTimeout)),
            ConnectionPhase::Answering => {
                (self.limits.idle_timeout, Some(CloseReason::ResponseTimeout))
            }
            ConnectionPhase::Closing => (LINGER_TIME, None),
            ConnectionPhase::Body | ConnectionPhase::Working => return Poll::Pending,
        };
        let epoch = self.handle.epoch();
        if self.timed_epoch != epoch {
            self.timer = None;
            self.timed_epoch = epoch;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        if let Some(reason) = reason {
            self.handle.count(reason);
        }
        Poll::Ready(ErrorKind::TimedOut.into())
    }

    /// Fails if the guard has evicted the connection.
    fn check_open(&self, context: &mut Context<'_>) -> io::Result<()> {
        if self.handle.poll_closed(context) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Discards what the peer sends until it closes the connection or the time for it is over.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; 4_096];
        loop {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.poll_timeout(context).map(|_| ()),
            }
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open(context)?;
        let filled_before = buffer.filled().len();
        // Bytes that have arrived count, however late the process gets to read them.
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let count = buffer.filled().len() - filled_before;
                Poll::Ready(if count > 0 { self.on_received(count) } else { Ok(()) })
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_timeout(context).map(Err),
        }
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open(context)?;
        match Pin::new(&mut self.stream).poll_write(context, data) {
            Poll::Pending => self.poll_timeout(context).map(Err),
            written => written,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if self.handle.phase() == ConnectionPhase::Answering {
            self.handle.begin_phase(ConnectionPhase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let phase = self.handle.phase();
        if phase == ConnectionPhase::Head {
            self.handle.count(CloseReason::BadHead);
        }
        let is_unread = phase == ConnectionPhase::Head || self.handle.has_unread();
        if is_unread && phase != ConnectionPhase::Closing {
            self.handle.begin_phase(ConnectionPhase::Closing);
        }
        ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        if self.handle.phase() != ConnectionPhase::Closing || self.handle.is_evicted() {
            return Poll::Ready(Ok(()));
        }
        // An eviction ends it too.
        self.check_open(context)?;
        self.poll_linger(context).map(Ok)
    }
}
