//! Settings of the object API stand-in.

use crate::objects::StoreFaults;

/// Settings of the object API stand-in.
#[derive(Debug, Clone, Default)]
pub struct ObjectSettings {
    /// Faults at the start.
    pub faults: StoreFaults,
}
