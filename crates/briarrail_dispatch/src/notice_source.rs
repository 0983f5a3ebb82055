//! Where something that a target said about itself is known from.

/// Where something that a target said about itself is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeSource {
    /// An answer to a request of this router.
    Answer,
    /// An answer to a request of another router.
    Exchange,
}

impl NoticeSource {
    /// Returns the name of the source in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Exchange => "exchange",
        }
    }
}
