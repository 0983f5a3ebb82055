//! Ledger entries.

use serde::{Deserialize, Serialize};

/// All runs with the same idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Idempotency key; `request:<request ID>` for a request without one.
    pub key: String,
    /// Number of runs.
    pub runs: u32,
    /// Method and path of the first run.
    pub call: String,
    /// Digest of the request body of the first run.
    pub body_digest: String,
    /// Request IDs, one per run.
    pub request_ids: Vec<String>,
}
