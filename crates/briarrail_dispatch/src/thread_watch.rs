//! Judges from its turns whether a thread still makes progress.

/// Number of checks without a turn after which a thread counts as stalled. A turn of a busy thread takes
/// a small part of the interval between two checks.
const STALLED_CHECKS: u32 = 4;
/// Number of checks without a turn after which a thread is given up.
const LOST_CHECKS: u32 = 40;

/// Whether a thread makes progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ThreadHealth {
    /// The thread turns.
    #[default]
    Turning,
    /// The thread has not turned for a while, and does not serve.
    Stalled,
    /// The thread does not come back.
    Lost,
}

/// Counts the checks in which a thread did not turn.
///
/// Time is counted in checks of the watching thread, so that a host that stood still, with both threads,
/// is not taken for a thread that does.
#[derive(Debug, Clone, Copy, Default)]
pub struct ThreadWatch {
    turns: u64,
    missed_checks: u32,
}

impl ThreadWatch {
    /// Records the number of turns at a check and returns the thread's health.
    pub const fn observe(&mut self, turns: u64) -> ThreadHealth {
        if self.turns == turns {
            self.missed_checks = self.missed_checks.saturating_add(1);
        } else {
            self.turns = turns;
            self.missed_checks = 0;
        }
        match self.missed_checks {
            0..STALLED_CHECKS => ThreadHealth::Turning,
            STALLED_CHECKS..LOST_CHECKS => ThreadHealth::Stalled,
            LOST_CHECKS.. => ThreadHealth::Lost,
        }
    }
}
