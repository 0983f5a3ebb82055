//! Durable records of claims.

use std::sync::Arc;

use briarrail_model::{MilliTime, StableHash};
use briarrail_peer::ClaimAnswer;
use serde::{Deserialize, Serialize};

const RECORD_BYTES: usize = 64;

/// What is known of the call that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// Granted; the outcome has not been reported.
    Open,
    /// It is proved that the call was not run; the key may be claimed again.
    Released,
    /// The call may have run.
    InDoubt,
    /// The call was answered.
    Answered(ClaimAnswer),
}

/// The durable record of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    pub(crate) key: Arc<str>,
    pub(crate) body_hash: StableHash,
    pub(crate) attempt_id: u128,
    /// Sequence number of the commit that granted the claim.
    pub(crate) fencing: u64,
    /// Time of the grant; it never falls from one commit of the bucket to the next.
    pub(crate) claimed_at: MilliTime,
    pub(crate) state: ClaimState,
}

impl ClaimRecord {
    /// Returns the approximate size when encoded, in bytes.
    pub(crate) fn weight(&self) -> usize {
        let answer = match &self.state {
            ClaimState::Answered(answer) => {
                let body = answer.body.as_ref().map_or(0, bytes::Bytes::len);
                body + answer.content_type.as_ref().map_or(0, String::len)
            }
            _ => 0,
        };
        RECORD_BYTES + self.key.len() + answer
    }
}
