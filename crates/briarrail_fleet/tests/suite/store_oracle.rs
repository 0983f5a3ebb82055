//! Reference store with the accepted edits and the host list.

use std::sync::Arc;

use briarrail_config::{ConfigEdit, ConfigState, EditId, RowChange};
use briarrail_fleet::{ConfigRead, HostChange};
use briarrail_model::{
    ConfigSnapshot, HostEntry, HostName, HostPhase, MilliTime, PoolRow, RouteRow, TableSet,
};
use uuid::Uuid;

/// Maximum number of edits that a read returns; routers further behind get a snapshot.
const MAX_READ_EDITS: usize = 4;

/// Every accepted state, indexed by sequence number, and the host list.
pub(crate) struct StoreOracle {
    pub(crate) states: Vec<Arc<ConfigSnapshot>>,
    pub(crate) edits: Vec<ConfigEdit>,
    hosts: Vec<HostEntry>,
    log: Vec<(u64, HostName)>,
}

pub(crate) fn route(name: &str) -> RouteRow {
    RouteRow {
        name: name.to_owned(),
        conditions: Default::default(),
        pool: "model".to_owned(),
        semantics: Default::default(),
        keyless: Default::default(),
        priority: Default::default(),
        deadline_ms: briarrail_model::MilliDuration::from_secs(1),
        stamp: Default::default(),
    }
}

fn tables() -> TableSet {
    let pool = r#"{"name":"model","kind":"model","targets":{"service":"engine"}}"#;
    let pool: PoolRow = serde_json::from_str(pool).unwrap();
    let routes = (0..4).map(|index| route(&format!("route-{index}")));
    TableSet {
        routes: routes.collect(),
        pools: vec![pool],
    }
}

impl StoreOracle {
    pub(crate) fn new(hosts: Vec<HostEntry>) -> Self {
        let first = ConfigSnapshot {
            sequence: 0,
            tables: tables(),
        };
        Self {
            states: vec![Arc::new(first)],
            edits: Vec::new(),
            log: hosts.iter().map(|entry| (1, entry.name.clone())).collect(),
            hosts,
        }
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.edits.len() as u64
    }

    pub(crate) fn accept_edit(&mut self, now: MilliTime) {
        let sequence = self.sequence() + 1;
        let latest = self.states.last().unwrap();
        let name = format!("route-{}", sequence % 4);
        let row = latest.tables.route(&name).unwrap().clone();
        let edit = ConfigEdit {
            sequence,
            id: EditId(Uuid::from_u128(u128::from(sequence))),
            editor: "operator".to_owned(),
            at_ms: now,
            changes: vec![RowChange::PutRoute {
                expected: row.stamp.version,
                row,
            }],
        };
        let mut state = ConfigState::new((**latest).clone());
        state.apply(&edit).unwrap();
        self.states.push(Arc::new(state.snapshot().clone()));
        self.edits.push(edit);
    }

    pub(crate) fn read_config(&self, after: u64) -> ConfigRead {
        let after = usize::try_from(after).unwrap();
        if after == 0 || after + MAX_READ_EDITS < self.edits.len() {
            return ConfigRead::Snapshot(Arc::clone(self.states.last().unwrap()));
        }
        ConfigRead::Edits(self.edits.get(after..).unwrap_or_default().to_vec())
    }

    pub(crate) fn revision(&self) -> u64 {
        self.log.last().map_or(0, |(revision, _)| *revision)
    }

    pub(crate) fn host(&self, name: &HostName) -> Option<&HostEntry> {
        self.hosts.iter().find(|entry| entry.name == *name)
    }

    pub(crate) fn set_host(&mut self, entry: HostEntry) {
        let revision = self.revision() + 1;
        self.log.push((revision, entry.name.clone()));
        self.hosts.retain(|known| known.name != entry.name);
        self.hosts.push(entry);
    }

    pub(crate) fn set_phase(&mut self, name: &HostName, phase: HostPhase) {
        let entry = self.host(name).unwrap().clone();
        self.set_host(HostEntry { phase, ..entry });
    }

    pub(crate) fn remove_host(&mut self, name: &HostName) {
        let revision = self.revision() + 1;
        self.log.push((revision, name.clone()));
        self.hosts.retain(|known| known.name != *name);
    }

    pub(crate) fn read_hosts(&self, since: u64) -> HostChange {
        let mut names: Vec<_> = self
            .log
            .iter()
            .filter(|(revision, _)| *revision > since)
            .map(|(_, name)| name.clone())
            .collect();
        names.sort();
        names.dedup();
        let (live, removed): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|name| self.host(name).is_some());
        let upserts = live.iter().filter_map(|name| self.host(name).cloned());
        HostChange {
            since,
            revision: self.revision(),
            full: since == 0,
            upserts: upserts.map(Arc::new).collect(),
            removed,
        }
    }
}
