//! Applies what the control thread learns of the targets.

use std::collections::BTreeSet;

use briarrail_dispatch::{RosterChange, SendNeed, TargetKey};
use briarrail_model::{DataCentre, MilliTime};

use super::traffic_state::TrafficState;

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
                self.close_unused(key, now);
            }
            RosterChange::Removed(id) => {
                let key = self.registry.borrow().key_by_id(&id);
                if let Some(key) = key {
                    self.idle_connections.borrow_mut().remove_target(key);
                    self.registry
                        .borrow_mut()
                        .mark_removed(&id, self.clock.now());
                }
            }
            RosterChange::Retained(..) => {}
        }
    }

    /// Closes the idle connections to a target that will get no more requests.
    fn close_unused(&self, key: TargetKey, now: MilliTime) {
        let denial = self.registry.borrow().denial(key, &SendNeed::ANY, now);
        if denial.is_some_and(|denial| !denial.passes_soon()) {
            self.idle_connections.borrow_mut().remove_target(key);
        }
    }

    /// Stops sending requests to the targets of evacuated data centres, and closes the idle
    /// connections to them.
    ///
    /// Requests under way go on.
    pub(super) fn apply_evacuations(&self, data_centres: &BTreeSet<DataCentre>) {
        let now = self.clock.now();
        self.registry.borrow_mut().set_evacuated(data_centres);
        let keys: Vec<TargetKey> = self.registry.borrow().iter().map(|(key, _)| key).collect();
        for key in keys {
            self.close_unused(key, now);
        }
    }
}
