//! What a target says about itself in an answer.

use crate::TargetPause;

/// What a target says about itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetNotice {
    /// It leaves, and may get no further request in this lifetime.
    Leaving,
    /// It wants no request until a pause is over.
    Paused(TargetPause),
}
