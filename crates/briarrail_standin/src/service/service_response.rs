//! Answers of the service.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The answer to a call that ran, a function of its path and body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ServiceAnswer")]
pub struct ServiceResponse {
    /// Path of the call.
    pub path: String,
    /// Digest of the body, by which the caller knows that the answer is to its own request.
    pub body_digest: String,
}

/// Returns the digest of a body, as answers and the ledger give it.
#[must_use]
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
