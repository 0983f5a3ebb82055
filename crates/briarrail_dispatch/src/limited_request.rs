//! A request, as the rate limit of a target sees it.

use briarrail_model::StableHash;

/// A request that was placed at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedRequest {
    /// Identifies the prompt; the same for all requests that share it.
    pub prompt: StableHash,
    /// Identifies the request.
    pub seed: StableHash,
}
