//! Stored records of claims.

use std::sync::Arc;

use briarrail_model::{MilliTime, StableHash};
use briarrail_peer::ClaimAnswer;
use serde::{Deserialize, Serialize};

const RECORD_OVERHEAD_BYTES: usize = 64;

/// State of the call that was granted a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// The claim was granted; the outcome has not been reported.
    Open,
    /// The call provably did not run; the key may be claimed again.
    Released,
    /// The call may have run.
    InDoubt,
    /// The call was answered.
    Answered(ClaimAnswer),
}

/// The stored record of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    pub(crate) key: Arc<str>,
    pub(crate) body_hash: StableHash,
    pub(crate) attempt_id: u128,
    /// Sequence number of the commit that granted the claim.
    pub(crate) fencing: u64,
    /// Time of the grant; never decreases from one commit of the bucket to the next.
    pub(crate) claimed_at: MilliTime,
    pub(crate) state: ClaimState,
}

impl ClaimRecord {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn approx_bytes(&self) -> usize {
        let answer = match &self.state {
            ClaimState::Answered(answer) => {
                let body = answer.body.as_ref().map_or(0, bytes::Bytes::len);
                body + answer.content_type.as_ref().map_or(0, String::len)
            }
            _ => 0,
        };
        RECORD_OVERHEAD_BYTES + self.key.len() + answer
    }
}
