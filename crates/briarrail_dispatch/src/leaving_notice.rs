//! A target's notice that it leaves.

use briarrail_model::MilliTime;

use crate::NoticeSource;

/// A target's notice that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Time at which this router first heard it.
    pub heard_at: MilliTime,
    /// Time at which the last request left that was answered with it.
    pub(crate) asked_at: MilliTime,
    /// Where it is known from.
    pub source: NoticeSource,
    /// End of its effect, if it may be one of an earlier run; otherwise it holds for the whole
    /// run.
    pub held_until: Option<MilliTime>,
}

impl LeavingNotice {
    /// Returns whether the target gets no requests because of it.
    #[must_use]
    pub fn holds(&self, now: MilliTime) -> bool {
        self.held_until.is_none_or(|until| until > now)
    }

    /// Returns the one that holds longer.
    pub(crate) fn longer(self, other: Option<Self>) -> Self {
        let end = |notice: &Self| notice.held_until.map_or(u64::MAX, MilliTime::as_millis);
        match other {
            Some(other) if end(&other) > end(&self) => other,
            _ => self,
        }
    }
}
