//! How strongly the load at the targets corrects the share of requests to send.

use crate::CompletionBasis;

/// Decides how the load at the targets corrects the share of requests that follows from rates.
///
/// Counts of the load are some hundred milliseconds old. To a plain call of some tens of milliseconds
/// they say little, so that a strong correction would make the load oscillate. A prompt holds its slot for
/// longer than the counts are old, and its rates are less certain, since prompts differ in size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPolicy {
    /// Which requests count for the throughput of the targets.
    pub(crate) basis: CompletionBasis,
    /// Part of the objective that a request may spend at a target; the rest covers the spread of
    /// service times and of the queues of single targets.
    pub(crate) target_time_ratio: f32,
    /// Minimum load per slot that is aimed for.
    pub(crate) min_load_per_slot: f32,
    /// Exponent of the correction by the current load, if that load is known without delay.
    pub(crate) load_exponent: f32,
    /// Exponent of the correction by the mean load.
    pub(crate) mean_load_exponent: f32,
    /// Number of service times after which a count of the load says little about the present one.
    pub(crate) load_validity_service_times: f32,
}

impl AdmissionPolicy {
    /// For calls that last some tens of milliseconds.
    pub const PLAIN_CALLS: Self = Self {
        basis: CompletionBasis::Outcomes,
        target_time_ratio: 0.3,
        // No slot stays idle between two calls.
        min_load_per_slot: 1.2,
        load_exponent: 0.5,
        // The load changes many times as much as the ratio while the demand is close to the capacity.
        mean_load_exponent: 0.2,
        load_validity_service_times: 3.0,
    };

    /// For prompts, whose streams hold their slots for longer than the counts are old.
    pub const PROMPTS: Self = Self {
        basis: CompletionBasis::Answers,
        target_time_ratio: 0.3,
        min_load_per_slot: 1.0,
        load_exponent: 1.2,
        mean_load_exponent: 0.5,
        load_validity_service_times: 10.0,
    };
}
