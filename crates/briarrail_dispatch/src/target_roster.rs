//! Which listed targets still count.
//!
//! Pattern: the store is away for seconds, and entries of targets lapse meanwhile although the
//! targets live. When it is back, they register again within about two seconds.

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime};

use crate::{TargetPhase, TargetRecord};

/// Time after the store's return within which lapsed entries are back.
const REREGISTRATION_GRACE: MilliDuration = MilliDuration::from_millis(2_200);
/// Age up to which a view that is renewed counts as never broken; far below the time in which
/// entries lapse.
const MAX_CURRENT_VIEW_AGE: MilliDuration = MilliDuration::from_millis(2_500);

#[derive(Debug, Clone)]
struct RosterEntry {
    record: TargetRecord,
    /// Set while the entry is missing from the store and the target is kept all the same.
    missing_until: Option<MilliTime>,
}

/// A row as the store or another router lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterRecord {
    /// The target.
    pub record: TargetRecord,
    /// Until when another router keeps the target although its entry is missing.
    pub kept_until: Option<MilliTime>,
}

impl From<TargetRecord> for RosterRecord {
    fn from(record: TargetRecord) -> Self {
        Self {
            record,
            kept_until: None,
        }
    }
}

/// What changed in the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// A target appeared or its row changed.
    Upserted(TargetRecord),
    /// A target is gone.
    Removed(String),
    /// A target's entry is missing, and the target is kept until the time given.
    Retained(String, MilliTime),
}

/// When a target whose entry is missing stops to count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalPolicy {
    /// Once it had time to come back after an outage, by an own read at the time given.
    AfterGracePeriod(MilliTime),
    /// At once: a followed router tells it, which has given it its time.
    Immediate,
}

/// The targets that this router counts on.
#[derive(Debug, Clone, Default)]
pub struct TargetRoster {
    entries: BTreeMap<String, RosterEntry>,
    /// When the store was last known to be away.
    last_outage_at: Option<MilliTime>,
}

impl TargetRoster {
    /// Notes the age of the view, when a read of the store failed or is the first good one again.
    ///
    /// Entries may have lapsed behind an old view; one that went on through another router missed
    /// nothing.
    pub fn observe_view_age(&mut self, now: MilliTime, view_age: Option<MilliDuration>) {
        if view_age.is_none_or(|age| age > MAX_CURRENT_VIEW_AGE) {
            self.last_outage_at = Some(now);
        }
    }

    /// Takes an entry.
    ///
    /// One that comes back in time is a change, since routers that follow were told that it is
    /// missing.
    pub fn upsert<R>(&mut self, record: R) -> Vec<RosterChange>
    where
        R: Into<RosterRecord>,
    {
        let RosterRecord { record, kept_until } = record.into();
        let id = record.id.clone();
        let known = self.entries.get(&id);
        let was_missing = known.is_some_and(|entry| entry.missing_until.is_some());
        let is_new = known.is_none_or(|entry| entry.record != record);
        let is_back = was_missing && kept_until.is_none();
        let retained = kept_until
            .filter(|_| is_new || !was_missing)
            .map(|until| RosterChange::Retained(id.clone(), until));
        let upserted = (is_new || is_back).then(|| RosterChange::Upserted(record.clone()));
        let entry = RosterEntry {
            record,
            missing_until: kept_until,
        };
        self.entries.insert(id, entry);
        upserted.into_iter().chain(retained).collect()
    }

    /// Takes the removal of an entry.
    ///
    /// Right after an outage a ready target is kept until its entry had time to come back.
    pub fn remove(&mut self, id: &str, policy: RemovalPolicy) -> Option<RosterChange> {
        let last_outage_at = self.last_outage_at;
        let grace = match policy {
            RemovalPolicy::Immediate => None,
            RemovalPolicy::AfterGracePeriod(now) => {
                let until = last_outage_at.map(|at| at + REREGISTRATION_GRACE);
                until.filter(|&until| until > now)
            }
        };
        let entry = self.entries.get_mut(id)?;
        let is_ready = entry.record.phase == TargetPhase::Ready;
        if let Some(until) = grace.filter(|_| is_ready) {
            entry.missing_until = Some(until);
            return Some(RosterChange::Retained(id.to_owned(), until));
        }
        self.entries.remove(id);
        Some(RosterChange::Removed(id.to_owned()))
    }

    /// Takes a whole listing.
    pub fn replace_all<R>(&mut self, records: R, policy: RemovalPolicy) -> Vec<RosterChange>
    where
        R: IntoIterator<Item: Into<RosterRecord>>,
    {
        let mut missing: Vec<String> = self.entries.keys().cloned().collect();
        let mut changes = Vec::new();
        for record in records {
            let record = record.into();
            if let Ok(found) = missing.binary_search(&record.record.id) {
                missing.remove(found);
            }
            changes.extend(self.upsert(record));
        }
        if policy != RemovalPolicy::Immediate {
            missing.retain(|id| self.entries[id].missing_until.is_none());
        }
        changes.extend(missing.iter().filter_map(|id| self.remove(id, policy)));
        changes
    }

    /// Drops targets whose entries did not come back in time.
    pub fn expire(&mut self, now: MilliTime) -> Vec<RosterChange> {
        let is_expired =
            |entry: &RosterEntry| entry.missing_until.is_some_and(|until| until <= now);
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let ids: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.entries.remove(id);
        }
        ids.into_iter().map(RosterChange::Removed).collect()
    }

    /// Returns the rows that count now.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.entries.values().map(|entry| &entry.record)
    }
}
