//! Adopts configurations and passes them on between routers.
//!
//! Configurations are ordered by their version. Their revision in the store says nothing about
//! their order, since a store that was restored from a copy gives out revisions again.

use std::sync::Arc;

use briarrail_dispatch::RoutingTable;
use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::{StoredConfig, SyncRequest};
use bytes::Bytes;

use super::config_codec::{decode_config, encode_config};
use super::control_state::ControlState;
use crate::VersionedConfig;

/// Minimum time between two requests for a follower's configuration; longer than the interval
/// between two of its syncs, so that only one of many followers sends it.
const CONFIG_REQUEST_INTERVAL: MilliDuration = MilliDuration::from_millis(1_000);

/// Maximum number of home regions in the log line of those that are unknown.
const MAX_LOGGED_REGIONS: usize = 16;

/// The configuration in effect, as it is passed on to other routers.
#[derive(Debug, Clone)]
pub(crate) struct HeldConfig {
    /// Version of the configuration.
    pub(crate) version: u64,
    /// Revision of the configuration object in the store.
    pub(crate) revision: u64,
    /// Encoded form.
    pub(crate) body: Bytes,
}

impl HeldConfig {
    fn to_stored(&self) -> StoredConfig {
        StoredConfig {
            revision: self.revision,
            body: self.body.clone(),
        }
    }
}

/// Logs the home regions of a configuration that no data centre belongs to; requests that are bound
/// to these alone are refused.
fn log_unknown_homes(table: &RoutingTable) {
    let unknown = table.unknown_homes();
    if !unknown.is_empty() {
        let names = unknown.iter().take(MAX_LOGGED_REGIONS);
        let names: Vec<&str> = names.map(|region| region.as_str()).collect();
        tracing::warn!(
            event = "home_regions_unknown",
            version = table.version(),
            count = unknown.len(),
            regions = names.join(","),
        );
    }
}

impl ControlState {
    /// Returns the version of the configuration in effect; 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the store revision of the configuration in effect; 0 if there is none.
    pub(crate) fn config_revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Adopts a configuration if its version is higher than that of the one in effect.
    pub(crate) fn adopt_config(&mut self, stored: VersionedConfig, source: &'static str) {
        let version = stored.config.version;
        let running_version = self.config_version();
        if self.config.is_some() && version <= running_version {
            if version < running_version {
                tracing::warn!(
                    event = "config_passed_over",
                    source,
                    revision = stored.revision,
                    version,
                    running_revision = self.config_revision(),
                    running_version,
                );
            }
            return;
        }
        let body = match encode_config(&stored.config) {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(event = "config_not_encoded", %error);
                return;
            }
        };
        tracing::info!(
            event = "config_adopted",
            source,
            revision = stored.revision,
            version,
            routes = stored.config.routes.len(),
            customers = stored.config.customers.len(),
            requires_keys = stored.config.requires_keys,
            replaced_version = running_version,
        );
        let table = RoutingTable::with_regions(stored.config, Arc::clone(&self.regions));
        log_unknown_homes(&table);
        self.shared.routing_table.store(Some(Arc::new(table)));
        self.config = Some(HeldConfig {
            version,
            revision: stored.revision,
            body,
        });
    }

    /// Adopts a configuration that another router passed on, unless it is older.
    pub(crate) fn adopt_encoded_config(&mut self, stored: &StoredConfig, source: &'static str) {
        match decode_config(&stored.body) {
            Ok(config) => self.adopt_config(
                VersionedConfig {
                    revision: stored.revision,
                    config,
                },
                source,
            ),
            Err(error) => tracing::error!(event = "config_unreadable", source, %error),
        }
    }

    /// Returns the configuration for a router that holds an older one.
    pub(crate) fn config_for(&self, request: &SyncRequest) -> Option<StoredConfig> {
        let config = self.config.as_ref().filter(|_| !request.is_greeting)?;
        let is_newer = request.config_version.map_or_else(
            // Routers of releases before the version was sent order configurations by revision.
            || config.revision > request.config_revision,
            |version| config.version > version,
        );
        is_newer.then(|| config.to_stored())
    }

    /// Returns whether to ask a router for its configuration, because it is newer, and records the
    /// request.
    ///
    /// A router that has just started reads an older configuration than its followers hold if the
    /// store was restored from a copy.
    pub(crate) fn requests_config(&mut self, request: &SyncRequest, now: MilliTime) -> bool {
        let running_version = self.config_version();
        let Some(version) = request
            .config_version
            .filter(|version| *version > running_version)
        else {
            return false;
        };
        let is_recent = |at: MilliTime| now.since(at) < CONFIG_REQUEST_INTERVAL;
        if self.config_requested_at.is_some_and(is_recent) {
            return false;
        }
        self.config_requested_at = Some(now);
        tracing::info!(
            event = "config_requested",
            router = %request.sender.name,
            version,
            running_version,
        );
        true
    }

    /// Returns the configuration for a sync with a router that asked for it.
    pub(crate) fn take_requested_config(&mut self, name: &HostName) -> Option<StoredConfig> {
        self.config_requested_by
            .take_if(|requester| requester == name)?;
        self.config.as_ref().map(HeldConfig::to_stored)
    }
}
