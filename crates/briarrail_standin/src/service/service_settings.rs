//! Settings of the service stand-in.

use crate::service::ServiceFaults;

/// Settings of the service stand-in.
#[derive(Debug, Clone, Default)]
pub struct ServiceSettings {
    /// Name that goes into the header `x-standin` of each answer.
    pub name: String,
    /// Faults at the start.
    pub faults: ServiceFaults,
}
