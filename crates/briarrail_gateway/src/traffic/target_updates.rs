//! Applies what the control thread learns of the targets.

use std::collections::BTreeSet;

use briarrail_dispatch::{RosterChange, TargetKey};
use briarrail_model::{DataCentre, MilliDuration, MilliTime};

use super::target_standings::STORE_SOURCE;
use super::traffic_state::TrafficState;
use crate::process_clock::unix_millis;

/// Maximum age of a view that is current: a few syncs at the longest interval.
const MAX_CURRENT_AGE: MilliDuration = MilliDuration::from_millis(1_500);
/// Source of a change that the operators asked for.
const OPERATOR_SOURCE: &str = "operators";

impl<D> TrafficState<D> {
    /// Applies changes to the roster of targets.
    pub(super) fn apply_roster_changes(&self, changes: Vec<RosterChange>) {
        for change in changes {
            self.apply_roster_change(change);
        }
        self.log_notice_events();
    }

    fn apply_roster_change(&self, change: RosterChange) {
        match change {
            RosterChange::Upserted(record) => {
                let now = self.clock.now();
                let started_at = record.started_at(unix_millis(), now);
                let mut registry = self.registry.borrow_mut();
                let key = registry.upsert_started(record, started_at, now);
                drop(registry);
                self.report_standing(key, STORE_SOURCE, now);
            }
            RosterChange::Removed(id) => {
                let now = self.clock.now();
                let key = self.registry.borrow().key_by_id(&id);
                if let Some(key) = key {
                    self.registry.borrow_mut().mark_removed(&id, now);
                    self.report_standing(key, STORE_SOURCE, now);
                }
            }
            RosterChange::Retained(..) => {}
        }
    }

    /// Records that a target refused a connection.
    pub(super) fn record_refused(&self, key: TargetKey) {
        let now = self.clock.now();
        self.registry.borrow_mut().record_refused(key, now);
        if !self.has_current_view()
            && let Some(target) = self.registry.borrow().get(key)
        {
            tracing::info!(
                event = "target_release_uncertain",
                target_id = target.record.id,
                service = target.record.service,
                version = target.record.version,
                view_age_ms = now.since(self.view_observed_at.get()).as_millis(),
            );
        }
    }

    /// Records that the roster reflects the store as of a time.
    pub(super) fn record_view(&self, observed_at: MilliTime) {
        self.view_observed_at.set(observed_at);
        self.registry.borrow_mut().record_view(observed_at);
    }

    /// Returns whether the view of the targets is as recent as the exchange keeps it.
    pub(super) fn has_current_view(&self) -> bool {
        self.clock.now().since(self.view_observed_at.get()) <= MAX_CURRENT_AGE
    }

    /// Stops sending requests to the targets of evacuated data centres, and closes the idle
    /// connections to them.
    ///
    /// Requests under way go on.
    pub(super) fn apply_evacuations(&self, data_centres: &BTreeSet<DataCentre>) {
        let now = self.clock.now();
        self.registry.borrow_mut().set_evacuated(data_centres, now);
        let keys: Vec<TargetKey> = self.registry.borrow().iter().map(|(key, _)| key).collect();
        for key in keys {
            self.report_standing(key, OPERATOR_SOURCE, now);
        }
    }
}
