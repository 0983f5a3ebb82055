//! Remembers targets that left or drain, so that a restored store does not bring them back.

use std::collections::{BTreeMap, VecDeque};

use crate::TargetRecord;

/// Maximum number of departures that are remembered; far more than the targets of a site that leave
/// within the age of a copy.
const MAX_DEPARTURES: usize = 1_024;

/// One run of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TargetRun {
    id: String,
    started_unix_ms: u64,
}

/// A target that left or drained before the store was restored.
#[derive(Debug, Clone)]
struct UnconfirmedTarget {
    started_unix_ms: u64,
    /// Write sequence of the first listing after the restore that had an entry of the target.
    listed_sequence: Option<u64>,
}

/// Targets that left, and those that left or drained when the store was restored.
///
/// A store that is restored from a copy lists targets that left after the copy was made, and those
/// that drain as ready. Such an entry counts only once its target has written it again.
#[derive(Debug, Clone, Default)]
pub(crate) struct DepartedTargets {
    /// Targets that left since the last restore, oldest first.
    departures: VecDeque<TargetRun>,
    /// Targets that left or drained before the last restore, by id.
    unconfirmed: BTreeMap<String, UnconfirmedTarget>,
}

impl DepartedTargets {
    /// Records that a target left.
    pub(crate) fn record_departure(&mut self, record: &TargetRecord) {
        self.forget(&record.id);
        self.push_departure(TargetRun {
            id: record.id.clone(),
            started_unix_ms: record.started_unix_ms,
        });
    }

    fn push_departure(&mut self, departed: TargetRun) {
        if self.departures.len() == MAX_DEPARTURES {
            self.departures.pop_front();
        }
        self.departures.push_back(departed);
    }

    /// Forgets a target, because it is known to be there again.
    pub(crate) fn forget(&mut self, id: &str) {
        self.departures.retain(|departed| departed.id != id);
        self.unconfirmed.remove(id);
    }

    /// Records that the store was restored from a copy while some targets drained.
    pub(crate) fn observe_restore<'r, I>(&mut self, draining: I)
    where
        I: IntoIterator<Item = &'r TargetRecord>,
    {
        let draining = draining.into_iter().map(|record| TargetRun {
            id: record.id.clone(),
            started_unix_ms: record.started_unix_ms,
        });
        for run in self.departures.drain(..).chain(draining) {
            let target = UnconfirmedTarget {
                started_unix_ms: run.started_unix_ms,
                listed_sequence: None,
            };
            self.unconfirmed.insert(run.id, target);
        }
        for target in self.unconfirmed.values_mut() {
            target.listed_sequence = None;
        }
    }

    /// Returns whether an entry in a listing of the store shows that its target is there, and is not
    /// only part of the copy from which the store was restored.
    pub(crate) fn admits(&mut self, record: &TargetRecord, write_sequence: Option<u64>) -> bool {
        let Some(target) = self.unconfirmed.get_mut(&record.id) else {
            return true;
        };
        if target.started_unix_ms != record.started_unix_ms {
            return true;
        }
        match target.listed_sequence {
            Some(listed) => write_sequence.is_some_and(|sequence| sequence > listed),
            None => {
                target.listed_sequence = write_sequence;
                false
            }
        }
    }

    /// Records that the store has no entry of a target; if there is one later, the target has written
    /// it.
    pub(crate) fn record_unlisted(&mut self, id: &str) {
        if let Some(target) = self.unconfirmed.remove(id) {
            self.push_departure(TargetRun {
                id: id.to_owned(),
                started_unix_ms: target.started_unix_ms,
            });
        }
    }

    /// Returns the ids of the targets whose entries do not count yet.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = &str> {
        self.unconfirmed.keys().map(String::as_str)
    }
}
