//! One caller's connection: idle and slow-head limits, and the stop.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use briarrail_dispatch::CallerLimits;
use briarrail_model::MilliTime;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::ProcessClock;

/// What the limits of a connection are judged by.
#[derive(Debug)]
pub(crate) struct ConnectionWatch {
    clock: ProcessClock,
    is_busy: Cell<bool>,
    /// When the first byte of a head came that is not whole.
    head_since: Cell<Option<MilliTime>>,
    idle_since: Cell<MilliTime>,
}

impl ConnectionWatch {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            is_busy: Cell::new(false),
            head_since: Cell::new(None),
            idle_since: Cell::new(clock.now()),
        }
    }

    /// Notes that a request's head is whole.
    pub(crate) fn begin_request(&self) {
        self.is_busy.set(true);
        self.head_since.set(None);
    }

    /// Notes that a request's answer was handed over.
    pub(crate) fn end_request(&self) {
        self.is_busy.set(false);
        self.idle_since.set(self.clock.now());
    }

    /// Returns whether the connection is over its limits.
    pub(crate) fn is_expired(&self, limits: &CallerLimits, now: MilliTime) -> bool {
        if self.is_busy.get() {
            return false;
        }
        match self.head_since.get() {
            Some(since) => now.since(since) >= limits.header_timeout,
            None => now.since(self.idle_since.get()) >= limits.idle_timeout,
        }
    }

    fn note_bytes(&self) {
        if !self.is_busy.get() && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }
}

/// A caller's socket that tells the watch of bytes.
#[derive(Debug)]
pub(crate) struct WatchedSocket {
    inner: TcpStream,
    watch: Rc<ConnectionWatch>,
}

impl WatchedSocket {
    pub(crate) const fn new(inner: TcpStream, watch: Rc<ConnectionWatch>) -> Self {
        Self { inner, watch }
    }
}

impl AsyncRead for WatchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.watch.note_bytes();
        }
        polled
    }
}

impl AsyncWrite for WatchedSocket {
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
