//! Numbers the changes of the roster, so that other routers receive only those that they lack.

use std::collections::{BTreeMap, VecDeque};

use briarrail_dispatch::{RosterChange, TargetRecord};
use briarrail_model::MilliTime;
use briarrail_peer::RosterUpdate;

use super::roster_codec::{RosterCodecError, encode_records};

/// Maximum number of removals that are kept; a router that lacks older ones receives the complete
/// roster.
const MAX_REMOVALS: usize = 256;

#[derive(Debug)]
struct RosterLogEntry {
    /// Sequence number of the record's last change.
    sequence: u64,
    record: TargetRecord,
    /// End of the grace period for which the target is retained although its entry is missing.
    retained_until: Option<MilliTime>,
}

/// The roster, with the sequence number of each record's last change.
#[derive(Debug, Default)]
pub(crate) struct RosterLog {
    sequence: u64,
    entries: BTreeMap<String, RosterLogEntry>,
    removals: VecDeque<(u64, String)>,
    /// Sequence number up to which removals were discarded.
    discarded_sequence: u64,
}

impl RosterLog {
    /// Records changes of the roster.
    pub(crate) fn record(&mut self, changes: &[RosterChange]) {
        for change in changes {
            match change {
                RosterChange::Upserted(record) => {
                    self.sequence += 1;
                    // An update lists records and removals separately, without their order, so an
                    // earlier removal of the same target must not be listed.
                    self.removals.retain(|(_, removed)| *removed != record.id);
                    let entry = RosterLogEntry {
                        sequence: self.sequence,
                        record: record.clone(),
                        retained_until: None,
                    };
                    self.entries.insert(record.id.clone(), entry);
                }
                RosterChange::Removed(id) => {
                    self.sequence += 1;
                    self.entries.remove(id);
                    self.removals.push_back((self.sequence, id.clone()));
                }
                RosterChange::Retained(id, until) => {
                    if let Some(entry) = self.entries.get_mut(id) {
                        self.sequence += 1;
                        entry.sequence = self.sequence;
                        entry.retained_until = Some(*until);
                    }
                }
            }
        }
        while self.removals.len() > MAX_REMOVALS {
            if let Some((sequence, _)) = self.removals.pop_front() {
                self.discarded_sequence = sequence;
            }
        }
    }

    /// Returns the changes after a router's position, or `None` if it has all of them.
    ///
    /// A router whose epoch differs from `local_epoch` receives the complete roster.
    ///
    /// # Errors
    ///
    /// Fails if the records cannot be encoded.
    pub(crate) fn update_since(
        &self,
        local_epoch: u64,
        epoch: u64,
        sequence: u64,
        now: MilliTime,
    ) -> Result<Option<RosterUpdate>, RosterCodecError> {
        let is_full =
            epoch != local_epoch || sequence < self.discarded_sequence || sequence > self.sequence;
        if !is_full && sequence == self.sequence {
            return Ok(None);
        }
        let since = if is_full { 0 } else { sequence };
        let changed = || {
            let entries = self.entries.values();
            entries.filter(|entry| entry.sequence > since)
        };
        let records: Vec<&TargetRecord> = changed().map(|entry| &entry.record).collect();
        let expiring = changed().filter_map(|entry| {
            let remaining = entry.retained_until?.since(now);
            Some((entry.record.id.clone(), remaining.as_millis()))
        });
        let removed = self
            .removals
            .iter()
            .filter(|(at, _)| !is_full && *at > since);
        let (rows, is_compressed) = encode_records(&records)?;
        Ok(Some(RosterUpdate {
            epoch: local_epoch,
            sequence: self.sequence,
            is_full,
            rows,
            is_compressed,
            removed: removed.map(|(_, id)| id.clone()).collect(),
            expiring: expiring.collect(),
        }))
    }
}
