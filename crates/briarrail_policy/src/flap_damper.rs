//! Damping of targets that come and go.

use briarrail_model::MilliTime;

const HALF_LIFE_S: f64 = 60.0;
const SUPPRESS_AT: f64 = 2.5;
const REUSE_AT: f64 = 1.0;
const MAX_PENALTY: f64 = 6.0;

/// Holds back a target that left several times within minutes, until it has stayed for a while.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlapDamper {
    penalty: f64,
    updated: MilliTime,
    suppressed: bool,
}

impl FlapDamper {
    pub(crate) fn record_departure(&mut self, now: MilliTime) {
        self.decay(now);
        self.penalty = (self.penalty + 1.0).min(MAX_PENALTY);
        self.suppressed |= self.penalty >= SUPPRESS_AT;
    }

    pub(crate) fn is_suppressed(&mut self, now: MilliTime) -> bool {
        self.decay(now);
        self.suppressed &= self.penalty >= REUSE_AT;
        self.suppressed
    }

    fn decay(&mut self, now: MilliTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.penalty *= 0.5_f64.powf(elapsed / HALF_LIFE_S);
        self.updated = self.updated.max(now);
    }
}
