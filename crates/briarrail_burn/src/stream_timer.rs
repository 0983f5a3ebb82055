//! Timing of the tokens of an answer.

use briarrail_model::{MilliDuration, MilliTime, ServiceObjective};

/// Numbers of tokens and of late tokens of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Whether the first token was late; `None` if there was none.
    pub first_token_late: Option<bool>,
    /// Number of tokens after the first.
    pub gaps: u64,
    /// Number of tokens after the first that were late.
    pub late_gaps: u64,
}

/// Compares the timing of the tokens of an answer with an objective.
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
    first_token_limit: MilliDuration,
    token_gap_limit: MilliDuration,
    last_token_at: MilliTime,
    counts: StreamCounts,
}

impl StreamTimer {
    /// Creates a timer that starts at `now`, the arrival of the request.
    #[must_use]
    pub fn new(objective: &ServiceObjective, now: MilliTime) -> Self {
        Self {
            first_token_limit: objective.first_token_ms,
            token_gap_limit: objective.token_gap_ms,
            last_token_at: now,
            counts: StreamCounts::default(),
        }
    }

    /// Records a token, or the first byte of an answer that is not streamed.
    pub fn record_token(&mut self, now: MilliTime) {
        let wait = now.since(self.last_token_at);
        self.last_token_at = now;
        if self.counts.first_token_late.is_none() {
            self.counts.first_token_late = Some(wait > self.first_token_limit);
            return;
        }
        self.counts.gaps += 1;
        self.counts.late_gaps += u64::from(wait > self.token_gap_limit);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> StreamCounts {
        self.counts
    }
}
