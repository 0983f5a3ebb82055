//! Tells the end of a response from that of a connection whose request was never taken.
//!
//! A response without a length ends with its connection. If the peer resets the connection while the
//! request is still being written, the write may get the error, and the next read only the end.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection whose reads fail at its end if the peer has not taken all that was written.
#[derive(Debug)]
pub(super) struct UploadStream<S> {
    stream: S,
    /// Whether the last write failed or left bytes over.
    is_write_unfinished: bool,
}

impl<S> UploadStream<S> {
    pub(super) const fn new(stream: S) -> Self {
        Self {
            stream,
            is_write_unfinished: false,
        }
    }

    fn record_write(&mut self, outcome: &Poll<io::Result<usize>>, offered: usize) {
        let is_finished = matches!(outcome, Poll::Ready(Ok(written)) if *written == offered);
        self.is_write_unfinished = !is_finished;
    }
}

impl<S> AsyncRead for UploadStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == filled && buffer.remaining() > 0;
        if is_end && self.is_write_unfinished {
            let message = "the connection ended before the request was written";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, message)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for UploadStream<S>
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
