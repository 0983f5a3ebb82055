//! What placement knows of a request.

use briarrail_model::{MilliDuration, StableHash};

/// What placement knows of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Hash of customer and chat; none for a request that belongs to no chat.
    pub chat: Option<StableHash>,
    /// Time that the request has waited for a target so far.
    pub waited: MilliDuration,
}

impl PlacementRequest {
    /// Makes a request of a chat that has not waited.
    #[must_use]
    pub const fn for_chat(chat: StableHash) -> Self {
        Self {
            chat: Some(chat),
            waited: MilliDuration::ZERO,
        }
    }

    /// Makes a request that belongs to no chat.
    #[must_use]
    pub const fn without_chat() -> Self {
        Self {
            chat: None,
            waited: MilliDuration::ZERO,
        }
    }

    /// Sets the time that the request has waited for a target so far.
    #[must_use]
    pub const fn waited(mut self, waited: MilliDuration) -> Self {
        self.waited = waited;
        self
    }
}
