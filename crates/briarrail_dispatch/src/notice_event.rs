//! What became of something that a target said about itself.

use crate::NoticeSource;

/// What became of something that a target said about itself, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeEvent {
    /// Identifier of the target.
    pub target_id: String,
    /// Unix time at which the run that said it started, in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// Whether the target said that it leaves; otherwise it asked for a pause.
    pub is_leaving: bool,
    /// What became of it.
    pub step: NoticeStep,
}

/// A step in the use of something that a target said about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeStep {
    /// It holds from now on.
    Taken(NoticeSource),
    /// Its target is listed no more; it is remembered in case the target returns.
    Kept,
    /// It holds again, because its run is listed again.
    TakenBack,
    /// Another run of the target is listed, for which it does not hold.
    LeftBehind,
    /// Another run of the target is listed that may have said it, so it holds for a while.
    Carried,
    /// It was dropped from memory in favour of newer ones.
    Forgotten,
    /// It belongs to a run that is not the latest one of its target.
    OtherRun,
}

impl NoticeStep {
    /// Returns the name of the step in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Taken(_) => "taken",
            Self::Kept => "kept",
            Self::TakenBack => "taken_back",
            Self::LeftBehind => "left_behind",
            Self::Carried => "carried",
            Self::Forgotten => "forgotten",
            Self::OtherRun => "passed_over",
        }
    }

    /// Returns where the notice is known from, if the step is that it was heard.
    #[must_use]
    pub const fn source(self) -> Option<NoticeSource> {
        match self {
            Self::Taken(source) => Some(source),
            Self::OtherRun => Some(NoticeSource::Answer),
            Self::Kept | Self::TakenBack | Self::LeftBehind | Self::Carried | Self::Forgotten => {
                None
            }
        }
    }
}
