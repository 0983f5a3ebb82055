//! Reads the targets from the store.

use std::time::Duration;

use briarrail_dispatch::{RemovalPolicy, ViewTime, ViewTimeBounds};
use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::control_state::ControlState;
use super::release_records::list_new_releases;
use super::store_watcher::{StoreWatcher, WATCH_TIMEOUT, await_watch};
use crate::{ReadConsistency, SiteStore, StoreRevision, TargetEvent, WatchOutcome};

/// Delay after changes of targets, so that the next watch returns several changes together; a small
/// part of the time in which changes must take effect.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// Name of the target calls in logs and metrics.
const CALL: &str = "targets";

/// Watches the targets.
pub(crate) struct TargetWatcher<S> {
    pub(crate) state: SharedControlState,
    pub(crate) store: S,
}

impl<S> StoreWatcher for TargetWatcher<S>
where
    S: SiteStore,
{
    const CALL: &'static str = CALL;

    async fn list(
        &self,
        consistency: ReadConsistency,
    ) -> Result<Option<StoreRevision>, StoreError> {
        let requested_at = self.state.borrow().clock.now();
        let listing = self.store.list_targets(consistency).await?;
        let records = listing.records.iter().map(|listed| &listed.record);
        list_new_releases(&self.state, &self.store, records).await;
        let mut state = self.state.borrow_mut();
        let is_current = consistency == ReadConsistency::Current;
        if !is_current && state.has_target_list {
            // Another router's view arrived meanwhile and is not replaced by one that may be stale.
            tracing::info!(event = "stale_list_passed_over", call = CALL);
            return Ok(None);
        }
        state.unreadable_entries.replace_all(&listing.unreadable);
        let now = state.clock.now();
        state.observe_store_revision(listing.revision, CALL);
        observe_recovery(&mut state, now);
        let policy = RemovalPolicy::AfterGracePeriod(now);
        let changes = state.roster.replace_all(listing.records, policy);
        let time = if is_current {
            ViewTime::Within(ViewTimeBounds {
                earliest: requested_at,
                latest: now,
            })
        } else {
            ViewTime::Unknown
        };
        state
            .view_tracker
            .record_store_read(time, !changes.is_empty());
        state.apply_roster_changes(changes, "store");
        let unconfirmed: Vec<&str> = state.roster.unconfirmed().collect();
        if !unconfirmed.is_empty() {
            tracing::info!(
                event = "targets_unconfirmed",
                target_ids = unconfirmed.join(",")
            );
        }
        state.has_target_list = true;
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: StoreRevision) -> Result<Option<StoreRevision>, StoreError> {
        let clock = self.state.borrow().clock;
        let call = self.store.watch_targets(revision, WATCH_TIMEOUT);
        let (outcome, bounds) = await_watch(clock, call).await;
        let WatchOutcome::Changes { changes, revision } = outcome? else {
            tracing::info!(event = "watch_history_gone", call = CALL);
            return Ok(None);
        };
        let records = changes.iter().filter_map(|event| match event {
            TargetEvent::Upserted(record) => Some(record),
            TargetEvent::Unreadable(_) | TargetEvent::Removed(_) => None,
        });
        list_new_releases(&self.state, &self.store, records).await;
        let is_changed = {
            let mut state = self.state.borrow_mut();
            state.observe_store_revision(revision, CALL);
            apply_target_events(&mut state, changes, bounds)
        };
        if is_changed {
            tokio::time::sleep(BATCH_DELAY).await;
        }
        let state = self.state.borrow();
        let needs_listing = state.roster.needs_listing(state.clock.now());
        Ok(Some(revision).filter(|_| !needs_listing))
    }

    fn on_failure(&self) {
        let mut state = self.state.borrow_mut();
        let now = state.clock.now();
        let age = state.view_age(now);
        state.roster.observe_view_age(now, age);
    }
}

/// Applies changes reported by the store, and returns whether the roster changed.
fn apply_target_events(
    state: &mut ControlState,
    events: Vec<TargetEvent>,
    bounds: ViewTimeBounds,
) -> bool {
    let now = state.clock.now();
    observe_recovery(state, now);
    let mut changes = Vec::new();
    for event in events {
        let id = match event {
            TargetEvent::Upserted(record) => {
                state.unreadable_entries.remove(&record.id);
                changes.extend(state.roster.upsert(record));
                continue;
            }
            TargetEvent::Removed(id) => {
                state.unreadable_entries.remove(&id);
                id
            }
            TargetEvent::Unreadable(id) => {
                state.unreadable_entries.insert(&id);
                id
            }
        };
        let policy = RemovalPolicy::AfterGracePeriod(now);
        changes.extend(state.roster.remove(&id, policy));
    }
    let is_changed = !changes.is_empty();
    state.view_tracker.record_store_read(bounds, is_changed);
    state.apply_roster_changes(changes, "store");
    is_changed
}

/// Checks the age of the view at the first successful read after a failure, so that the grace
/// period of expired entries starts when the store is back.
fn observe_recovery(state: &mut ControlState, now: MilliTime) {
    if state.failing_calls.contains(CALL) {
        let age = state.view_age(now);
        state.roster.observe_view_age(now, age);
    }
}
