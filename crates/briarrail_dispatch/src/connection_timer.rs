//! Decides when the connection of a caller has timed out.

use briarrail_model::{MilliDuration, MilliTime};

use crate::CallerLimits;

/// Time without progress after which a caller that takes no more of its response is given up.
const WRITE_TIMEOUT: MilliDuration = MilliDuration::from_millis(30_000);

/// The timeout of a connection that expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionTimeout {
    /// A request head is still incomplete.
    Head,
    /// No request arrived.
    Idle,
    /// The caller took no byte of a response.
    Write,
}

/// Tracks what the timeouts of a connection depend on.
///
/// A response occupies the connection until its last byte was written to the socket, which can be
/// long after the response was handed to the HTTP library.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimer {
    /// Whether a complete head was received and the response was not yet handed over.
    request_in_progress: bool,
    /// Whether bytes of a response may still have to be written.
    is_unflushed: bool,
    /// Time since which the socket takes no more bytes.
    blocked_since: Option<MilliTime>,
    /// Time of the first byte of a request head that is still incomplete.
    header_started_at: Option<MilliTime>,
    idle_since: MilliTime,
}

impl ConnectionTimer {
    /// Creates the timer of a new connection.
    #[must_use]
    pub const fn new(now: MilliTime) -> Self {
        Self {
            request_in_progress: false,
            is_unflushed: false,
            blocked_since: None,
            header_started_at: None,
            idle_since: now,
        }
    }

    /// Records that a complete request head was received.
    pub const fn start_request(&mut self) {
        self.request_in_progress = true;
        self.is_unflushed = true;
        self.header_started_at = None;
    }

    /// Records that the response to a request was handed over to be written, or dropped.
    pub const fn finish_request(&mut self, now: MilliTime) {
        self.request_in_progress = false;
        self.idle_since = now;
    }

    /// Records that bytes were read; outside a request, they start the next request head.
    pub fn record_read(&mut self, now: MilliTime) {
        if !self.request_in_progress {
            self.header_started_at.get_or_insert(now);
        }
    }

    /// Records that the socket took bytes of a response.
    pub const fn record_write(&mut self) {
        self.is_unflushed = true;
        self.blocked_since = None;
    }

    /// Records that the socket takes no more bytes at present.
    pub fn record_blocked_write(&mut self, now: MilliTime) {
        self.is_unflushed = true;
        self.blocked_since.get_or_insert(now);
    }

    /// Records that all bytes that were handed over have been written.
    pub const fn record_flush(&mut self, now: MilliTime) {
        self.blocked_since = None;
        if self.is_unflushed && !self.request_in_progress {
            self.is_unflushed = false;
            self.idle_since = now;
        }
    }

    /// Returns whether a request is in progress, or its response is still being written.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.is_unflushed
    }

    /// Returns whether the socket takes no more bytes at present.
    #[must_use]
    pub const fn is_blocked(&self) -> bool {
        self.blocked_since.is_some()
    }

    /// Returns whether a complete response is still being written.
    #[must_use]
    pub const fn is_writing_response(&self) -> bool {
        self.is_unflushed && !self.request_in_progress
    }

    /// Returns which timeout of the connection has expired, if any.
    ///
    /// While a request is in progress or its response is being written, only a caller that takes no
    /// byte times out. The time for a head starts once the earlier response was written.
    #[must_use]
    pub fn expired_timeout(
        &self,
        limits: &CallerLimits,
        now: MilliTime,
    ) -> Option<ConnectionTimeout> {
        if let Some(since) = self.blocked_since {
            return (now.since(since) >= WRITE_TIMEOUT).then_some(ConnectionTimeout::Write);
        }
        if self.is_busy() {
            return None;
        }
        let (timeout, since, limit) = match self.header_started_at {
            Some(since) => (
                ConnectionTimeout::Head,
                since.max(self.idle_since),
                limits.header_timeout,
            ),
            None => (
                ConnectionTimeout::Idle,
                self.idle_since,
                limits.idle_timeout,
            ),
        };
        (now.since(since) >= limit).then_some(timeout)
    }
}
