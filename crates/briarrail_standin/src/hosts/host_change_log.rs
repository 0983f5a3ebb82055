//! Change log of the host list.

use std::collections::BTreeMap;

use briarrail_model::{HostEntry, HostName, MilliDuration, MilliTime};
use briarrail_platform::HostDelta;

use crate::hosts::HostListFaults;

/// All changes of the host list, from which an earlier state can be served to readers.
#[derive(Debug, Default)]
pub(crate) struct HostChangeLog {
    changes: Vec<HostChange>,
    current: BTreeMap<HostName, HostEntry>,
    /// Hosts that are currently removed because they flap.
    flapped: BTreeMap<HostName, HostEntry>,
}

/// A change; its revision is its 1-based position in the log.
#[derive(Debug)]
struct HostChange {
    at: MilliTime,
    name: HostName,
    /// `None` if the host was removed.
    entry: Option<HostEntry>,
}

impl HostChangeLog {
    /// Adds or replaces a host.
    pub(crate) fn put(&mut self, entry: HostEntry, now: MilliTime) {
        self.flapped.remove(&entry.name);
        self.append(entry.name.clone(), Some(entry), now);
    }

    /// Removes a host.
    pub(crate) fn remove(&mut self, name: &HostName, now: MilliTime) {
        self.flapped.remove(name);
        self.append(name.clone(), None, now);
    }

    /// Removes flapping hosts or adds them again, depending on the phase of the flap period.
    pub(crate) fn apply_flapping(&mut self, faults: &HostListFaults, now: MilliTime) {
        let period = faults.flap_period_ms.max(1);
        let is_down_phase = now.as_millis() / period % 2 == 1;
        let flapped_out = if is_down_phase {
            &faults.flapping[..]
        } else {
            &[]
        };
        for name in flapped_out {
            if let Some(entry) = self.current.get(name).cloned() {
                self.append(name.clone(), None, now);
                self.flapped.insert(name.clone(), entry);
            }
        }
        let returning: Vec<HostEntry> = self.flapped.values().cloned().collect();
        for entry in returning
            .into_iter()
            .filter(|entry| !flapped_out.contains(&entry.name))
        {
            self.put(entry, now);
        }
    }

    /// Returns the changes since a revision that are at least `lag` old.
    ///
    /// The delta is full for revision 0, and for a revision that isn't visible yet.
    pub(crate) fn delta(&self, since: u64, lag: MilliDuration, now: MilliTime) -> HostDelta {
        let is_visible = |change: &HostChange| change.at + lag <= now;
        let visible = self.changes.partition_point(is_visible);
        let since = usize::try_from(since).unwrap_or(usize::MAX);
        let full = since == 0 || since > visible;
        let start = if full { 0 } else { since };
        let mut latest = BTreeMap::new();
        for change in &self.changes[start..visible] {
            latest.insert(&change.name, &change.entry);
        }
        let removed = latest.iter().filter(|(_, entry)| entry.is_none() && !full);
        HostDelta {
            revision: visible as u64,
            full,
            upserts: latest
                .values()
                .filter_map(|entry| (*entry).clone())
                .collect(),
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
