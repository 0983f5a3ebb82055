//! What the store, the target itself and the operators say of one lifetime of a target.

use briarrail_model::{MilliDuration, MilliTime, StableHash};

use crate::{
    LeavingNotice, NoticeSource, PauseReport, SendDenial, StandingChange, TargetNotice,
    TargetPause, TargetPhase,
};

/// Time for which a target that left without draining still serves; the shortest drain of a site.
pub(crate) const REMOVED_RETENTION: MilliDuration = MilliDuration::from_millis(1_500);

/// What is known of one lifetime of a target: whether it may get requests, and if not, why.
///
/// Each source has a word of its own, and none overrides another: a target that said that it leaves
/// does so whether the store lists it as ready or not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetStanding {
    /// Whether the store's last entry calls the target draining.
    is_draining: bool,
    /// Time at which the store's entry was removed.
    removed_at: Option<MilliTime>,
    /// The target's word that it leaves.
    leaving: Option<LeavingNotice>,
    /// The word of an earlier lifetime that it leaves; it does not hold for this one.
    earlier_leaving: Option<LeavingNotice>,
    /// The pause for which the target asked.
    pause: Option<TargetPause>,
    /// The pause for which it asked other routers, if it means all of them.
    peer_pause: Option<TargetPause>,
    /// Whether the operators have evacuated the target's data centre.
    is_evacuated: bool,
    /// Time at which the last evacuation of its data centre ended.
    returned_at: Option<MilliTime>,
    /// Reason for which the target got no requests when that was last reported.
    reported: Option<SendDenial>,
}

impl TargetStanding {
    /// Begins another lifetime, of which something may be known, and returns what was said of the one
    /// before.
    pub(crate) fn begin_lifetime(&mut self, known: Option<Self>) -> Self {
        let next = Self {
            reported: self.reported,
            earlier_leaving: self.leaving.or(self.earlier_leaving),
            ..known.unwrap_or_default()
        };
        std::mem::replace(self, next)
    }

    /// Records that the store lists the target.
    pub fn record_listed(&mut self, phase: TargetPhase) {
        self.is_draining = phase == TargetPhase::Draining;
        self.removed_at = None;
    }

    /// Records that the store lists the target no more.
    pub const fn record_removed(&mut self, now: MilliTime) {
        self.removed_at = Some(now);
    }

    /// Records what the target said about itself, and returns whether that is news.
    ///
    /// A target that leaves does so until its lifetime ends, and of two pauses the longer one counts.
    pub fn record_notice(
        &mut self,
        notice: TargetNotice,
        source: NoticeSource,
        now: MilliTime,
    ) -> bool {
        match notice {
            TargetNotice::Leaving => {
                let is_news = self.leaving.is_none();
                self.leaving.get_or_insert(LeavingNotice {
                    heard_at: now,
                    source,
                });
                is_news
            }
            TargetNotice::Paused(pause) => {
                let is_news = self.pause_left(now).is_none();
                self.pause = Some(pause.latest(self.pause));
                is_news
            }
        }
    }

    /// Records a pause for which the target asked other routers, of the fleet's number of routers.
    pub fn record_peer_pause(&mut self, report: PauseReport, routers: usize, now: MilliTime) {
        if report.means_all(routers) {
            let pause = TargetPause::new(report.left, now);
            // The end is kept, since each report is about as old as the one before.
            let known = self.peer_pause.filter(|known| known.until() > now);
            self.peer_pause = Some(known.unwrap_or(pause));
        }
    }

    /// Returns the time that is left of the pause for which the target asked this router.
    #[must_use]
    pub fn pause_left(&self, now: MilliTime) -> Option<MilliDuration> {
        let pause = self.pause.filter(|pause| pause.until() > now)?;
        Some(pause.until().since(now))
    }

    /// Returns whether the target said something about itself that still holds.
    #[must_use]
    pub fn has_notice(&self, now: MilliTime) -> bool {
        self.is_leaving()
            || self
                .longest_pause()
                .is_some_and(|pause| !pause.is_over(now))
    }

    /// Returns whether the target said that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns the last word of the target that it leaves, also that of an earlier lifetime.
    #[must_use]
    pub fn last_leaving(&self) -> Option<LeavingNotice> {
        self.leaving.or(self.earlier_leaving)
    }

    /// Sets whether the operators have evacuated the target's data centre.
    pub const fn set_evacuated(&mut self, is_evacuated: bool, now: MilliTime) {
        if self.is_evacuated && !is_evacuated {
            self.returned_at = Some(now);
        }
        self.is_evacuated = is_evacuated;
    }

    /// Returns the time at which the last evacuation of the target's data centre ended; `None` if
    /// this lifetime has seen none end.
    ///
    /// The target may have become cold shortly before, and its entry says so only with its next
    /// write.
    #[must_use]
    pub const fn returned_at(&self) -> Option<MilliTime> {
        self.returned_at
    }

    /// Returns why the target may not get a request, whatever the request needs.
    ///
    /// `seed` differs between requests and targets; without one the answer is that for the first
    /// request after a pause. A reason that passes by itself comes last, so that a paused target is
    /// one that may get requests after the pause.
    #[must_use]
    pub fn denial(&self, seed: Option<StableHash>, now: MilliTime) -> Option<SendDenial> {
        if self.removed_at.is_some() {
            return Some(SendDenial::Gone);
        }
        if self.is_draining {
            return Some(SendDenial::Draining);
        }
        if self.is_leaving() {
            return Some(SendDenial::Leaving);
        }
        if self.is_evacuated {
            return Some(SendDenial::Evacuated);
        }
        let pause = self.longest_pause()?;
        let until = seed.map_or(pause.until(), |seed| pause.until_for(seed));
        (until > now).then_some(SendDenial::Paused { until })
    }

    fn longest_pause(&self) -> Option<TargetPause> {
        match self.pause {
            Some(pause) => Some(pause.latest(self.peer_pause)),
            None => self.peer_pause,
        }
    }

    /// Returns the change since this was last called, if there is one.
    pub fn take_change(&mut self, now: MilliTime) -> Option<StandingChange> {
        let change = StandingChange {
            from: self.reported,
            to: self.denial(None, now),
        };
        self.reported = change.to;
        (StandingChange::name(change.from) != StandingChange::name(change.to)).then_some(change)
    }

    /// Returns whether the target is up, so that it can serve its cached context to other targets.
    ///
    /// A target that drained or left before it was removed is down, while one that was removed
    /// without a word keeps serving for a while.
    #[must_use]
    pub fn is_up(&self, now: MilliTime) -> bool {
        let may_serve = !self.is_draining && !self.is_leaving();
        self.removed_at
            .is_none_or(|at| may_serve && now.since(at) <= REMOVED_RETENTION)
    }

    /// Returns whether the target was removed so long ago that it serves no more.
    #[must_use]
    pub fn is_past_retention(&self, now: MilliTime) -> bool {
        self.removed_at
            .is_some_and(|at| now.since(at) > REMOVED_RETENTION)
    }
}
