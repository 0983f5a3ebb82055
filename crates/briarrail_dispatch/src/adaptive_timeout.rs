//! Adaptive timeout for a target that has not responded yet.
//!
//! Some targets accept requests and never respond. A retryable request can still meet its deadline
//! at another target if the gateway gives up early enough, but giving up too early under load
//! repeats work that was about to complete. Requests with a prompt get a longer timeout than plain
//! calls, because another target has to process the prompt again.

use briarrail_model::MilliDuration;

/// Weight of the newest response time in the moving averages.
const EWMA_GAIN: f32 = 0.05;
/// Number of mean deviations above the mean response time at which the timeout is set.
const DEVIATION_FACTOR: f32 = 5.0;
/// Lower bound of the timeout as a fraction of the objective; leaves the rest for a retry.
const MIN_OBJECTIVE_FACTOR: f32 = 0.5;
/// Upper bound of the timeout as a multiple of the objective.
const MAX_OBJECTIVE_FACTOR: f32 = 2.0;

/// Moving averages of the time to the first response bytes for one kind of request.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdaptiveTimeout {
    mean: f32,
    deviation: f32,
    samples: u32,
}

impl AdaptiveTimeout {
    /// Records the response time of a request.
    pub fn record_response_time(&mut self, elapsed: MilliDuration) {
        let elapsed = elapsed.as_millis() as f32;
        let gain = EWMA_GAIN.max(1.0 / (self.samples + 1) as f32);
        let error = elapsed - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns how long to wait for a response before retrying at another target.
    #[must_use]
    pub fn timeout(&self, objective: MilliDuration, has_prompt: bool) -> MilliDuration {
        let objective = objective.as_millis() as f32;
        if has_prompt {
            return MilliDuration::from_millis((objective * MAX_OBJECTIVE_FACTOR) as u64);
        }
        let expected_max = DEVIATION_FACTOR.mul_add(self.deviation, self.mean);
        let timeout = expected_max.clamp(
            objective * MIN_OBJECTIVE_FACTOR,
            objective * MAX_OBJECTIVE_FACTOR,
        );
        MilliDuration::from_millis(timeout as u64)
    }
}
