//! What the store, the target itself and the operators say of one lifetime of a target.

use briarrail_model::{MilliDuration, MilliTime};

use crate::{SendDenial, TargetPhase};

/// Time for which a target that left without draining still serves; the shortest drain of a site.
pub(crate) const REMOVED_RETENTION: MilliDuration = MilliDuration::from_millis(1_500);

/// What is known of one lifetime of a target: whether it may get requests, and if not, why.
///
/// Each source has a word of its own, and none overrides another: a target that said that it leaves
/// does so whether the store lists it as ready or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStanding {
    /// Phase in the store's last entry.
    phase: TargetPhase,
    /// Time at which the store's entry was removed.
    removed_at: Option<MilliTime>,
    /// Whether the target said that it leaves.
    is_leaving: bool,
    /// End of the pause for which the target asked.
    paused_until: Option<MilliTime>,
    /// Whether the operators have evacuated the target's data centre.
    is_evacuated: bool,
}

impl TargetStanding {
    /// Creates the standing of a target whose lifetime was first listed in a phase.
    #[must_use]
    pub const fn new(phase: TargetPhase) -> Self {
        Self {
            phase,
            removed_at: None,
            is_leaving: false,
            paused_until: None,
            is_evacuated: false,
        }
    }

    /// Records that the store lists the target.
    pub const fn record_listed(&mut self, phase: TargetPhase) {
        self.phase = phase;
        self.removed_at = None;
    }

    /// Records that the store lists the target no more.
    pub const fn record_removed(&mut self, now: MilliTime) {
        self.removed_at = Some(now);
    }

    /// Records that the target said that it leaves; this ends only with its lifetime.
    pub const fn record_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Records that the target asked for no requests until a time; a longer pause stays.
    pub fn record_pause(&mut self, until: MilliTime) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Sets whether the operators have evacuated the target's data centre.
    pub const fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Returns why the target may not get a request, whatever the request needs.
    ///
    /// A reason that passes by itself comes last, so that a paused target is one that may get
    /// requests after the pause.
    #[must_use]
    pub fn denial(&self, now: MilliTime) -> Option<SendDenial> {
        if self.removed_at.is_some() {
            return Some(SendDenial::Gone);
        }
        if self.phase == TargetPhase::Draining {
            return Some(SendDenial::Draining);
        }
        if self.is_leaving {
            return Some(SendDenial::Leaving);
        }
        if self.is_evacuated {
            return Some(SendDenial::Evacuated);
        }
        let until = self.paused_until.filter(|&until| until > now)?;
        Some(SendDenial::Paused { until })
    }

    /// Returns whether the target is up, so that it can serve its cached context to other targets.
    ///
    /// A target that drained or left before it was removed is down, while one that was removed
    /// without a word keeps serving for a while.
    #[must_use]
    pub fn is_up(&self, now: MilliTime) -> bool {
        let may_serve = self.phase == TargetPhase::Ready && !self.is_leaving;
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
