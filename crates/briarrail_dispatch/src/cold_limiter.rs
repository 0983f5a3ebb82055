//! Keeps the requests to a cold target within its bound over all routers.
//!
//! A target that has just started, or whose data centre is back, is empty: it is the least loaded
//! one, and every router sends it what the others can't take, until the next exchange shows how much
//! that was. A cold target crashes on this. Each router therefore sends a share that holds without
//! knowing what the others do.

use std::cell::Cell;
use std::collections::VecDeque;

use briarrail_model::{MilliDuration, MilliTime, StableHash};

use crate::{ColdTerms, FleetMembers};

/// Length of the window in which requests are counted, and the time by which the transit of a later
/// request may be shorter than that of an earlier one.
const SEND_WINDOW: MilliDuration = MilliDuration::from_millis(1_050);

/// Why a target counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// Its entry in the store says so.
    Entry,
    /// One of its answers says so.
    Answer,
    /// It was listed, or restarted, after this router had the list of the targets.
    Start,
    /// Its data centre was taken back into use.
    Return,
    /// It was ejected after requests to it failed.
    Outage,
}

impl ColdSource {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Answer => "answer",
            Self::Start => "start",
            Self::Return => "return",
            Self::Outage => "outage",
        }
    }
}

/// What is known of the cold time of one target, and this router's requests to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdLimiter {
    /// Latest end of the cold time that was named.
    named_until: Option<(MilliTime, ColdSource)>,
    /// Time at which it was seen to start or to come back; it is cold for the time of its service.
    started: Option<(MilliTime, ColdSource)>,
    /// Times at which requests of this router were sent, oldest first.
    sends: VecDeque<MilliTime>,
    /// Whether the target was reported as cold.
    is_reported: bool,
    /// This router's rank, and the version of the members to which it belongs.
    rank: Cell<Option<(u64, u32)>>,
}

impl ColdLimiter {
    /// Creates the limiter of a target that is listed with a cold time, and starts only now unless
    /// it may have been there before this router.
    pub(crate) fn listed(cold_left: MilliDuration, is_starting: bool, now: MilliTime) -> Self {
        let mut limiter = Self::default();
        limiter.record_cold(cold_left, ColdSource::Entry, now);
        if is_starting {
            limiter.record_start(ColdSource::Start, now);
        }
        limiter
    }

    /// Returns the latest end of the cold time that the target named.
    pub(crate) fn named_until(&self) -> Option<MilliTime> {
        self.named_until.map(|(until, _)| until)
    }

    /// Records for how long the target stays cold.
    pub(crate) fn record_cold(&mut self, left: MilliDuration, source: ColdSource, now: MilliTime) {
        let until = now + left;
        let is_news = self.named_until.is_none_or(|(known, _)| known < until);
        if left > MilliDuration::ZERO && is_news {
            self.named_until = Some((until, source));
        }
    }

    /// Records that the target starts or comes back at a time, which may be yet to come.
    pub(crate) fn record_start(&mut self, source: ColdSource, at: MilliTime) {
        if self.started.is_none_or(|(known, _)| known < at) {
            self.started = Some((at, source));
        }
    }

    /// Returns the end of the cold time, which may be past, and where it is known from.
    pub(crate) fn cold_until(&self, terms: &ColdTerms) -> Option<(MilliTime, ColdSource)> {
        let started = self.started;
        let after_start = started.map(|(at, source)| (at + terms.start_time, source));
        let known = [self.named_until, after_start].into_iter().flatten();
        known.max_by_key(|&(until, _)| until)
    }

    /// Returns whether the target gets a bounded number of requests because it is cold or has just
    /// been.
    pub(crate) fn is_bounded(&self, terms: &ColdTerms, now: MilliTime) -> bool {
        let until = self.cold_until(terms);
        until.is_some_and(|(until, _)| terms.divided_per_s(until, now).is_some())
    }

    /// Returns how many requests this router may send in a window; `None` if the target is warm.
    pub(crate) fn share(
        &self,
        terms: &ColdTerms,
        members: &FleetMembers,
        target: StableHash,
        now: MilliTime,
    ) -> Option<u32> {
        let (until, _) = self.cold_until(terms)?;
        let total = terms.divided_per_s(until, now)?;
        let known = self
            .rank
            .get()
            .filter(|(version, _)| *version == members.version());
        let (_, rank) = known.unwrap_or_else(|| (members.version(), members.rank(target)));
        self.rank.set(Some((members.version(), rank)));
        Some(members.share(rank, total, now))
    }

    /// Returns the time after which this router may send a request, or `None` if it may send one
    /// now.
    ///
    /// A router without a share may have one when the target is warm.
    pub(crate) fn room_at(
        &self,
        terms: &ColdTerms,
        members: &FleetMembers,
        target: StableHash,
        now: MilliTime,
    ) -> Option<MilliTime> {
        let share = self.share(terms, members, target, now)? as usize;
        let recent = self.sends.iter().rev();
        let recent = recent.take_while(|&&at| now.since(at) < SEND_WINDOW);
        if recent.count() < share {
            return None;
        }
        let warm_at = self.cold_until(terms).map_or(now, |(until, _)| until);
        let oldest_counted = self.sends.len().checked_sub(share);
        let oldest_counted = oldest_counted.filter(|_| share > 0);
        let send_at = oldest_counted.map(|index| self.sends[index] + SEND_WINDOW);
        Some(send_at.unwrap_or(warm_at).max(now))
    }

    /// Returns whether the target turned cold or warm since the last call, if it did.
    pub(crate) fn take_change(&mut self, is_cold: bool) -> bool {
        let is_change = self.is_reported != is_cold;
        self.is_reported = is_cold;
        is_change
    }

    /// Records that a request is about to be sent.
    pub(crate) fn record_send(&mut self, now: MilliTime) {
        while self
            .sends
            .front()
            .is_some_and(|&at| now.since(at) >= SEND_WINDOW)
        {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Records that a request leaves now which was recorded at an earlier time, and waited for its
    /// connection since.
    pub(crate) fn record_departure(&mut self, recorded_at: MilliTime, now: MilliTime) {
        let position = self.sends.iter().rposition(|&at| at <= recorded_at);
        if let Some(index) = position {
            self.sends.remove(index);
        }
        self.record_send(now);
    }
}
