//! Reads the configuration from the store.

use briarrail_dispatch::{ViewTime, ViewTimeBounds};
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::store_watcher::{StoreWatcher, WATCH_TIMEOUT, await_watch};
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
        time: ViewTime,
    ) {
        let mut state = self.state.borrow_mut();
        state.observe_store_revision(revision, Self::CALL);
        for config in configs {
            state.adopt_config(config, "store");
        }
        state.config_time.advance(time);
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
        let time = if is_current {
            ViewTime::Within(ViewTimeBounds {
                earliest: requested_at,
                latest: self.state.borrow().clock.now(),
            })
        } else {
            ViewTime::Unknown
        };
        let configs = listing.config.into_iter().collect();
        self.adopt_configs(configs, listing.revision, time);
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: StoreRevision) -> Result<Option<StoreRevision>, StoreError> {
        let clock = self.state.borrow().clock;
        let call = self.store.watch_config(revision, WATCH_TIMEOUT);
        let (outcome, bounds) = await_watch(clock, call).await;
        match outcome? {
            WatchOutcome::Changes { changes, revision } => {
                self.adopt_configs(changes, revision, bounds.into());
                Ok(Some(revision))
            }
            WatchOutcome::HistoryExpired => {
                tracing::info!(event = "watch_history_gone", call = Self::CALL);
                Ok(None)
            }
        }
    }
}
