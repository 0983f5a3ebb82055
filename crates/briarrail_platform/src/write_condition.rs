//! Conditions of writes.

use crate::ObjectVersion;

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object has this version.
    Version(ObjectVersion),
    /// The object does not exist.
    Absent,
    /// Nothing; the write always takes effect.
    Always,
}
