//! Selection of the targets of a pool.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::HostEntry;

/// Selects the targets of a pool from the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSelector {
    /// Service that the hosts run.
    pub service: String,
    /// Labels that the hosts must have.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<String, String>,
}

impl TargetSelector {
    /// Returns whether the selector matches a host.
    #[must_use]
    pub fn matches(&self, host: &HostEntry) -> bool {
        let has_label = |(key, value)| host.labels.get(key) == Some(value);
        host.service == self.service && self.labels.iter().all(has_label)
    }
}
