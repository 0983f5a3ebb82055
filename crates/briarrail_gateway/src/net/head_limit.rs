//! Limit on the bytes that a peer sends before the head of its response is complete.
//!
//! The HTTP client skips interim responses. A peer that sends them without end would keep the thread
//! busy for as long as its bytes arrive faster than they are skipped.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of the head of a response with its interim responses, in bytes. Several reads fit
/// into it, so that the start of a body that arrives with the head does not exceed it.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes that may still be read before the head of a response; `None` if reads are not limited.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    /// Starts the limit for the response to a request.
    pub(super) fn start(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit when the head is complete.
    pub(super) fn end(&self) {
        self.0.set(None);
    }
}

/// A connection whose reads fail when the head of a response exceeds its budget.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    budget: HeadBudget,
}

impl<S> LimitedStream<S> {
    pub(super) const fn new(stream: S, budget: HeadBudget) -> Self {
        Self { stream, budget }
    }
}

impl<S> AsyncRead for LimitedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let budget = self.budget.0.get();
        if budget == Some(0) {
            let message = "the head of the response is too large";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let filled = buffer.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Some(left) = budget {
            let read = buffer.filled().len() - filled;
            self.budget.0.set(Some(left.saturating_sub(read)));
        }
        outcome
    }
}

impl<S> AsyncWrite for LimitedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
