//! Settings of the engine stand-in.

use std::time::Duration;

use crate::engine::EngineFaults;

/// Settings of the engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Value of the `x-standin` header of each response.
    pub name: String,
    /// Maximum number of concurrent streams.
    pub capacity: usize,
    /// Maximum number of queued requests; further requests are rejected before they run.
    pub queue_limit: usize,
    /// Time to the first token of a fully cached prompt.
    pub first_token: Duration,
    /// Interval between tokens.
    pub token_interval: Duration,
    /// Prefill time, which each uncached prompt token adds to the time to the first token.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Delay with which the engine reports its load.
    pub load_lag: Duration,
    /// Delay with which the engine reports cache events.
    pub event_lag: Duration,
    /// One in this many cache events is dropped; 0 drops none.
    pub event_gap_every: u64,
    /// Time for which a disconnected stream can be resumed.
    pub resume_window: Duration,
    /// Whether the request is rerun from the resume offset if the engine doesn't hold its stream.
    pub reruns_unknown_streams: bool,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fencing: bool,
    /// Initial faults.
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
