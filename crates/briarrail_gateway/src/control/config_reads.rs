//! The configuration, as the store has it.

use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControl;
use super::store_follower::{StorePart, WATCH_WAIT};
use crate::{ReadConsistency, SiteStore, VersionedConfig, WatchOutcome};

/// Reads of the configuration.
pub(crate) struct ConfigReads<S> {
    pub(crate) state: SharedControl,
    pub(crate) store: S,
}

impl<S> ConfigReads<S> {
    fn take(&self, reads: Vec<VersionedConfig>, seen_at: MilliTime) {
        let mut state = self.state.borrow_mut();
        for read in reads {
            state.adopt_config(read, "store");
        }
        state.note_config_seen(seen_at);
    }
}

impl<S> StorePart for ConfigReads<S>
where
    S: SiteStore,
{
    const CALL: &'static str = "config";

    async fn list(&self, age: ReadConsistency) -> Result<Option<u64>, StoreError> {
        let asked_at = self.state.borrow().clock.now();
        let listing = self.store.read_config(age).await?;
        let is_current = age == ReadConsistency::Current;
        // What may be old is older than any other view that this router will see.
        let seen_at = if is_current {
            asked_at
        } else {
            MilliTime::default()
        };
        self.take(listing.config.into_iter().collect(), seen_at);
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: u64) -> Result<Option<u64>, StoreError> {
        match self.store.watch_config(revision, WATCH_WAIT).await? {
            WatchOutcome::Changes { changes, revision } => {
                // A watch was current when it ended.
                let now = self.state.borrow().clock.now();
                self.take(changes, now);
                Ok(Some(revision))
            }
            WatchOutcome::HistoryExpired => {
                tracing::info!(event = "watch_history_gone", call = Self::CALL);
                Ok(None)
            }
        }
    }
}
