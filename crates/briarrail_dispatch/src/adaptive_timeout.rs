//! How long a silent target is waited for.
//!
//! Load pattern: some targets take requests and never answer. A request that may be repeated can
//! still be in time at another target if it leaves early; leaving too early under load repeats work
//! that was about to be answered. A prompt is worth more patience than a plain call, since another
//! target has to read it again.

use briarrail_model::MilliDuration;

/// Weight of the newest answer in the averages.
const EWMA_GAIN: f32 = 0.05;
/// Deviations above the mean that an answer may take.
const DEVIATION_FACTOR: f32 = 5.0;
/// Least patience as a part of the objective, so that a repeat has the rest.
const MIN_OBJECTIVE_FACTOR: f32 = 0.5;
/// Most patience as a multiple of the objective.
const MAX_OBJECTIVE_FACTOR: f32 = 2.0;

/// Usual times to the first bytes of answers of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdaptiveTimeout {
    mean: f32,
    deviation: f32,
    samples: u32,
}

impl AdaptiveTimeout {
    /// Takes the time that an answer took.
    pub fn record_response_time(&mut self, elapsed: MilliDuration) {
        let elapsed = elapsed.as_millis() as f32;
        let gain = EWMA_GAIN.max(1.0 / (self.samples + 1) as f32);
        let error = elapsed - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the silence after which a request goes to another target.
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
