//! Reads the configuration from the store.

use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::store_watcher::{StoreWatcher, WATCH_TIMEOUT};
use crate::{ReadConsistency, SiteStore, StoreRevision, VersionedConfig, WatchOutcome};

/// Watches the configuration.
pub(crate) struct ConfigWatcher<S> {
    pub(crate) state: SharedControlState,
    pub(crate) store: S,
}

impl<S> ConfigWatcher<S>
where
    S: SiteStore,
{
    fn adopt_configs(
        &self,
        configs: Vec<VersionedConfig>,
        revision: StoreRevision,
        observed_at: MilliTime,
    ) {
        let mut state = self.state.borrow_mut();
        state.observe_store_revision(revision, Self::CALL);
        for config in configs {
            state.adopt_config(config, "store");
        }
        state.record_config_observed(observed_at);
    }
}

impl<S> StoreWatcher for ConfigWatcher<S>
where
    S: SiteStore,
{
    const CALL: &'static str = "config";

    async fn list(
        &self,
        consistency: ReadConsistency,
    ) -> Result<Option<StoreRevision>, StoreError> {
        let requested_at = self.state.borrow().clock.now();
        let listing = self.store.read_config(consistency).await?;
        let is_current = consistency == ReadConsistency::Current;
        // A possibly stale result counts as older than any other view that this router receives.
        let observed_at = if is_current {
            requested_at
        } else {
            MilliTime::default()
        };
        let configs = listing.config.into_iter().collect();
        self.adopt_configs(configs, listing.revision, observed_at);
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: StoreRevision) -> Result<Option<StoreRevision>, StoreError> {
        match self.store.watch_config(revision, WATCH_TIMEOUT).await? {
            WatchOutcome::Changes { changes, revision } => {
                // The result of a watch is current when the watch ends.
                let now = self.state.borrow().clock.now();
                self.adopt_configs(changes, revision, now);
                Ok(Some(revision))
            }
            WatchOutcome::HistoryExpired => {
                tracing::info!(event = "watch_history_gone", call = Self::CALL);
                Ok(None)
            }
        }
    }
}
