//! Responses of a plain service.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Response body for a request that ran, determined by the path and the body of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Path of the request.
    pub path: String,
    /// Digest of the request body, with which a client checks that the response is to its request.
    pub body_digest: String,
}

/// Returns the digest of a request body, as in responses and the ledger.
#[must_use]
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
