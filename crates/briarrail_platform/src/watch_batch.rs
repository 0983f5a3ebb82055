//! Result of a watch.

use serde::{Deserialize, Serialize};

use crate::ObjectVersion;

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key of the object.
    pub key: String,
    /// Version of the object, or the revision at which it was deleted.
    pub version: ObjectVersion,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// The changes since the start revision of a watch; empty when the watch timed out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Revision from which to start the next watch.
    pub revision: ObjectVersion,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}
