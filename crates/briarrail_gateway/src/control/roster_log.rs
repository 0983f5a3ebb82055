//! Roster changes by sequence, so that other routers can be told what they lack.

use std::collections::{BTreeMap, VecDeque};

use briarrail_dispatch::{RosterChange, TargetRecord};
use briarrail_model::MilliTime;
use briarrail_peer::RosterUpdate;
use bytes::Bytes;

/// Departures that are remembered; a router that lacks older ones gets the whole roster.
const KEPT_DEPARTURES: usize = 256;

#[derive(Debug)]
struct LoggedRow {
    /// Sequence of its last change.
    sequence: u64,
    row: TargetRecord,
    /// Until when it counts although its entry is missing.
    kept_until: Option<MilliTime>,
}

/// The roster with the sequence of each row's last change.
#[derive(Debug, Default)]
pub(crate) struct RosterLog {
    sequence: u64,
    rows: BTreeMap<String, LoggedRow>,
    departures: VecDeque<(u64, String)>,
    /// Sequence up to which departures are forgotten.
    forgotten: u64,
}

impl RosterLog {
    /// Takes changes.
    pub(crate) fn record(&mut self, changes: &[RosterChange]) {
        for change in changes {
            match change {
                RosterChange::Upserted(row) => {
                    self.sequence += 1;
                    // A reply names rows and departures apart, without their order.
                    self.departures.retain(|(_, gone)| *gone != row.id);
                    let logged = LoggedRow {
                        sequence: self.sequence,
                        row: row.clone(),
                        kept_until: None,
                    };
                    self.rows.insert(row.id.clone(), logged);
                }
                RosterChange::Removed(id) => {
                    self.sequence += 1;
                    self.rows.remove(id);
                    self.departures.push_back((self.sequence, id.clone()));
                }
                RosterChange::Retained(id, until) => {
                    if let Some(logged) = self.rows.get_mut(id) {
                        self.sequence += 1;
                        logged.sequence = self.sequence;
                        logged.kept_until = Some(*until);
                    }
                }
            }
        }
        while self.departures.len() > KEPT_DEPARTURES {
            if let Some((sequence, _)) = self.departures.pop_front() {
                self.forgotten = sequence;
            }
        }
    }

    /// Returns what changed since a router's sequence of an epoch; none when it has all.
    ///
    /// # Errors
    ///
    /// Fails when the rows can't be encoded.
    pub(crate) fn part_since(
        &self,
        own_epoch: u64,
        epoch: u64,
        sequence: u64,
        now: MilliTime,
    ) -> Result<Option<RosterUpdate>, rmp_serde::encode::Error> {
        let is_full = epoch != own_epoch || sequence < self.forgotten || sequence > self.sequence;
        if !is_full && sequence == self.sequence {
            return Ok(None);
        }
        let since = if is_full { 0 } else { sequence };
        let changed = || {
            let rows = self.rows.values();
            rows.filter(|logged| logged.sequence > since)
        };
        let rows: Vec<&TargetRecord> = changed().map(|logged| &logged.row).collect();
        let kept = changed().filter_map(|logged| {
            let left = logged.kept_until?.since(now);
            Some((logged.row.id.clone(), left.as_millis()))
        });
        let gone = self
            .departures
            .iter()
            .filter(|(at, _)| !is_full && *at > since);
        Ok(Some(RosterUpdate {
            epoch: own_epoch,
            sequence: self.sequence,
            is_full,
            rows: Bytes::from(rmp_serde::to_vec_named(&rows)?),
            removed: gone.map(|(_, id)| id.clone()).collect(),
            expiring: kept.collect(),
        }))
    }
}
