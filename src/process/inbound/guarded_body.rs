//! A request body whose memory is accounted for while it is received.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::BoxError;
use axum::body::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::process::inbound::connection_guard::CloseReason;
use crate::process::inbound::connection_guard::ConnectionHandle;
use crate::process::inbound::connection_ledger::ConnectionPhase;

/// Bytes that are passed on at once. Smaller pieces are copied together: each would keep the whole
/// read buffer that it came in.
const PIECE_BYTES: usize = 16 * 1_024;
/// Bytes that are accounted for at once.
const HOLD_BYTES: u64 = 1_024;
/// Read buffer of a connection that waits for more of a body, in bytes.
const READ_BUFFER_BYTES: u64 = 16 * 1_024;

/// The body was refused while it was received, so that its request has not run.
#[derive(Debug, Snafu)]
#[snafu(display("the request was refused before its body was received"))]
pub struct BodyRefused;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Longest time between two pieces.
    pub timeout: Duration,
    /// Copies of the body that exist at the same time while its request is served.
    pub copies: u64,
}

/// A request body that comes in pieces of a fair size, and fails when there is no memory for it or
/// its peer sends no more of it.
#[derive(Debug)]
pub struct GuardedBody {
    incoming: Incoming,
    handle: Arc<ConnectionHandle>,
    limits: BodyLimits,
    timer: Option<Pin<Box<Sleep>>>,
    piece: Vec<u8>,
    /// Bytes that are not accounted for yet.
    uncounted_bytes: u64,
    is_ended: bool,
}

impl GuardedBody {
    /// Wraps the body of a request.
    pub fn new(
        incoming: Incoming,
        handle: Arc<ConnectionHandle>,
        limits: BodyLimits,
    ) -> GuardedBody {
        let is_ended = incoming.is_end_stream();
        GuardedBody {
            incoming,
            handle,
            limits,
            timer: None,
            piece: Vec::new(),
            uncounted_bytes: 0,
            is_ended,
        }
    }

    /// Adds bytes that have arrived; whether there was memory for them.
    fn add(&mut self, data: &[u8]) -> bool {
        self.timer = None;
        self.piece.extend_from_slice(data);
        self.uncounted_bytes += data.len() as u64;
        if self.uncounted_bytes < HOLD_BYTES {
            return true;
        }
        let bytes = std::mem::take(&mut self.uncounted_bytes) * self.limits.copies;
        self.hold(bytes)
    }

    /// Accounts for memory; refuses the request if there is none.
    fn hold(&self, bytes: u64) -> bool {
        let has_room = self.handle.hold(bytes);
        if !has_room {
            self.handle.refuse(CloseReason::Memory);
        }
        has_room
    }

    fn take_piece(&mut self) -> Option<Frame<Bytes>> {
        let mut piece = std::mem::take(&mut self.piece);
        piece.shrink_to_fit();
        (!piece.is_empty()).then(|| Frame::data(Bytes::from(piece)))
    }

    /// Notes that the peer keeps the process waiting. Ends when that takes too long, or when there is
    /// no memory to wait.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.handle.phase() != ConnectionPhase::Body {
            self.handle.begin_phase(ConnectionPhase::Body);
            if !self.hold(READ_BUFFER_BYTES) {
                return Poll::Ready(());
            }
        }
        let timeout = self.limits.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        timer.as_mut().poll(context).map(|()| self.handle.refuse(CloseReason::BodyTimeout))
    }

    fn end(&mut self) {
        self.is_ended = true;
        if self.handle.phase() == ConnectionPhase::Body {
            self.handle.begin_phase(ConnectionPhase::Working);
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        while !self.is_ended {
            if self.handle.poll_refused(context) {
                return Poll::Ready(Some(Err(BodyRefused.into())));
            }
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    if !self.add(&data) {
                        return Poll::Ready(Some(Err(BodyRefused.into())));
                    }
                    if self.piece.len() >= PIECE_BYTES {
                        return Poll::Ready(self.take_piece().map(Ok));
                    }
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(None) => self.end(),
                Poll::Pending => match self.poll_timeout(context) {
                    Poll::Ready(()) => return Poll::Ready(Some(Err(BodyRefused.into()))),
                    Poll::Pending => return Poll::Pending,
                },
            }
        }
        Poll::Ready(self.take_piece().map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended && self.piece.is_empty()
    }
}

impl Drop for GuardedBody {
    /// A body that was not read to its end leaves bytes that may still arrive.
    fn drop(&mut self) {
        if !self.is_ended {
            self.handle.note_unread();
        }
    }
}
