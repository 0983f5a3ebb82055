//! Flap damping of targets.

use briarrail_model::MilliTime;

const PENALTY_HALF_LIFE_S: f64 = 60.0;
/// Penalty from which a target is suppressed.
const SUPPRESS_THRESHOLD: f64 = 2.5;
/// Penalty below which a suppressed target is used again.
const REUSE_THRESHOLD: f64 = 1.0;
const MAX_PENALTY: f64 = 6.0;

/// Suppresses a target that repeatedly leaves and returns, until it has been stable for a while.
///
/// Each departure adds 1 to a penalty that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlapDamper {
    penalty: f64,
    updated_at: MilliTime,
    suppressed: bool,
}

impl FlapDamper {
    pub(crate) fn record_departure(&mut self, now: MilliTime) {
        self.decay(now);
        self.penalty = (self.penalty + 1.0).min(MAX_PENALTY);
        self.suppressed |= self.penalty >= SUPPRESS_THRESHOLD;
    }

    pub(crate) fn is_suppressed(&mut self, now: MilliTime) -> bool {
        self.decay(now);
        self.suppressed &= self.penalty >= REUSE_THRESHOLD;
        self.suppressed
    }

    fn decay(&mut self, now: MilliTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.penalty *= 0.5_f64.powf(elapsed / PENALTY_HALF_LIFE_S);
        self.updated_at = self.updated_at.max(now);
    }
}
