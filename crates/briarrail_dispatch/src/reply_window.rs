//! Bounds the time at which the reply to a long-running call was sent.

use briarrail_model::MilliTime;

use crate::ViewTimeBounds;

/// Tracks since when the reply to a call can have been sent.
///
/// While a process is frozen, a reply waits in its socket, so the time at which it is received says
/// little. The caller checks periodically whether the reply is there. A reply that is still missing
/// at a check had not arrived by the check before, since the process has read its sockets
/// in between. The time in transit is not known and not covered; the timeout of the call limits it.
///
/// # Examples
///
/// ```
/// use briarrail_dispatch::ReplyWindow;
/// use briarrail_model::MilliTime;
///
/// let at = MilliTime::from_millis;
/// let mut window = ReplyWindow::open(at(0));
/// window.record_pending(at(100));
/// // The process is frozen here.
/// window.record_pending(at(3_000));
/// assert_eq!(window.close(at(3_001)).earliest, at(100));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ReplyWindow {
    /// Time by which the reply had not arrived.
    absent_at: MilliTime,
    /// Time of the last check.
    checked_at: MilliTime,
}

impl ReplyWindow {
    /// Starts with the request.
    #[must_use]
    pub const fn open(requested_at: MilliTime) -> Self {
        Self {
            absent_at: requested_at,
            checked_at: requested_at,
        }
    }

    /// Records a check that found no reply.
    pub const fn record_pending(&mut self, now: MilliTime) {
        self.absent_at = self.checked_at;
        self.checked_at = now;
    }

    /// Returns the bounds on the time of a reply that was received now.
    #[must_use]
    pub const fn close(self, received_at: MilliTime) -> ViewTimeBounds {
        ViewTimeBounds {
            earliest: self.absent_at,
            latest: received_at,
        }
    }
}
