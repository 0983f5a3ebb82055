//! What the store, the target itself and the operators say of a target.

use briarrail_model::{MilliDuration, MilliTime, StableHash};

use crate::heard_notices::HeardNotices;
use crate::run_notices::RunNotices;
use crate::{
    LeavingNotice, NoticeSource, PauseReport, SendDenial, StandingChange, TargetNotice,
    TargetPhase, TargetPlace, TargetRun,
};

/// Time for which a target that left without draining still serves; the shortest drain of a site.
pub(crate) const REMOVED_RETENTION: MilliDuration = MilliDuration::from_millis(1_500);

/// What is known of a target: whether it may get requests, and if not, why.
///
/// Each source has a word of its own, and none overrides another: a target that said that it leaves
/// does so whether the store lists it as ready or not. What the target says holds for its run, the
/// rest for the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStanding {
    /// Where the target is found.
    place: TargetPlace,
    /// What its runs there said.
    runs: RunNotices,
    /// Start of the listed run, as a Unix time in milliseconds; 0 if unknown.
    listed_unix_ms: u64,
    /// What the runs said that holds for the listed one.
    heard: HeardNotices,
    /// Whether the store's last entry calls the target draining.
    is_draining: bool,
    /// Time at which the store's entry was removed.
    removed_at: Option<MilliTime>,
    /// Whether the operators have evacuated the target's data centre.
    is_evacuated: bool,
    /// Time at which the last evacuation of its data centre ended.
    returned_at: Option<MilliTime>,
    /// Reason for which the target got no requests when that was last reported.
    reported: Option<SendDenial>,
}

impl TargetStanding {
    /// Creates the standing of a target that is listed for the first time, of whose runs something may
    /// be known.
    pub(crate) fn new(place: TargetPlace, known: RunNotices) -> Self {
        Self {
            place,
            runs: known,
            listed_unix_ms: 0,
            heard: HeardNotices::default(),
            is_draining: false,
            removed_at: None,
            is_evacuated: false,
            returned_at: None,
            reported: None,
        }
    }

    /// Moves the target to another place, where something may be known of its runs, and returns what
    /// was said at the one before.
    pub(crate) fn move_to(&mut self, place: TargetPlace, known: RunNotices) -> RunNotices {
        self.place = place;
        std::mem::replace(&mut self.runs, known)
    }

    /// Records that the store lists a run that started at `started_at` by the clock of this router, if
    /// that is known, and returns whether the run begins with that.
    pub(crate) fn list_run(
        &mut self,
        started_unix_ms: u64,
        started_at: Option<MilliTime>,
        now: MilliTime,
    ) -> bool {
        let begins = self.runs.list(started_unix_ms, started_at, now);
        self.listed_unix_ms = started_unix_ms;
        self.refresh();
        begins
    }

    /// Forgets when the evacuation of an earlier lifetime ended.
    pub(crate) const fn clear_return(&mut self) {
        self.returned_at = None;
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

    /// Returns the latest known run of the target.
    #[must_use]
    pub fn run(&self) -> TargetRun {
        TargetRun {
            place: self.place,
            started_unix_ms: self.runs.latest_start(),
        }
    }

    /// Returns what the runs at the present place said.
    pub(crate) const fn runs(&self) -> &RunNotices {
        &self.runs
    }

    /// Returns what holds for the listed run.
    pub(crate) const fn heard(&self) -> &HeardNotices {
        &self.heard
    }

    /// Records what a run at the present place said about itself in the answer to a request that left at
    /// `asked_at`, and returns whether that is news.
    pub(crate) fn record_notice(
        &mut self,
        started_unix_ms: u64,
        notice: TargetNotice,
        asked_at: MilliTime,
        now: MilliTime,
    ) -> bool {
        let is_news = self.runs.record(started_unix_ms, notice, asked_at, now);
        self.refresh();
        is_news
    }

    /// Records that other routers heard from one of some runs that it leaves, and returns whether that
    /// is news of this target.
    pub(crate) fn record_peer_leaving<F>(&mut self, is_leaving: F, now: MilliTime) -> bool
    where
        F: Fn(TargetRun) -> bool,
    {
        let place = self.place;
        let mut is_news = false;
        self.runs.update_each(|started_unix_ms, notices| {
            let run = TargetRun {
                place,
                started_unix_ms,
            };
            if is_leaving(run) {
                let source = NoticeSource::Exchange;
                is_news |= notices.record_leaving(source, now, now);
            }
        });
        self.refresh();
        is_news
    }

    /// Records the pauses for which runs asked other routers, of the fleet's number of routers.
    pub(crate) fn record_peer_pause<F>(&mut self, report_of: F, routers: usize, now: MilliTime)
    where
        F: Fn(TargetRun) -> Option<PauseReport>,
    {
        let place = self.place;
        self.runs.update_each(|started_unix_ms, notices| {
            let run = TargetRun {
                place,
                started_unix_ms,
            };
            if let Some(report) = report_of(run) {
                notices.record_peer_pause(report, routers, now);
            }
        });
        self.refresh();
    }

    fn refresh(&mut self) {
        self.heard = self.runs.in_effect(self.listed_unix_ms);
    }

    /// Returns the time that is left of the pause for which the present run asked this router.
    #[must_use]
    pub fn pause_left(&self, now: MilliTime) -> Option<MilliDuration> {
        self.runs.of_latest().pause_left(now)
    }

    /// Returns whether the present run certainly said that it leaves.
    #[must_use]
    pub fn is_surely_leaving(&self) -> bool {
        self.runs.of_latest().is_surely_leaving()
    }

    /// Returns the last notice of a run at the present place that it leaves, also one that does not hold
    /// for the listed run.
    #[must_use]
    pub fn last_leaving(&self) -> Option<LeavingNotice> {
        self.heard
            .leaving()
            .or_else(|| self.runs.of_any().leaving())
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
        if self.heard.leaving().is_some_and(|notice| notice.holds(now)) {
            return Some(SendDenial::Leaving);
        }
        if self.is_evacuated {
            return Some(SendDenial::Evacuated);
        }
        let pause = self.heard.longest_pause()?;
        let until = seed.map_or(pause.until(), |seed| pause.until_for(seed));
        (until > now).then_some(SendDenial::Paused { until })
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
        let may_serve = !self.is_draining && self.heard.leaving().is_none();
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
