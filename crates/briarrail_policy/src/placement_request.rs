//! Input of placement for one request.

use briarrail_model::{MilliDuration, StableHash};

/// Input of placement for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Hash of customer and chat; `None` for a request that belongs to no chat.
    pub chat: Option<StableHash>,
    /// Time that the request has already waited for a target.
    pub waited: MilliDuration,
}

impl PlacementRequest {
    /// Creates the input for a request of a chat that has not waited.
    #[must_use]
    pub const fn for_chat(chat: StableHash) -> Self {
        Self {
            chat: Some(chat),
            waited: MilliDuration::ZERO,
        }
    }

    /// Creates the input for a request that belongs to no chat and has not waited.
    #[must_use]
    pub const fn without_chat() -> Self {
        Self {
            chat: None,
            waited: MilliDuration::ZERO,
        }
    }

    /// Sets the time that the request has already waited for a target.
    #[must_use]
    pub const fn waited(mut self, waited: MilliDuration) -> Self {
        self.waited = waited;
        self
    }
}
