//! Entries of the ledger.

use serde::{Deserialize, Serialize};

/// All runs under one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Idempotency key; for a call without one, `request:` and the identifier of the request.
    pub key: String,
    /// Times that a call with the key was run.
    pub runs: u32,
    /// Method and path of the first run.
    pub call: String,
    /// Digest of the body of the first run.
    pub body_digest: String,
    /// Identifiers of the requests, one a run.
    pub request_ids: Vec<String>,
}
