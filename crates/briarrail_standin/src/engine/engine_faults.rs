//! Faults of a model engine.

use serde::{Deserialize, Serialize};

/// Faults of a model engine; the default has none.
///
/// A count says for how many requests to come the fault strikes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Requests refused before running, with the proof of it.
    pub refuse_next: u32,
    /// Requests that run, and whose connection is closed before the head of the answer.
    pub drop_before_head_next: u32,
    /// Streams whose connection is closed after `cut_after_events` events.
    pub cut_next: u32,
    /// Events that a stream to be cut sends before.
    pub cut_after_events: u64,
    /// Streams that end cleanly, but without their terminal event, after `cut_after_events`.
    pub end_early_next: u32,
    /// Streams that stop sending after `cut_after_events` events, on an open connection.
    pub stall_next: u32,
    /// Streams that send each event twice.
    pub repeat_events_next: u32,
    /// Answers that carry the identifier of another request.
    pub wrong_id_next: u32,
    /// Whether streams without a reader are forgotten at once, so that they can't be resumed.
    pub forgets_streams: bool,
    /// Whether the load report gets 503.
    pub load_outage: bool,
}
