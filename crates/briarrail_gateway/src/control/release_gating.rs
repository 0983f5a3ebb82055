//! Withholds targets from the traffic thread until their releases may be used.

use std::collections::BTreeSet;

use briarrail_dispatch::{
    ReleaseEntry, ReleaseKey, RosterChange, ServiceRelease, TargetPhase, TargetRecord,
};

use super::control_state::ControlState;
use crate::traffic::ControlUpdate;

impl ControlState {
    /// Replaces updates of targets that may not be used yet by their removal: a target can start again
    /// under its identifier as another release.
    pub(crate) fn withhold_targets(&self, changes: Vec<RosterChange>) -> Vec<RosterChange> {
        let knows_evacuations = self.knows_evacuations();
        let withhold = |change| match change {
            RosterChange::Upserted(record) if !self.is_usable(&record) => {
                self.gate_wakeup.notify_one();
                Some(RosterChange::Removed(record.id))
            }
            RosterChange::Upserted(_) if !knows_evacuations => None,
            change => Some(change),
        };
        changes.into_iter().filter_map(withhold).collect()
    }

    fn is_usable(&self, record: &TargetRecord) -> bool {
        self.gate.is_open(&ServiceRelease::from(record))
    }

    /// Sends the usable targets of some releases to the traffic thread.
    pub(crate) fn send_targets<F>(&self, is_sent: F)
    where
        F: Fn(&ServiceRelease) -> bool,
    {
        let records = self.roster.records();
        let records = records.filter(|record| is_sent(&ServiceRelease::from(*record)));
        let changes = records.cloned().map(RosterChange::Upserted).collect();
        let changes = self.withhold_targets(changes);
        self.send_update(ControlUpdate::Roster(changes));
    }

    /// Uses the releases that the store lists as open to all routers.
    pub(crate) fn admit_unguarded(&mut self, entries: &[ReleaseEntry]) {
        let in_use = self.releases_in_use();
        let opened = self.gate.admit_unguarded(entries, &in_use);
        self.use_releases(&opened, "open");
        self.observe_usable_targets(&in_use);
    }

    /// Uses releases to which this router was admitted.
    pub(crate) fn admit_releases(&mut self, keys: &BTreeSet<ReleaseKey>) {
        let in_use = self.releases_in_use();
        let opened = self.gate.admit(keys, &in_use);
        self.use_releases(&opened, "admitted");
        self.observe_usable_targets(&in_use);
    }

    /// Uses releases without an admission where nothing else serves, and drops outdated admissions.
    pub(crate) fn update_gate(&mut self) {
        let now = self.clock.now();
        let in_use = self.releases_in_use();
        let records = self.roster.records();
        let ready = records.filter(|record| record.phase == TargetPhase::Ready);
        let ready = ready.map(ServiceRelease::from).collect();
        let opened = self.gate.open_overdue(&in_use, &ready, now);
        self.use_releases(&opened, "overdue");
        self.gate.drop_unused(&in_use, now);
        self.observe_usable_targets(&in_use);
    }

    fn observe_usable_targets(&mut self, in_use: &BTreeSet<ServiceRelease>) {
        let open = in_use.iter().filter(|release| self.gate.is_open(release));
        let served: BTreeSet<&str> = open.map(|release| release.service.as_str()).collect();
        let mut services = in_use.iter().map(|release| release.service.as_str());
        let is_served = services.all(|service| served.contains(service));
        self.has_usable_targets |= self.has_target_list && is_served;
    }

    fn use_releases(&self, opened: &[ServiceRelease], cause: &'static str) {
        for release in opened {
            tracing::info!(
                event = "release_used",
                service = release.service,
                version = release.version,
                cause,
            );
        }
        if !opened.is_empty() {
            self.send_targets(|release| opened.contains(release));
        }
    }
}
