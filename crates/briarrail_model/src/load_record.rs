//! Load of a target, as routers exchange it.

use serde::{Deserialize, Serialize};

use crate::MilliTime;

/// One observation of a target's load, as it travels between routers.
///
/// Two records of one target merge by the greater `version`, then by the lower `keep_share`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Version of the record; the observer's Unix time in milliseconds.
    pub version: MilliTime,
    /// Streams that the target runs or queues.
    pub streams: u32,
    /// Part of its home chats that the target keeps, in 1/255.
    pub keep_share: u8,
}

impl LoadRecord {
    /// Returns whether this record replaces `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let newer = self.version > other.version;
        let tie = self.version == other.version;
        newer || (tie && self.keep_share < other.keep_share)
    }
}
