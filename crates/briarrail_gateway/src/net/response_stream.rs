//! The connection to a target, another router or the store, as the HTTP client reads it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::head_budget::HeadBudget;

/// A connection whose reads fail when the head of a response exceeds its budget, and at the end of the
/// connection if the peer has not taken all that was written.
///
/// A response without a length ends with its connection. If the peer resets the connection while the
/// request is still being written, the write may get the error, and the next read only the end.
#[derive(Debug)]
pub(super) struct ResponseStream<S> {
    stream: S,
    budget: HeadBudget,
    /// Whether the last write failed or left bytes over.
    is_write_unfinished: bool,
}

impl<S> ResponseStream<S> {
    pub(super) const fn new(stream: S, budget: HeadBudget) -> Self {
        Self {
            stream,
            budget,
            is_write_unfinished: false,
        }
    }

    fn record_write(&mut self, outcome: &Poll<io::Result<usize>>, offered: usize) {
        let is_finished = matches!(outcome, Poll::Ready(Ok(written)) if *written == offered);
        self.is_write_unfinished = !is_finished;
    }
}

impl<S> AsyncRead for ResponseStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_used_up() {
            let message = "the head of the response is too large";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled;
        self.budget.record_read(read);
        let is_end = read == 0 && buffer.remaining() > 0;
        if is_end && self.is_write_unfinished {
            let message = "the connection ended before the request was written";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for ResponseStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&outcome, bytes.len());
        outcome
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let offered = slices.iter().map(|slice| slice.len()).sum();
        self.record_write(&outcome, offered);
        outcome
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
