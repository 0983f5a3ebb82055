//! Load records that routers exchange.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::MilliTime;

/// An observation of a target's load, exchanged between routers.
///
/// Of two records of a target, the one with the higher `version` wins, then the one with the lower
/// `keep_share`, then the one with the higher `streams`. Routers therefore converge on the same
/// record, whatever the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// Version of the record; the observer's Unix time in milliseconds.
    pub version: MilliTime,
    /// Streams that the target is running or has queued.
    pub streams: u32,
    /// Fraction of its home chats that the target keeps, in units of 1/255. Rendezvous hashing
    /// assigns chats to their home targets.
    pub keep_share: u8,
}

impl LoadRecord {
    /// Returns whether this record replaces `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let precedence =
            |record: &Self| (record.version, Reverse(record.keep_share), record.streams);
        precedence(self) > precedence(other)
    }
}
