//! Activity of a caller connection, for its idle timeout and request head timeout.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use briarrail_dispatch::CallerLimits;
use briarrail_model::MilliTime;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::ProcessClock;

/// The timeout of a connection that expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionTimeout {
    /// A request head is still incomplete.
    Head,
    /// No request arrived.
    Idle,
}

/// Tracks what the timeouts of a connection depend on.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    clock: ProcessClock,
    /// Whether a complete head was received and the response was not yet sent.
    request_in_progress: Cell<bool>,
    /// Time of the first byte of a request head that is still incomplete.
    header_started_at: Cell<Option<MilliTime>>,
    idle_since: Cell<MilliTime>,
}

impl ConnectionActivity {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            request_in_progress: Cell::new(false),
            header_started_at: Cell::new(None),
            idle_since: Cell::new(clock.now()),
        }
    }

    /// Records that a complete request head was received.
    pub(crate) fn start_request(&self) {
        self.request_in_progress.set(true);
        self.header_started_at.set(None);
    }

    /// Records that the response to a request was sent or dropped.
    pub(crate) fn finish_request(&self) {
        self.request_in_progress.set(false);
        self.idle_since.set(self.clock.now());
    }

    /// Returns which timeout of the connection has expired, if any.
    ///
    /// None applies while a request is in progress.
    pub(crate) fn expired_timeout(
        &self,
        limits: &CallerLimits,
        now: MilliTime,
    ) -> Option<ConnectionTimeout> {
        if self.request_in_progress.get() {
            return None;
        }
        let (timeout, since, limit) = match self.header_started_at.get() {
            Some(since) => (ConnectionTimeout::Head, since, limits.header_timeout),
            None => (
                ConnectionTimeout::Idle,
                self.idle_since.get(),
                limits.idle_timeout,
            ),
        };
        (now.since(since) >= limit).then_some(timeout)
    }

    /// Records that bytes were read; outside a request, they start the next request head.
    fn record_read(&self) {
        if !self.request_in_progress.get() && self.header_started_at.get().is_none() {
            self.header_started_at.set(Some(self.clock.now()));
        }
    }
}

/// A caller's TCP stream that records reads in a [`ConnectionActivity`].
#[derive(Debug)]
pub(crate) struct TrackedStream {
    inner: TcpStream,
    activity: Rc<ConnectionActivity>,
}

impl TrackedStream {
    pub(crate) const fn new(inner: TcpStream, activity: Rc<ConnectionActivity>) -> Self {
        Self { inner, activity }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.record_read();
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }
}
