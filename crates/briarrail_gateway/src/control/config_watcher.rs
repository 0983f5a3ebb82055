//! Reads the configuration from the store.

use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::store_watcher::{StoreWatcher, WATCH_TIMEOUT};
use crate::{ReadConsistency, SiteStore, VersionedConfig, WatchOutcome};

/// Watches the configuration.
pub(crate) struct ConfigWatcher<S> {
    pub(crate) state: SharedControlState,
    pub(crate) store: S,
}

impl<S> ConfigWatcher<S> {
    fn adopt_configs(&self, configs: Vec<VersionedConfig>, observed_at: MilliTime) {
        let mut state = self.state.borrow_mut();
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

    async fn list(&self, consistency: ReadConsistency) -> Result<Option<u64>, StoreError> {
        let requested_at = self.state.borrow().clock.now();
        let listing = self.store.read_config(consistency).await?;
        let is_current = consistency == ReadConsistency::Current;
        // A possibly stale result counts as older than any other view that this router receives.
        let observed_at = if is_current {
            requested_at
        } else {
            MilliTime::default()
        };
        self.adopt_configs(listing.config.into_iter().collect(), observed_at);
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: u64) -> Result<Option<u64>, StoreError> {
        match self.store.watch_config(revision, WATCH_TIMEOUT).await? {
            WatchOutcome::Changes { changes, revision } => {
                // The result of a watch is current when the watch ends.
                let now = self.state.borrow().clock.now();
                self.adopt_configs(changes, now);
                Ok(Some(revision))
            }
            WatchOutcome::HistoryExpired => {
                tracing::info!(event = "watch_history_gone", call = Self::CALL);
                Ok(None)
            }
        }
    }
}
