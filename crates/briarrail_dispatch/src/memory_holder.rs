//! What a router holds for one connection of a caller.

use briarrail_model::{MilliDuration, MilliTime, StableHash};

/// Time in which a body has to grow by [`MIN_PROGRESS_BYTES`], or else it gives way to others when
/// the budget is used up.
const STALL_TIME: MilliDuration = MilliDuration::from_millis(1_000);
/// Growth that counts as progress of a body, in bytes.
const MIN_PROGRESS_BYTES: usize = 1_024;
/// Time for which a caller may take nothing of its answer before it gives way.
const BLOCKED_TIME: MilliDuration = MilliDuration::from_millis(1_000);
/// Time in which a caller has to take one piece of its answer, or else it gives way.
const PIECE_TIME: MilliDuration = MilliDuration::from_millis(10_000);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HolderPhase {
    /// No complete head of a request has arrived since the last response.
    Idle,
    /// A request is in progress, or its response is being written.
    Busy,
    /// The connection is about to be closed.
    Closing,
}

/// A body that is arriving.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivingBody {
    /// Size in memory, in bytes.
    pub(crate) charged: usize,
    received: usize,
    /// Announced length, or the limit for a body without one, in bytes.
    expected: usize,
    progress_at: MilliTime,
    progress_bytes: usize,
}

impl ArrivingBody {
    pub(crate) const fn new(expected: usize, now: MilliTime) -> Self {
        Self {
            charged: 0,
            received: 0,
            expected,
            progress_at: now,
            progress_bytes: 0,
        }
    }

    pub(crate) fn record_arrival(&mut self, received: usize, now: MilliTime) {
        self.received = received;
        if received >= self.progress_bytes + MIN_PROGRESS_BYTES {
            self.progress_at = now;
            self.progress_bytes = received;
        }
    }

    pub(crate) const fn remaining(&self) -> usize {
        self.expected.saturating_sub(self.received)
    }

    /// Returns for how long the body has made no progress, if that is too long.
    pub(crate) fn stalled_for(&self, now: MilliTime) -> Option<MilliDuration> {
        let elapsed = now.since(self.progress_at);
        (elapsed >= STALL_TIME).then_some(elapsed)
    }
}

/// What a router holds for one connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryHolder {
    pub(crate) phase: HolderPhase,
    pub(crate) phase_since: MilliTime,
    /// Whether a request of the connection was answered.
    pub(crate) is_served: bool,
    pub(crate) customer: Option<StableHash>,
    pub(crate) body: Option<ArrivingBody>,
    /// Size of the answers that the caller has not taken yet, in bytes.
    pub(crate) answer_bytes: usize,
    /// Time since which the oldest piece of an answer waits.
    pub(crate) answer_since: MilliTime,
    /// Whether the answer is relayed, and occupies a target until it was taken.
    pub(crate) is_relayed: bool,
    /// Time since which a piece of the answer waits for room.
    pub(crate) waiting_since: Option<MilliTime>,
    /// Time since which the caller takes nothing.
    pub(crate) blocked_since: Option<MilliTime>,
}

impl MemoryHolder {
    pub(crate) const fn new(now: MilliTime) -> Self {
        Self {
            phase: HolderPhase::Idle,
            phase_since: now,
            is_served: false,
            customer: None,
            body: None,
            answer_bytes: 0,
            answer_since: now,
            is_relayed: false,
            waiting_since: None,
            blocked_since: None,
        }
    }

    /// Returns whether the answer occupies a target without getting on.
    pub(crate) fn is_slow_relay(&self, now: MilliTime) -> bool {
        let is_waiting = self
            .waiting_since
            .is_some_and(|since| now.since(since) >= BLOCKED_TIME);
        let may_wait = self.phase != HolderPhase::Closing && is_waiting;
        self.is_relayed && (may_wait || self.is_slow_reader(now))
    }

    /// Returns whether the caller takes its answer too slowly to keep it when others need room.
    pub(crate) fn is_slow_reader(&self, now: MilliTime) -> bool {
        let is_blocked = self
            .blocked_since
            .is_some_and(|since| now.since(since) >= BLOCKED_TIME);
        let is_late = self.answer_bytes > 0 && now.since(self.answer_since) >= PIECE_TIME;
        self.phase != HolderPhase::Closing && (is_blocked || is_late)
    }
}
