//! Times the tokens of one answer.

use briarrail_model::{MilliDuration, MilliTime, ServiceObjective};

/// Tokens of one answer that came late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Whether the first token came late; nothing when none came.
    pub first_token_late: Option<bool>,
    /// Tokens after the first.
    pub gaps: u64,
    /// Tokens after the first that came late.
    pub late_gaps: u64,
}

/// Compares the tokens of one answer with an objective.
///
/// ```
/// use briarrail_burn::StreamTimer;
/// use briarrail_model::{MilliTime, ServiceObjective};
///
/// let start = MilliTime::from_millis(0);
/// let mut timer = StreamTimer::new(&ServiceObjective::default(), start);
/// timer.record_token(MilliTime::from_millis(900));
/// timer.record_token(MilliTime::from_millis(1_000));
/// assert_eq!(timer.counts().first_token_late, Some(false));
/// assert_eq!(timer.counts().late_gaps, 1);
/// ```
#[derive(Debug, Clone)]
pub struct StreamTimer {
    first_limit: MilliDuration,
    gap_limit: MilliDuration,
    last: MilliTime,
    counts: StreamCounts,
}

impl StreamTimer {
    /// Starts when the request arrives.
    #[must_use]
    pub fn new(objective: &ServiceObjective, now: MilliTime) -> Self {
        Self {
            first_limit: objective.first_token_ms,
            gap_limit: objective.token_gap_ms,
            last: now,
            counts: StreamCounts::default(),
        }
    }

    /// Takes in a token, or the first byte of a plain answer.
    pub fn record_token(&mut self, now: MilliTime) {
        let wait = now.since(self.last);
        self.last = now;
        if self.counts.first_token_late.is_none() {
            self.counts.first_token_late = Some(wait > self.first_limit);
            return;
        }
        self.counts.gaps += 1;
        self.counts.late_gaps += u64::from(wait > self.gap_limit);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> StreamCounts {
        self.counts
    }
}
