//! Reports that an entry router has yet to deliver.

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::{ClaimReport, ReportReply};

use crate::OWNER_CANDIDATES;

const MAX_REPORTS: usize = 4_096;
const FIRST_PAUSE: MilliDuration = MilliDuration::from_millis(500);
const LONGEST_PAUSE: MilliDuration = MilliDuration::from_secs(10);
const REPORT_LIFETIME: MilliDuration = MilliDuration::from_secs(600);

/// Identifies a report in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReportId(u64);

/// A report to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueReport {
    /// Identifies the report when its reply comes.
    pub id: ReportId,
    /// Rank of the candidate to send it to, from 0.
    pub candidate: usize,
    /// The report.
    pub report: ClaimReport,
}

#[derive(Debug, Clone)]
struct QueuedReport {
    report: ClaimReport,
    added_at: MilliTime,
    /// None while it is on its way.
    due_at: Option<MilliTime>,
    pause: MilliDuration,
    tries: usize,
}

/// Reports that an entry router has yet to deliver.
///
/// Each is sent until an owner has recorded it. One that is lost with its router leaves the claim
/// without an outcome: a retry of the caller is told *unknown*, and nothing runs twice.
#[derive(Debug, Clone, Default)]
pub struct ReportQueue {
    reports: BTreeMap<ReportId, QueuedReport>,
    next_id: u64,
    dropped: u64,
}

impl ReportQueue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a report that is due at once; a full queue drops its oldest.
    pub fn add(&mut self, report: ClaimReport, now: MilliTime) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_first();
            self.dropped += 1;
        }
        let queued = QueuedReport {
            report,
            added_at: now,
            due_at: Some(now),
            pause: FIRST_PAUSE,
            tries: 0,
        };
        self.reports.insert(ReportId(self.next_id), queued);
        self.next_id += 1;
    }

    /// Returns the reports to send now; each waits for [`handle_reply`](Self::handle_reply).
    pub fn take_due(&mut self, now: MilliTime) -> Vec<DueReport> {
        let due = self
            .reports
            .iter_mut()
            .filter(|(_, queued)| queued.due_at.is_some_and(|due| due <= now));
        let sent = due.map(|(&id, queued)| {
            queued.due_at = None;
            let candidate = queued.tries % OWNER_CANDIDATES;
            queued.tries += 1;
            DueReport {
                id,
                candidate,
                report: queued.report.clone(),
            }
        });
        sent.collect()
    }

    /// Takes the reply to a report; `None` when it could not be delivered or no reply came.
    pub fn handle_reply(&mut self, id: ReportId, reply: Option<ReportReply>, now: MilliTime) {
        let Some(queued) = self.reports.get_mut(&id) else {
            return;
        };
        let is_over = now.since(queued.added_at) >= REPORT_LIFETIME;
        if reply == Some(ReportReply::Recorded) || is_over {
            self.dropped += u64::from(reply != Some(ReportReply::Recorded));
            self.reports.remove(&id);
            return;
        }
        queued.due_at = Some(now + queued.pause);
        queued.pause = (queued.pause + queued.pause).min(LONGEST_PAUSE);
    }

    /// Returns when a report is next due.
    #[must_use]
    pub fn next_wake(&self) -> Option<MilliTime> {
        self.reports
            .values()
            .filter_map(|queued| queued.due_at)
            .min()
    }

    /// Returns the number of reports that are not recorded; a stopping router waits for none.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether all reports are recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the number of reports that were dropped without being recorded.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}
