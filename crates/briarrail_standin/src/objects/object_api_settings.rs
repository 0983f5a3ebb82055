//! Settings of the object API stand-in.

use crate::objects::ObjectApiFaults;

/// Settings of the object API stand-in.
#[derive(Debug, Clone, Default)]
pub struct ObjectApiSettings {
    /// Initial faults.
    pub faults: ObjectApiFaults,
}
