//! Settings of the service stand-in.

use crate::service::ServiceFaults;

/// Settings of the service stand-in.
#[derive(Debug, Clone, Default)]
pub struct ServiceSettings {
    /// Value of the `x-standin` header of each response.
    pub name: String,
    /// Initial faults.
    pub faults: ServiceFaults,
}
