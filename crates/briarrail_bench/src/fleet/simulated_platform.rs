//! In-memory model of the platform: configuration edits and the host list.

use std::sync::Arc;

use briarrail_config::{ConfigEdit, ConfigState, EditId, RowChange};
use briarrail_fleet::{ConfigRead, HostChange};
use briarrail_model::{
    ConfigSnapshot, HostEntry, HostName, HostPhase, MilliTime, RouteRow, TableSet,
};
use serde_json::json;

/// Edits available from the head object and its segments; older ones require a snapshot.
const MAX_RETAINED_EDITS: u64 = 1_000;
const ROUTE_COUNT: usize = 40;

/// Accepted edits and the host list with the revision of each change.
#[derive(Debug)]
pub(crate) struct SimulatedPlatform {
    state: ConfigState,
    snapshot: Arc<ConfigSnapshot>,
    pub(crate) edits: Vec<ConfigEdit>,
    hosts: Vec<(u64, Arc<HostEntry>)>,
    removed: Vec<(u64, HostName)>,
    revision: u64,
}

impl SimulatedPlatform {
    pub(crate) fn new(hosts: Vec<HostEntry>) -> Self {
        let pool = json!({"name": "model", "kind": "model", "targets": {"service": "engine"}});
        let pool = serde_json::from_value(pool).expect("row is valid");
        let row = |index| {
            let row = json!({"name": format!("route-{index}"), "pool": "model"});
            serde_json::from_value(row).expect("row is valid")
        };
        let tables = TableSet {
            routes: (0..ROUTE_COUNT).map(row).collect(),
            pools: vec![pool],
        };
        let snapshot = ConfigSnapshot {
            sequence: 0,
            tables,
        };
        Self {
            state: ConfigState::new(snapshot.clone()),
            snapshot: Arc::new(snapshot),
            edits: Vec::new(),
            hosts: hosts
                .into_iter()
                .map(|entry| (1, Arc::new(entry)))
                .collect(),
            removed: Vec::new(),
            revision: 1,
        }
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.state.sequence()
    }

    /// Accepts an edit that rewrites one route.
    pub(crate) fn accept_edit(&mut self, now: MilliTime) {
        let sequence = self.sequence() + 1;
        let name = format!("route-{}", sequence as usize % ROUTE_COUNT);
        let row = self.state.snapshot().tables.route(&name).cloned();
        let row: RouteRow = row.expect("routes are never deleted");
        let expected = row.stamp.version;
        let edit = ConfigEdit {
            sequence,
            id: EditId(uuid::Uuid::from_u128(u128::from(sequence))),
            editor: "operator".into(),
            at_ms: now,
            changes: vec![RowChange::PutRoute { expected, row }],
        };
        self.state
            .apply(&edit)
            .expect("edits have consecutive sequence numbers");
        self.snapshot = Arc::new(self.state.snapshot().clone());
        self.edits.push(edit);
    }

    pub(crate) fn read_config(&self, after: u64) -> ConfigRead {
        if after + MAX_RETAINED_EDITS < self.sequence() || after == 0 {
            return ConfigRead::Snapshot(Arc::clone(&self.snapshot));
        }
        ConfigRead::Edits(self.edits[(after as usize).min(self.edits.len())..].to_vec())
    }

    pub(crate) fn set_host(&mut self, index: usize, phase: HostPhase, incarnation: u64) {
        self.revision += 1;
        let entry = HostEntry {
            phase,
            incarnation,
            ..(*self.hosts[index].1).clone()
        };
        self.hosts[index] = (self.revision, Arc::new(entry));
    }

    pub(crate) fn remove_host(&mut self, index: usize) {
        self.revision += 1;
        self.removed
            .push((self.revision, self.hosts[index].1.name.clone()));
    }

    pub(crate) fn read_hosts(&self, since: u64) -> HostChange {
        let later = self.hosts.iter().filter(|(revision, _)| *revision > since);
        let removed = self
            .removed
            .iter()
            .filter(|(revision, _)| *revision > since);
        HostChange {
            since,
            revision: self.revision,
            full: since == 0,
            upserts: later.map(|(_, entry)| Arc::clone(entry)).collect(),
            removed: removed.map(|(_, name)| name.clone()).collect(),
        }
    }
}
