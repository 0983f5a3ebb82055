//! Faults of a model engine.

use serde::{Deserialize, Serialize};

/// Faults that a model engine injects; the default has none.
///
/// A field whose name ends in `_next` counts the upcoming requests that the fault affects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Requests rejected before they run, with the header `x-not-run`.
    pub refuse_next: u32,
    /// Requests that run, but whose connection is closed before the response head.
    pub drop_before_head_next: u32,
    /// Streams whose connection is closed after `cut_after_events` events.
    pub cut_next: u32,
    /// Events that a stream sends before it is cut, ended early or stalled.
    pub cut_after_events: u64,
    /// Streams that end without an error but also without the terminal event, after
    /// `cut_after_events` events.
    pub end_early_next: u32,
    /// Streams that send nothing after `cut_after_events` events, on a connection that stays open.
    pub stall_next: u32,
    /// Streams that send each event twice.
    pub repeat_events_next: u32,
    /// Responses that carry the ID of another request.
    pub wrong_id_next: u32,
    /// Resumptions that are answered with a text that is not the rest of the stream.
    pub foreign_resumption_next: u32,
    /// Whether a stream is dropped as soon as its client disconnects, so that it can't be resumed.
    pub forgets_streams: bool,
    /// Whether load reports are answered with status 503.
    pub load_outage: bool,
}
