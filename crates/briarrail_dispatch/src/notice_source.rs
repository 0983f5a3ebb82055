//! Where something that a target said about itself is known from.

/// Where something that a target said about itself is known from, in rising order of weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoticeSource {
    /// An answer to a request of another router.
    Exchange,
    /// An answer to a request of this router.
    Answer,
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
