//! Settings of the engine stand-in.

use std::time::Duration;

use crate::engine::EngineFaults;

/// Settings of the engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name that goes into the header `x-standin` of each answer.
    pub name: String,
    /// Streams that run at once.
    pub capacity: usize,
    /// Requests that wait for a place; more are refused before running.
    pub queue_limit: usize,
    /// Time to the first token of a prompt that is wholly cached.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time that each uncached token of the prompt adds to the first token.
    pub prefill_per_token: Duration,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Age of the load that the engine reports.
    pub load_lag: Duration,
    /// Age at which cache events show.
    pub event_lag: Duration,
    /// One in this many cache events is lost; 0 loses none.
    pub event_gap_every: u64,
    /// Time for which a stream without a reader is kept for a resume.
    pub resume_window: Duration,
    /// Whether a resume of a stream that the engine doesn't hold is run anew from its offset.
    pub reruns_unknown_streams: bool,
    /// Whether an order with an outdated fencing number is refused.
    pub checks_fencing: bool,
    /// Faults at the start.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: String::new(),
            capacity: 256,
            queue_limit: 256,
            first_token: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            prefill_per_token: Duration::from_micros(20),
            cache_tokens: 200_000,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_gap_every: 0,
            resume_window: Duration::from_secs(2),
            reruns_unknown_streams: false,
            checks_fencing: true,
            faults: EngineFaults::default(),
        }
    }
}
