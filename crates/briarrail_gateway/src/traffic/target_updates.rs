//! Applies what the control thread learns of the targets.

use std::collections::BTreeSet;

use briarrail_dispatch::{RosterChange, TargetKey};
use briarrail_model::DataCentre;

use super::target_standings::STORE_SOURCE;
use super::traffic_state::TrafficState;

/// Source of a change that the operators asked for.
const OPERATOR_SOURCE: &str = "operators";

impl<D> TrafficState<D> {
    /// Applies changes to the roster of targets.
    pub(super) fn apply_roster_changes(&self, changes: Vec<RosterChange>) {
        for change in changes {
            self.apply_roster_change(change);
        }
    }

    fn apply_roster_change(&self, change: RosterChange) {
        match change {
            RosterChange::Upserted(record) => {
                let now = self.clock.now();
                let key = self.registry.borrow_mut().upsert(record, now);
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
