//! Activity of a caller connection, for its timeouts and for the end of a stop.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use briarrail_dispatch::{CallerLimits, ConnectionTimeout, ConnectionTimer};
use briarrail_model::MilliTime;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_memory::MemoryHold;
use super::traffic_state::SharedState;
use crate::ProcessClock;

/// Records what happens on a connection, and counts it while its caller is owed a response.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    clock: ProcessClock,
    shared: Arc<SharedState>,
    timer: RefCell<ConnectionTimer>,
    hold: Rc<MemoryHold>,
}

impl ConnectionActivity {
    pub(crate) fn new(clock: ProcessClock, shared: Arc<SharedState>, hold: Rc<MemoryHold>) -> Self {
        Self {
            clock,
            shared,
            timer: RefCell::new(ConnectionTimer::new(clock.now())),
            hold,
        }
    }

    /// Records that a complete request head was received.
    pub(crate) fn start_request(&self) {
        self.update(|timer, _| timer.start_request());
    }

    /// Records that the response to a request was handed over to be written, or dropped.
    pub(crate) fn finish_request(&self) {
        self.update(ConnectionTimer::finish_request);
    }

    /// Returns which timeout of the connection has expired, if any.
    pub(crate) fn expired_timeout(
        &self,
        limits: &CallerLimits,
        now: MilliTime,
    ) -> Option<ConnectionTimeout> {
        self.timer.borrow().expired_timeout(limits, now)
    }

    /// Returns whether the caller is owed a response.
    pub(crate) fn is_busy(&self) -> bool {
        self.timer.borrow().is_busy()
    }

    fn is_writing_response(&self) -> bool {
        self.timer.borrow().is_writing_response()
    }

    fn record_write(&self, written: &Poll<std::io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(count)) if *count > 0 => self.update(|timer, _| timer.record_write()),
            Poll::Ready(_) => {}
            Poll::Pending => self.update(ConnectionTimer::record_blocked_write),
        }
    }

    fn update<U>(&self, update: U)
    where
        U: FnOnce(&mut ConnectionTimer, MilliTime),
    {
        let mut timer = self.timer.borrow_mut();
        let (was_busy, was_blocked) = (timer.is_busy(), timer.is_blocked());
        let now = self.clock.now();
        update(&mut timer, now);
        if timer.is_blocked() != was_blocked {
            self.hold.set_blocked(!was_blocked, now);
        }
        let busy_connections = &self.shared.busy_connections;
        match (was_busy, timer.is_busy()) {
            (false, true) => {
                busy_connections.fetch_add(1, Ordering::Relaxed);
                self.hold.begin_request(now);
            }
            (true, false) => {
                busy_connections.fetch_sub(1, Ordering::Relaxed);
                self.hold.end_request(now);
            }
            _ => {}
        }
    }
}

impl Drop for ConnectionActivity {
    fn drop(&mut self) {
        if self.timer.get_mut().is_busy() {
            let busy_connections = &self.shared.busy_connections;
            busy_connections.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// A caller's TCP stream that records reads and writes in a [`ConnectionActivity`].
#[derive(Debug)]
pub(crate) struct TrackedStream {
    inner: TcpStream,
    activity: Rc<ConnectionActivity>,
    /// Whether the end of the caller's bytes was reached, but not reported yet.
    has_withheld_end: bool,
}

impl TrackedStream {
    pub(crate) const fn new(inner: TcpStream, activity: Rc<ConnectionActivity>) -> Self {
        Self {
            inner,
            activity,
            has_withheld_end: false,
        }
    }
}

impl AsyncRead for TrackedStream {
    /// Reads bytes of the caller.
    ///
    /// The HTTP library drops the rest of a response at the end of the caller's bytes, so that end is
    /// withheld until a complete response was written. The work of its target has ended by then.
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.update(ConnectionTimer::record_read);
        } else if matches!(result, Poll::Ready(Ok(()))) && self.activity.is_writing_response() {
            self.has_withheld_end = true;
            return Poll::Pending;
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
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.activity.record_write(&written);
        written
    }

    /// Flushes the stream; the HTTP library calls this only once it holds no more bytes.
    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.activity.update(ConnectionTimer::record_flush);
            if self.has_withheld_end && !self.activity.is_writing_response() {
                self.has_withheld_end = false;
                context.waker().wake_by_ref();
            }
        }
        flushed
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
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.activity.record_write(&written);
        written
    }
}
