//! Reads the evacuations of data centres from the store.

use std::time::Duration;

use briarrail_dispatch::{EvacuationView, ReadReason, ViewTime, ViewTimeBounds};
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::control_state::ControlState;
use super::evacuation_exchange::evacuation_position;
use super::store_health::read_conditions;
use super::store_watcher::{StoreWatcher, await_watch};
use crate::{EvacuationEvent, ReadConsistency, SiteStore, StoreRevision, WatchOutcome};

/// Maximum duration of a watch. Evacuations are rare and each call is billed, so it is longer than
/// for other collections; an unresponsive watch is still detected well within the bound.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Watches the evacuations, if the settings set a bound for them.
pub(crate) struct EvacuationWatcher<S> {
    pub(crate) state: SharedControlState,
    pub(crate) store: S,
}

impl<S> StoreWatcher for EvacuationWatcher<S>
where
    S: SiteStore,
{
    const CALL: &'static str = "evacuations";

    fn read_reason(state: &ControlState, has_read: bool) -> Option<ReadReason> {
        if !state.follows_evacuations() {
            return None;
        }
        let mut conditions = read_conditions(state, has_read);
        let now = state.clock.now();
        let age = state.evacuations.age(now);
        conditions.view_age = age.unwrap_or_else(|| state.time_without_view(now));
        conditions.read_reason()
    }

    async fn list(
        &self,
        consistency: ReadConsistency,
    ) -> Result<Option<StoreRevision>, StoreError> {
        let requested_at = self.state.borrow().clock.now();
        let listing = self.store.list_evacuations(consistency).await?;
        let mut state = self.state.borrow_mut();
        state.observe_store_revision(listing.revision, Self::CALL);
        let is_current = consistency == ReadConsistency::Current;
        let (position, time) = if is_current {
            let bounds = ViewTimeBounds {
                earliest: requested_at,
                latest: state.clock.now(),
            };
            (Some(evacuation_position(listing.revision)), bounds.into())
        } else {
            (None, ViewTime::Unknown)
        };
        let view = EvacuationView {
            position,
            time,
            data_centres: listing.data_centres,
            ..EvacuationView::default()
        };
        state.adopt_evacuations(view, "store");
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: StoreRevision) -> Result<Option<StoreRevision>, StoreError> {
        let clock = self.state.borrow().clock;
        let call = self.store.watch_evacuations(revision, WATCH_TIMEOUT);
        let (outcome, bounds) = await_watch(clock, call).await;
        let WatchOutcome::Changes { changes, revision } = outcome? else {
            tracing::info!(event = "watch_history_gone", call = Self::CALL);
            return Ok(None);
        };
        let mut state = self.state.borrow_mut();
        state.observe_store_revision(revision, Self::CALL);
        let known = state.evacuations.view().unwrap_or_default();
        let position = evacuation_position(revision);
        if known
            .position
            .is_none_or(|known| known.epoch != position.epoch)
        {
            // The changes are those of another history; the collection is listed again.
            return Ok(None);
        }
        let mut data_centres = known.data_centres;
        for event in changes {
            match event {
                EvacuationEvent::Begun(data_centre) => data_centres.insert(data_centre),
                EvacuationEvent::Ended(data_centre) => data_centres.remove(&data_centre),
            };
        }
        let view = EvacuationView {
            position: Some(position),
            time: bounds.into(),
            data_centres,
            ..EvacuationView::default()
        };
        state.adopt_evacuations(view, "store");
        Ok(Some(revision))
    }
}
