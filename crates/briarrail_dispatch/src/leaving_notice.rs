//! A target's word that it leaves.

use briarrail_model::MilliTime;

use crate::NoticeSource;

/// A target's word that it leaves, as first heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Time at which this router first heard it.
    pub heard_at: MilliTime,
    /// Where it is known from.
    pub source: NoticeSource,
}
