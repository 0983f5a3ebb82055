//! Tracks which listed targets are in use.
//!
//! While the store is unavailable for some seconds, entries of live targets expire. Once the store
//! is back, those targets register again within about two seconds.
//!
//! A store that is restored from a copy forgets what was written since: targets that registered are
//! missing until they write their entries again, and targets that left are listed again.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{MilliDuration, MilliTime};

use crate::departed_targets::DepartedTargets;
use crate::{TargetPhase, TargetRecord};

/// Time after an outage within which targets with expired entries register again.
const REREGISTRATION_GRACE: MilliDuration = MilliDuration::from_millis(2_200);
/// Time between two listings after a restore; long enough for a live target to renew its entry, and
/// for the other routers to know of the restore as long.
const CONFIRMATION_DELAY: MilliDuration = MilliDuration::from_millis(3_200);
/// Maximum age of a view that counts as uninterrupted; far below the expiry time of entries.
const MAX_CURRENT_VIEW_AGE: MilliDuration = MilliDuration::from_millis(2_500);

#[derive(Debug, Clone)]
struct RosterEntry {
    record: TargetRecord,
    /// End of the grace period; set while the entry is missing from the store and the target is
    /// still in use.
    retained_until: Option<MilliTime>,
}

/// A target as listed by the store or by another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterRecord {
    /// Record of the target.
    pub record: TargetRecord,
    /// End of the grace period for which another router retains the target although its entry is
    /// missing.
    pub retained_until: Option<MilliTime>,
    /// Number of the write with which the target last renewed its entry; `None` if it is unknown.
    pub write_sequence: Option<u64>,
}

impl From<TargetRecord> for RosterRecord {
    fn from(record: TargetRecord) -> Self {
        Self {
            record,
            retained_until: None,
            write_sequence: None,
        }
    }
}

/// A change of the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// A target was added, its record changed, or its missing entry came back.
    Upserted(TargetRecord),
    /// A target was removed.
    Removed(String),
    /// A target's entry is missing; the target is retained until the given time.
    Retained(String, MilliTime),
}

/// When a target is removed after its entry went missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalPolicy {
    /// After the grace period that follows an outage; for a read of the store by this router at the
    /// given time.
    AfterGracePeriod(MilliTime),
    /// Immediately; for a removal reported by a followed router, which already applied the grace
    /// period.
    Immediate,
}

/// The targets that this router uses.
#[derive(Debug, Clone, Default)]
pub struct TargetRoster {
    entries: BTreeMap<String, RosterEntry>,
    /// Time at which the view was last found to be interrupted.
    last_outage_at: Option<MilliTime>,
    departed: DepartedTargets,
    /// Time of the last restore of the store, until live targets have written their entries again.
    restored_at: Option<MilliTime>,
    /// Time of the last listing of the store.
    listed_at: Option<MilliTime>,
}

impl TargetRoster {
    /// Checks the age of the view after a failed read of the store and after the first successful
    /// read that follows.
    ///
    /// Entries may have expired while the view was outdated. A view that stayed current through
    /// another router missed nothing.
    pub fn observe_view_age(&mut self, now: MilliTime, view_age: Option<MilliDuration>) {
        if view_age.is_none_or(|age| age > MAX_CURRENT_VIEW_AGE) {
            self.last_outage_at = Some(now);
        }
    }

    /// Records that the store was restored from a copy.
    ///
    /// Entries that are newer than the copy get the grace period that follows an outage. For the same
    /// time, targets that drain stay so, whatever the store or another router says.
    pub fn observe_restore(&mut self, now: MilliTime) {
        self.last_outage_at = Some(now);
        self.restored_at = Some(now);
        let records = self.entries.values().map(|entry| &entry.record);
        let draining = records.filter(|record| record.phase == TargetPhase::Draining);
        self.departed.observe_restore(draining);
    }

    /// Returns whether the store must be listed again to tell whether targets that left or drained
    /// before a restore have written their entries.
    #[must_use]
    pub fn needs_listing(&self, now: MilliTime) -> bool {
        let is_due = |at: MilliTime| now.since(at) >= CONFIRMATION_DELAY;
        self.departed.unconfirmed().next().is_some() && self.listed_at.is_some_and(is_due)
    }

    /// Returns the ids of listed targets that left or drained before a restore and have not written
    /// their entries since.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &str> {
        self.departed.unconfirmed()
    }

    /// Adds or updates an entry.
    ///
    /// The return of a missing entry counts as a change, because the followers were told that the
    /// entry is missing.
    pub fn upsert<R>(&mut self, record: R) -> Vec<RosterChange>
    where
        R: Into<RosterRecord>,
    {
        let RosterRecord {
            mut record,
            retained_until,
            ..
        } = record.into();
        let id = record.id.clone();
        let known = self.entries.get(&id);
        let is_drain = known.is_some_and(|entry| is_drain_of(&entry.record, &record));
        if is_drain && self.restored_at.is_some() {
            record.phase = TargetPhase::Draining;
        } else {
            self.departed.forget(&id);
        }
        let was_missing = known.is_some_and(|entry| entry.retained_until.is_some());
        let is_new = known.is_none_or(|entry| entry.record != record);
        let is_back = was_missing && retained_until.is_none();
        let retained = retained_until
            .filter(|_| is_new || !was_missing)
            .map(|until| RosterChange::Retained(id.clone(), until));
        let upserted = (is_new || is_back).then(|| RosterChange::Upserted(record.clone()));
        let entry = RosterEntry {
            record,
            retained_until,
        };
        self.entries.insert(id, entry);
        upserted.into_iter().chain(retained).collect()
    }

    /// Removes an entry.
    ///
    /// Shortly after an outage, a ready target is retained until its entry has had time to come
    /// back.
    pub fn remove(&mut self, id: &str, policy: RemovalPolicy) -> Option<RosterChange> {
        let last_outage_at = self.last_outage_at;
        let grace = match policy {
            RemovalPolicy::Immediate => None,
            RemovalPolicy::AfterGracePeriod(now) => {
                let until = last_outage_at.map(|at| at + REREGISTRATION_GRACE);
                until.filter(|&until| until > now)
            }
        };
        if policy != RemovalPolicy::Immediate {
            self.departed.record_unlisted(id);
        }
        let entry = self.entries.get_mut(id)?;
        let is_ready = entry.record.phase == TargetPhase::Ready;
        if let Some(until) = grace.filter(|_| is_ready) {
            entry.retained_until = Some(until);
            return Some(RosterChange::Retained(id.to_owned(), until));
        }
        self.departed.record_departure(&entry.record);
        self.entries.remove(id);
        Some(RosterChange::Removed(id.to_owned()))
    }

    /// Replaces all entries with a complete listing.
    pub fn replace_all<R>(&mut self, records: R, policy: RemovalPolicy) -> Vec<RosterChange>
    where
        R: IntoIterator<Item: Into<RosterRecord>>,
    {
        let mut missing: Vec<String> = self.entries.keys().cloned().collect();
        let mut changes = Vec::new();
        let mut listed = BTreeSet::new();
        for record in records {
            let record: RosterRecord = record.into();
            if let Ok(found) = missing.binary_search(&record.record.id) {
                missing.remove(found);
            }
            if let RemovalPolicy::AfterGracePeriod(_) = policy {
                listed.insert(record.record.id.clone());
                if !self.departed.admits(&record.record, record.write_sequence) {
                    continue;
                }
            }
            changes.extend(self.upsert(record));
        }
        if let RemovalPolicy::AfterGracePeriod(now) = policy {
            missing.retain(|id| self.entries[id].retained_until.is_none());
            let unlisted = self.departed.unconfirmed();
            let unlisted: Vec<String> = unlisted
                .filter(|id| !listed.contains(*id))
                .map(str::to_owned)
                .collect();
            for id in unlisted {
                self.departed.record_unlisted(&id);
            }
            self.listed_at = Some(now);
        }
        changes.extend(missing.iter().filter_map(|id| self.remove(id, policy)));
        changes
    }

    /// Removes the targets whose entries did not come back within the grace period.
    pub fn expire(&mut self, now: MilliTime) -> Vec<RosterChange> {
        let is_recent = |at: &MilliTime| now.since(*at) < REREGISTRATION_GRACE;
        self.restored_at = self.restored_at.filter(is_recent);
        let is_expired =
            |entry: &RosterEntry| entry.retained_until.is_some_and(|until| until <= now);
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let ids: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            if let Some(entry) = self.entries.remove(id) {
                self.departed.record_departure(&entry.record);
            }
        }
        ids.into_iter().map(RosterChange::Removed).collect()
    }

    /// Returns the records of the targets in use.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.entries.values().map(|entry| &entry.record)
    }
}

/// Returns whether two records are of the same run of a target that is known to drain.
fn is_drain_of(known: &TargetRecord, listed: &TargetRecord) -> bool {
    known.phase == TargetPhase::Draining && known.started_unix_ms == listed.started_unix_ms
}
