//! What the runs of a target at one place said about themselves.

use briarrail_model::MilliTime;

use crate::TargetNotice;
use crate::heard_notices::HeardNotices;

/// Maximum number of runs of a target that are told apart; the entries of a site name the present run
/// and, on an older copy of the store, the ones before.
const MAX_RUNS: usize = 4;

/// What one run said.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RunRecord {
    /// Unix time at which it started, in milliseconds; 0 if unknown.
    started_unix_ms: u64,
    /// The same by the clock of this router, if known.
    started_at: Option<MilliTime>,
    notices: HeardNotices,
}

/// What the runs of a target at one place said about themselves.
///
/// Entries may be rewritten by others, come from an older copy of the store or lack the start time,
/// so only a later start than any known one shows that another run has begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RunNotices {
    /// Oldest first.
    runs: Vec<RunRecord>,
}

impl RunNotices {
    /// Records that the store lists a run, and returns whether it begins with that: none of a later
    /// or the same start is known, but one of an earlier.
    pub(crate) fn list(
        &mut self,
        started_unix_ms: u64,
        started_at: Option<MilliTime>,
        now: MilliTime,
    ) -> bool {
        let Some(latest) = self.runs.last() else {
            self.push(started_unix_ms, started_at, HeardNotices::default());
            return false;
        };
        if started_unix_ms <= latest.started_unix_ms {
            return false;
        }
        let carried = started_at.map(|at| latest.notices.carried_into(at));
        self.runs.retain(|run| run.notices.has_any(now));
        self.push(started_unix_ms, started_at, carried.unwrap_or_default());
        true
    }

    fn push(&mut self, started_unix_ms: u64, started_at: Option<MilliTime>, notices: HeardNotices) {
        if self.runs.len() == MAX_RUNS {
            self.runs.remove(0);
        }
        // Almost all targets have one run, and there are thousands of them.
        self.runs.reserve_exact(1);
        self.runs.push(RunRecord {
            started_unix_ms,
            started_at,
            notices,
        });
    }

    /// Returns the start of the latest known run, as a Unix time in milliseconds; 0 if unknown.
    pub(crate) fn latest_start(&self) -> u64 {
        self.runs.last().map_or(0, |run| run.started_unix_ms)
    }

    /// Records what a run said in the answer to a request that left at `asked_at`, and returns whether
    /// that is news.
    ///
    /// If a later run is known by now, the answer may be its own.
    pub(crate) fn record(
        &mut self,
        started_unix_ms: u64,
        notice: TargetNotice,
        asked_at: MilliTime,
        now: MilliTime,
    ) -> bool {
        let sought = |run: &RunRecord| run.started_unix_ms.cmp(&started_unix_ms);
        let index = self.runs.binary_search_by(sought).unwrap_or_else(|index| {
            let run = RunRecord {
                started_unix_ms,
                started_at: None,
                notices: HeardNotices::default(),
            };
            self.runs.insert(index, run);
            index
        });
        let run = &mut self.runs[index];
        let is_news = run.notices.record(notice, asked_at, now);
        let said = run.notices;
        if let Some(latest) = self.runs.last_mut()
            && latest.started_unix_ms > started_unix_ms
            && let Some(started_at) = latest.started_at
        {
            latest.notices = latest.notices.joined(said.carried_into(started_at));
        }
        if self.runs.len() > MAX_RUNS {
            self.runs.remove(0);
        }
        is_news
    }

    /// Applies a change to what each run said; it is given the start of the run.
    pub(crate) fn update_each<F>(&mut self, mut update: F)
    where
        F: FnMut(u64, &mut HeardNotices),
    {
        for run in &mut self.runs {
            update(run.started_unix_ms, &mut run.notices);
        }
    }

    /// Returns what the latest known run said.
    pub(crate) fn of_latest(&self) -> HeardNotices {
        self.runs.last().map(|run| run.notices).unwrap_or_default()
    }

    /// Returns what holds while the store lists a run: the notices of that run and of all later ones,
    /// since an older entry may be listed for a later run.
    pub(crate) fn in_effect(&self, listed_unix_ms: u64) -> HeardNotices {
        let is_later = |run: &&RunRecord| run.started_unix_ms >= listed_unix_ms;
        let notices = self.runs.iter().filter(is_later).map(|run| run.notices);
        notices.fold(HeardNotices::default(), HeardNotices::joined)
    }

    /// Returns what any of the runs said.
    pub(crate) fn of_any(&self) -> HeardNotices {
        self.in_effect(0)
    }
}
