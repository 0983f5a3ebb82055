//! The targets, as the store lists them.

use std::time::Duration;

use briarrail_dispatch::{RemovalPolicy, ViewTimeBounds};
use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControl;
use super::control_state::ControlState;
use super::store_follower::{StorePart, WATCH_WAIT};
use crate::{ReadConsistency, SiteStore, TargetEvent, WatchOutcome};

/// Pause after changes of targets, so that those of a moment are read together; a small part of
/// the time in which they must be in force.
const CHANGES_PAUSE: Duration = Duration::from_millis(60);
/// Name of the reads of targets in logs and metrics.
const CALL: &str = "targets";

/// Reads of the targets.
pub(crate) struct TargetReads<S> {
    pub(crate) state: SharedControl,
    pub(crate) store: S,
}

impl<S> StorePart for TargetReads<S>
where
    S: SiteStore,
{
    const CALL: &'static str = CALL;

    async fn list(&self, age: ReadConsistency) -> Result<Option<u64>, StoreError> {
        let asked_at = self.state.borrow().clock.now();
        let listing = self.store.list_targets(age).await?;
        let mut state = self.state.borrow_mut();
        for name in &listing.unreadable {
            tracing::warn!(event = "target_unreadable", target_id = name);
        }
        let now = state.clock.now();
        note_return(&mut state, now);
        let rule = RemovalPolicy::AfterGracePeriod(now);
        let changes = state.roster.replace_all(listing.records, rule);
        let is_current = age == ReadConsistency::Current;
        let seen = if is_current {
            ViewTimeBounds {
                earliest: asked_at,
                latest: now,
            }
        } else {
            // Older than any other view that this router will see.
            ViewTimeBounds::default()
        };
        state
            .view_order
            .record_store_read(seen, !changes.is_empty());
        state.apply_roster(changes, "store");
        state.has_targets = true;
        Ok(is_current.then_some(listing.revision))
    }

    async fn watch(&self, revision: u64) -> Result<Option<u64>, StoreError> {
        let step = self.store.watch_targets(revision, WATCH_WAIT).await?;
        let WatchOutcome::Changes { changes, revision } = step else {
            tracing::info!(event = "watch_history_gone", call = CALL);
            return Ok(None);
        };
        let is_changed = take_target_events(&mut self.state.borrow_mut(), changes);
        if is_changed {
            tokio::time::sleep(CHANGES_PAUSE).await;
        }
        Ok(Some(revision))
    }

    fn note_failure(&self) {
        let mut state = self.state.borrow_mut();
        let now = state.clock.now();
        let age = state.view_age(now);
        state.roster.observe_view_age(now, age);
    }
}

/// Takes changes that the store told, and returns whether the roster changed.
fn take_target_events(state: &mut ControlState, changes: Vec<TargetEvent>) -> bool {
    let now = state.clock.now();
    note_return(state, now);
    let mut roster_changes = Vec::new();
    for change in changes {
        match change {
            TargetEvent::Upserted(row) => roster_changes.extend(state.roster.upsert(row)),
            TargetEvent::Removed(id) => {
                let rule = RemovalPolicy::AfterGracePeriod(now);
                roster_changes.extend(state.roster.remove(&id, rule));
            }
        }
    }
    let is_changed = !roster_changes.is_empty();
    let seen = ViewTimeBounds::exact(now);
    state.view_order.record_store_read(seen, is_changed);
    state.apply_roster(roster_changes, "store");
    is_changed
}

/// Counts the time that lapsed entries have to come back from the store's return.
fn note_return(state: &mut ControlState, now: MilliTime) {
    if state.failing_reads.contains(CALL) {
        let age = state.view_age(now);
        state.roster.observe_view_age(now, age);
    }
}
