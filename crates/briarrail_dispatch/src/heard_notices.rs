//! What one run of a target said about itself.

use briarrail_model::{MilliDuration, MilliTime};

use crate::{LeavingNotice, NoticeSource, PauseReport, TargetNotice, TargetPause};

/// Tolerance for the start time that a target names by its own clock; clocks of a site differ by less.
const CLOCK_TOLERANCE: MilliDuration = MilliDuration::from_secs(1);
/// Time for which a notice holds that may be one of an earlier run; a target that leaves is delisted by
/// then.
const UNCERTAIN_HOLD: MilliDuration = MilliDuration::from_secs(30);

/// A pause for which a target asked this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeardPause {
    pause: TargetPause,
    /// Time at which the last request left that was answered with it.
    asked_at: MilliTime,
    /// Whether it may be one of an earlier run.
    is_uncertain: bool,
}

impl HeardPause {
    fn longer(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.pause.until() > self.pause.until() => other,
            _ => self,
        }
    }
}

/// What one run of a target said about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct HeardNotices {
    leaving: Option<LeavingNotice>,
    pause: Option<HeardPause>,
    /// The pause for which the target asked other routers, if it means all of them.
    peer_pause: Option<TargetPause>,
}

impl HeardNotices {
    /// Records what the target said to this router in the answer to a request that left at `asked_at`,
    /// and returns whether that is news.
    ///
    /// A target that leaves does so until its run ends, and of two pauses the longer one counts.
    pub(crate) fn record(
        &mut self,
        notice: TargetNotice,
        asked_at: MilliTime,
        now: MilliTime,
    ) -> bool {
        match notice {
            TargetNotice::Leaving => self.record_leaving(NoticeSource::Answer, asked_at, now),
            TargetNotice::Paused(pause) => {
                let is_news = self.pause_left(now).is_none();
                let heard = HeardPause {
                    pause,
                    asked_at,
                    is_uncertain: false,
                };
                self.pause = Some(heard.longer(self.pause));
                is_news
            }
        }
    }

    /// Records that the target leaves, and returns whether that, or that this router heard it itself, is
    /// news.
    pub(crate) fn record_leaving(
        &mut self,
        source: NoticeSource,
        asked_at: MilliTime,
        now: MilliTime,
    ) -> bool {
        let known = self.leaving.filter(|notice| notice.held_until.is_none());
        if let Some(mut known) = known.filter(|notice| notice.source >= source) {
            if known.source == source {
                known.asked_at = known.asked_at.max(asked_at);
                self.leaving = Some(known);
            }
            return false;
        }
        self.leaving = Some(LeavingNotice {
            heard_at: now,
            asked_at,
            source,
            held_until: None,
        });
        true
    }

    /// Records a pause for which the target asked other routers, of the fleet's number of routers.
    pub(crate) fn record_peer_pause(
        &mut self,
        report: PauseReport,
        routers: usize,
        now: MilliTime,
    ) {
        if report.means_all(routers) {
            let pause = TargetPause::new(report.left, now);
            // The end is kept, since each report is about as old as the one before.
            let known = self.peer_pause.filter(|known| known.until() > now);
            self.peer_pause = Some(known.unwrap_or(pause));
        }
    }

    /// Returns the notice that the target leaves.
    pub(crate) const fn leaving(&self) -> Option<LeavingNotice> {
        self.leaving
    }

    /// Returns whether the run certainly said that it leaves.
    pub(crate) fn is_surely_leaving(&self) -> bool {
        let is_sure = |notice: LeavingNotice| notice.held_until.is_none();
        self.leaving.is_some_and(is_sure)
    }

    /// Returns the time that is left of the pause for which the run certainly asked this router.
    pub(crate) fn pause_left(&self, now: MilliTime) -> Option<MilliDuration> {
        let heard = self.pause.filter(|heard| !heard.is_uncertain)?;
        let until = heard.pause.until();
        (until > now).then(|| until.since(now))
    }

    /// Returns the longest pause for which the target asked any router.
    pub(crate) fn longest_pause(&self) -> Option<TargetPause> {
        match self.pause {
            Some(heard) => Some(heard.pause.latest(self.peer_pause)),
            None => self.peer_pause,
        }
    }

    /// Returns whether anything was said that still holds.
    pub(crate) fn has_any(&self, now: MilliTime) -> bool {
        self.leaving.is_some_and(|notice| notice.holds(now))
            || self
                .longest_pause()
                .is_some_and(|pause| !pause.is_over(now))
    }

    /// Returns what a later run may have said, which started at a time.
    ///
    /// While a run is not listed yet, its answers count as those of the run before; a request that left
    /// before its start was answered by an earlier one. What other routers heard is left with that run:
    /// they judge by their own answers.
    pub(crate) fn carried_into(&self, started_at: MilliTime) -> Self {
        let may_be_later = |asked_at: MilliTime| asked_at + CLOCK_TOLERANCE >= started_at;
        let leaving = self.leaving.filter(|notice| {
            notice.source == NoticeSource::Answer && may_be_later(notice.asked_at)
        });
        let pause = self.pause.filter(|heard| may_be_later(heard.asked_at));
        Self {
            leaving: leaving.map(|notice| LeavingNotice {
                held_until: Some(notice.heard_at + UNCERTAIN_HOLD),
                ..notice
            }),
            pause: pause.map(|heard| HeardPause {
                is_uncertain: true,
                ..heard
            }),
            peer_pause: None,
        }
    }

    /// Returns what any of two runs said.
    pub(crate) fn joined(self, other: Self) -> Self {
        let peer_pause = self.peer_pause.map(|pause| pause.latest(other.peer_pause));
        Self {
            leaving: self
                .leaving
                .map(|notice| notice.longer(other.leaving))
                .or(other.leaving),
            pause: self
                .pause
                .map(|heard| heard.longer(other.pause))
                .or(other.pause),
            peer_pause: peer_pause.or(other.peer_pause),
        }
    }
}
