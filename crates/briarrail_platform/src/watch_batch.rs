//! What a watch returns.

use serde::{Deserialize, Serialize};

use crate::ObjectVersion;

/// One change that a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key of the object.
    pub key: String,
    /// Version of the object, or of its deletion.
    pub version: ObjectVersion,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// The changes since the revision that a watch started from; none when it timed out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Revision from which the next watch starts.
    pub revision: ObjectVersion,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}
