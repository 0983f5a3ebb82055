//! Load of a target, as routers exchange it.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::MilliTime;

/// One observation of a target's load, as it travels between routers.
///
/// Two records of one target merge by the greater `version`, then by the lower `keep_share`, then
/// by the greater `streams`, so that routers agree in whatever order records arrive.
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
        let rank = |record: &Self| (record.version, Reverse(record.keep_share), record.streams);
        rank(self) > rank(other)
    }
}
