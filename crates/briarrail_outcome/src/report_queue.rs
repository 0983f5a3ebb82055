//! Queue of reports that an entry router delivers to bucket owners.

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::{ClaimReport, ReportReply};

use crate::OWNER_CANDIDATES;

const MAX_REPORTS: usize = 4_096;
const INITIAL_BACKOFF: MilliDuration = MilliDuration::from_millis(500);
const MAX_BACKOFF: MilliDuration = MilliDuration::from_secs(10);
const MAX_REPORT_AGE: MilliDuration = MilliDuration::from_secs(600);

/// Identifies a report in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReportId(u64);

/// A report that is due to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueReport {
    /// Id to pass to [`ReportQueue::handle_reply`].
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
    /// `None` while the report is in flight.
    due_at: Option<MilliTime>,
    backoff: MilliDuration,
    send_count: usize,
}

/// Queue of reports that an entry router delivers to bucket owners.
///
/// Each report is resent until an owner has recorded it. A report that is lost when its router
/// fails leaves the claim without an outcome: a retry of the caller gets the outcome *unknown*, and
/// the request doesn't run twice.
#[derive(Debug, Clone, Default)]
pub struct ReportQueue {
    reports: BTreeMap<ReportId, QueuedReport>,
    next_id: u64,
    dropped: u64,
}

impl ReportQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a report that is due at once; if the queue is full, drops the oldest one.
    pub fn add(&mut self, report: ClaimReport, now: MilliTime) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_first();
            self.dropped += 1;
        }
        let queued = QueuedReport {
            report,
            added_at: now,
            due_at: Some(now),
            backoff: INITIAL_BACKOFF,
            send_count: 0,
        };
        self.reports.insert(ReportId(self.next_id), queued);
        self.next_id += 1;
    }

    /// Returns the reports to send now.
    ///
    /// Each stays in flight until [`handle_reply`](Self::handle_reply) is called for it.
    pub fn take_due(&mut self, now: MilliTime) -> Vec<DueReport> {
        let due = self
            .reports
            .iter_mut()
            .filter(|(_, queued)| queued.due_at.is_some_and(|due| due <= now));
        let sent = due.map(|(&id, queued)| {
            queued.due_at = None;
            let candidate = queued.send_count % OWNER_CANDIDATES;
            queued.send_count += 1;
            DueReport {
                id,
                candidate,
                report: queued.report.clone(),
            }
        });
        sent.collect()
    }

    /// Handles the reply to a report; `None` if it was not delivered or no reply arrived.
    pub fn handle_reply(&mut self, id: ReportId, reply: Option<ReportReply>, now: MilliTime) {
        let Some(queued) = self.reports.get_mut(&id) else {
            return;
        };
        let is_too_old = now.since(queued.added_at) >= MAX_REPORT_AGE;
        if reply == Some(ReportReply::Recorded) || is_too_old {
            self.dropped += u64::from(reply != Some(ReportReply::Recorded));
            self.reports.remove(&id);
            return;
        }
        queued.due_at = Some(now + queued.backoff);
        queued.backoff = (queued.backoff + queued.backoff).min(MAX_BACKOFF);
    }

    /// Returns when the next report is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<MilliTime> {
        self.reports
            .values()
            .filter_map(|queued| queued.due_at)
            .min()
    }

    /// Returns the number of reports not yet recorded; a router waits for 0 when it shuts down.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether the queue is empty.
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
