//! Adopts the evacuations of data centres and passes them on between routers.
//!
//! Views are ordered by their position in the history of the store, so a slower router does not
//! bring back what a faster one has replaced.

use briarrail_dispatch::{EvacuationChange, EvacuationPosition, EvacuationView, ViewTime};
use briarrail_model::{DataCentre, MilliDuration, MilliTime};
use briarrail_peer::EvacuationList;

use super::control_state::ControlState;
use crate::StoreRevision;
use crate::traffic::ControlUpdate;

/// Returns the position that a revision of the store stands for.
pub(crate) const fn evacuation_position(revision: StoreRevision) -> EvacuationPosition {
    EvacuationPosition {
        epoch: revision.epoch,
        revision: revision.number,
    }
}

impl ControlState {
    /// Returns whether the operators evacuate data centres of this site.
    pub(crate) fn follows_evacuations(&self) -> bool {
        self.shared.terms.load().evacuate_within.is_some()
    }

    /// Returns whether this router knows to which data centres no requests may go.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.evacuations.is_known() || !self.follows_evacuations()
    }

    /// Adopts a view of the evacuations, unless it is older than the current one.
    pub(crate) fn adopt_evacuations(&mut self, view: EvacuationView, source: &'static str) {
        let now = self.clock.now();
        let was_known = self.evacuations.is_known();
        let age = view.time.age(now);
        let changes = self.evacuations.adopt(view, now);
        self.apply_evacuation_changes(&changes, source, age);
        if !was_known {
            // The traffic thread gets no targets before it knows which of them are evacuated.
            self.send_targets(|_| true);
        }
    }

    /// Ends the evacuations that a restore of the store has lost for good, and all if the settings
    /// no longer call for them.
    pub(crate) fn expire_evacuations(&mut self, now: MilliTime) {
        if self.follows_evacuations() {
            let changes = self.evacuations.expire(now);
            self.apply_evacuation_changes(&changes, "expired", None);
        } else {
            let changes = self.evacuations.clear();
            self.apply_evacuation_changes(&changes, "settings", None);
        }
    }

    /// Adopts the evacuations that another router told.
    pub(crate) fn adopt_evacuation_list(
        &mut self,
        list: EvacuationList,
        time: ViewTime,
        source: &'static str,
    ) {
        if !self.follows_evacuations() {
            return;
        }
        let now = self.clock.now();
        let retained = list.retained.into_iter();
        let view = EvacuationView {
            position: Some(EvacuationPosition {
                epoch: list.epoch,
                revision: list.revision,
            }),
            time,
            data_centres: list.data_centres.into_iter().collect(),
            retained: retained
                .map(|(name, millis)| (name, now + MilliDuration::from_millis(millis)))
                .collect(),
        };
        self.adopt_evacuations(view, source);
    }

    /// Returns the evacuations for another router, or `None` if this one has no current view.
    pub(crate) fn evacuation_list(&self, now: MilliTime) -> Option<EvacuationList> {
        let view = self.evacuations.view()?;
        let position = view.position?;
        let retained = view.retained.into_iter();
        Some(EvacuationList {
            epoch: position.epoch,
            revision: position.revision,
            age_ms: view.time.age(now).map(MilliDuration::as_millis),
            data_centres: view.data_centres.into_iter().collect(),
            retained: retained
                .map(|(name, until)| (name, until.since(now).as_millis()))
                .collect(),
        })
    }

    /// Returns the evacuations for the hub, which may not know them if it has just started; `None`
    /// while there are none.
    pub(crate) fn reported_evacuations(&self, now: MilliTime) -> Option<EvacuationList> {
        let list = self.evacuation_list(now)?;
        let is_empty = list.data_centres.is_empty() && list.retained.is_empty();
        (!is_empty).then_some(list)
    }

    /// Logs changes of the evacuations and forwards them to the traffic thread.
    fn apply_evacuation_changes(
        &self,
        changes: &[EvacuationChange],
        source: &'static str,
        age: Option<MilliDuration>,
    ) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log_evacuation_change(change, source, age);
        }
        let data_centres = self.evacuations.data_centres();
        self.metrics.record_evacuated(data_centres.len());
        self.send_update(ControlUpdate::Evacuations(data_centres));
    }

    fn log_evacuation_change(
        &self,
        change: &EvacuationChange,
        source: &'static str,
        age: Option<MilliDuration>,
    ) {
        let view_age_ms = age.map(MilliDuration::as_millis);
        let targets = |name: &DataCentre| {
            let records = self.roster.records();
            records.filter(|record| record.data_centre == *name).count()
        };
        match change {
            EvacuationChange::Begun(name) => tracing::warn!(
                event = "evacuation_begun",
                source,
                data_centre = %name,
                targets = targets(name),
                view_age_ms,
            ),
            EvacuationChange::Retained(name, until) => tracing::warn!(
                event = "evacuation_retained",
                source,
                data_centre = %name,
                for_ms = until.since(self.clock.now()).as_millis(),
            ),
            EvacuationChange::Ended(name) => tracing::info!(
                event = "evacuation_ended",
                source,
                data_centre = %name,
                targets = targets(name),
                view_age_ms,
            ),
        }
    }
}
