//! Which listed targets still count.
//!
//! Pattern: the store is away for seconds, and entries of targets lapse meanwhile although the
//! targets live. When it is back, they register again within about two seconds.

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime};

use crate::{TargetPhase, TargetRow};

/// Time after the store's return within which lapsed entries are back.
const RETURN_GRACE: MilliDuration = MilliDuration::from_millis(2_200);
/// Age up to which a view that is renewed counts as never broken; far below the time in which
/// entries lapse.
const CURRENT_LIMIT: MilliDuration = MilliDuration::from_millis(2_500);

#[derive(Debug, Clone)]
struct RosterEntry {
    row: TargetRow,
    /// Set while the entry is missing from the store and the target is kept all the same.
    missing_until: Option<MilliTime>,
}

/// A row as the store or another router lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterRow {
    /// The target.
    pub row: TargetRow,
    /// Until when another router keeps the target although its entry is missing.
    pub kept_until: Option<MilliTime>,
}

impl From<TargetRow> for RosterRow {
    fn from(row: TargetRow) -> Self {
        Self {
            row,
            kept_until: None,
        }
    }
}

/// What changed in the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// A target appeared or its row changed.
    Put(TargetRow),
    /// A target is gone.
    Gone(String),
    /// A target's entry is missing, and the target is kept until the time given.
    Kept(String, MilliTime),
}

/// When a target whose entry is missing stops to count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalRule {
    /// Once it had time to come back after an outage, by an own read at the time given.
    AfterGrace(MilliTime),
    /// At once: a followed router tells it, which has given it its time.
    AtOnce,
}

/// The targets that this router counts on.
#[derive(Debug, Clone, Default)]
pub struct TargetRoster {
    entries: BTreeMap<String, RosterEntry>,
    /// When the store was last known to be away.
    outage_end: Option<MilliTime>,
}

impl TargetRoster {
    /// Notes the age of the view, when a read of the store failed or is the first good one again.
    ///
    /// Entries may have lapsed behind an old view; one that went on through another router missed
    /// nothing.
    pub fn note_view_age(&mut self, now: MilliTime, view_age: Option<MilliDuration>) {
        if view_age.is_none_or(|age| age > CURRENT_LIMIT) {
            self.outage_end = Some(now);
        }
    }

    /// Takes an entry.
    ///
    /// One that comes back in time is a change, since routers that follow were told that it is
    /// missing.
    pub fn put<R>(&mut self, row: R) -> Vec<RosterChange>
    where
        R: Into<RosterRow>,
    {
        let RosterRow { row, kept_until } = row.into();
        let id = row.id.clone();
        let known = self.entries.get(&id);
        let was_missing = known.is_some_and(|entry| entry.missing_until.is_some());
        let is_new = known.is_none_or(|entry| entry.row != row);
        let is_back = was_missing && kept_until.is_none();
        let kept = kept_until
            .filter(|_| is_new || !was_missing)
            .map(|until| RosterChange::Kept(id.clone(), until));
        let put = (is_new || is_back).then(|| RosterChange::Put(row.clone()));
        let entry = RosterEntry {
            row,
            missing_until: kept_until,
        };
        self.entries.insert(id, entry);
        put.into_iter().chain(kept).collect()
    }

    /// Takes the removal of an entry.
    ///
    /// Right after an outage a ready target is kept until its entry had time to come back.
    pub fn remove(&mut self, id: &str, rule: RemovalRule) -> Option<RosterChange> {
        let end = self.outage_end;
        let grace = match rule {
            RemovalRule::AtOnce => None,
            RemovalRule::AfterGrace(now) => {
                let until = end.map(|end| end + RETURN_GRACE);
                until.filter(|&until| until > now)
            }
        };
        let entry = self.entries.get_mut(id)?;
        let is_ready = entry.row.phase == TargetPhase::Ready;
        if let Some(until) = grace.filter(|_| is_ready) {
            entry.missing_until = Some(until);
            return Some(RosterChange::Kept(id.to_owned(), until));
        }
        self.entries.remove(id);
        Some(RosterChange::Gone(id.to_owned()))
    }

    /// Takes a whole listing.
    pub fn replace<R>(&mut self, rows: R, rule: RemovalRule) -> Vec<RosterChange>
    where
        R: IntoIterator<Item: Into<RosterRow>>,
    {
        let mut missing: Vec<String> = self.entries.keys().cloned().collect();
        let mut changes = Vec::new();
        for row in rows {
            let row = row.into();
            if let Ok(found) = missing.binary_search(&row.row.id) {
                missing.remove(found);
            }
            changes.extend(self.put(row));
        }
        if rule != RemovalRule::AtOnce {
            missing.retain(|id| self.entries[id].missing_until.is_none());
        }
        changes.extend(missing.iter().filter_map(|id| self.remove(id, rule)));
        changes
    }

    /// Drops targets whose entries did not come back in time.
    pub fn expire(&mut self, now: MilliTime) -> Vec<RosterChange> {
        let is_late = |entry: &RosterEntry| entry.missing_until.is_some_and(|until| until <= now);
        let late = self.entries.iter().filter(|(_, entry)| is_late(entry));
        let ids: Vec<String> = late.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.entries.remove(id);
        }
        ids.into_iter().map(RosterChange::Gone).collect()
    }

    /// Returns the rows that count now.
    pub fn rows(&self) -> impl Iterator<Item = &TargetRow> {
        self.entries.values().map(|entry| &entry.row)
    }
}
