//! A software release of a service's targets.

use crate::{ReleaseKey, TargetRecord};

/// A software release of a service's targets, by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceRelease {
    /// Name of the service.
    pub service: String,
    /// Version of the targets' software; versions have no order.
    pub version: String,
}

impl ServiceRelease {
    /// Returns the key of the release.
    #[must_use]
    pub fn key(&self) -> ReleaseKey {
        ReleaseKey::new(&self.service, &self.version)
    }
}

impl From<&TargetRecord> for ServiceRelease {
    fn from(record: &TargetRecord) -> Self {
        Self {
            service: record.service.clone(),
            version: record.version.clone(),
        }
    }
}
