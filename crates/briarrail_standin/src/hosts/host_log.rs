//! The changes of the host list, in their order.

use std::collections::BTreeMap;

use briarrail_model::{HostEntry, HostName, MilliDuration, MilliTime};
use briarrail_platform::HostDelta;

use crate::hosts::HostListFaults;

/// Every change of the list, so that readers can be shown the list of a moment ago.
#[derive(Debug, Default)]
pub(crate) struct HostLog {
    changes: Vec<HostChange>,
    current: BTreeMap<HostName, HostEntry>,
    hidden: BTreeMap<HostName, HostEntry>,
}

/// One change; its revision is its position in the log, from 1.
#[derive(Debug)]
struct HostChange {
    at: MilliTime,
    name: HostName,
    entry: Option<HostEntry>,
}

impl HostLog {
    /// Adds or replaces a host.
    pub(crate) fn put(&mut self, entry: HostEntry, now: MilliTime) {
        self.hidden.remove(&entry.name);
        self.append(entry.name.clone(), Some(entry), now);
    }

    /// Removes a host.
    pub(crate) fn remove(&mut self, name: &HostName, now: MilliTime) {
        self.hidden.remove(name);
        self.append(name.clone(), None, now);
    }

    /// Lets flapping hosts leave and come back, as the time demands.
    pub(crate) fn flap(&mut self, faults: &HostListFaults, now: MilliTime) {
        let period = faults.flap_period_ms.max(1);
        let is_away = now.as_millis() / period % 2 == 1;
        let away = if is_away { &faults.flapping[..] } else { &[] };
        for name in away {
            if let Some(entry) = self.current.get(name).cloned() {
                self.append(name.clone(), None, now);
                self.hidden.insert(name.clone(), entry);
            }
        }
        let back: Vec<HostEntry> = self.hidden.values().cloned().collect();
        for entry in back.into_iter().filter(|entry| !away.contains(&entry.name)) {
            self.put(entry, now);
        }
    }

    /// Returns what a reader sees that has a revision, when changes take `lag` to show.
    pub(crate) fn delta(&self, since: u64, lag: MilliDuration, now: MilliTime) -> HostDelta {
        let is_shown = |change: &HostChange| change.at + lag <= now;
        let shown = self.changes.partition_point(is_shown);
        let since = usize::try_from(since).unwrap_or(usize::MAX);
        let full = since == 0 || since > shown;
        let start = if full { 0 } else { since };
        let mut last = BTreeMap::new();
        for change in &self.changes[start..shown] {
            last.insert(&change.name, &change.entry);
        }
        let removed = last.iter().filter(|(_, entry)| entry.is_none() && !full);
        HostDelta {
            revision: shown as u64,
            full,
            upserts: last.values().filter_map(|entry| (*entry).clone()).collect(),
            removed: removed.map(|(name, _)| (*name).clone()).collect(),
        }
    }

    fn append(&mut self, name: HostName, entry: Option<HostEntry>, now: MilliTime) {
        match &entry {
            Some(entry) => self.current.insert(name.clone(), entry.clone()),
            None => self.current.remove(&name),
        };
        let at = now;
        self.changes.push(HostChange { at, name, entry });
    }
}
