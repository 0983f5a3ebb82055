//! Preconditions of writes.

use crate::ObjectVersion;

/// Precondition for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object exists with this version.
    Version(ObjectVersion),
    /// The object does not exist.
    Absent,
    /// No precondition.
    Always,
}
