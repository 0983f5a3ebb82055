//! Shared queue of claim outcomes that no owner has recorded yet.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarrail_model::MilliTime;
use briarrail_outcome::{DueReport, ReportId, ReportQueue};
use briarrail_peer::{ClaimReport, ReportReply};
use tokio::sync::Notify;

use crate::system_clock::SystemClock;

const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Queue of reports that is shared between tasks.
#[derive(Debug, Default)]
pub(crate) struct ReportBacklog {
    queue: Mutex<ReportQueue>,
    added: Notify,
}

impl ReportBacklog {
    /// Adds a report.
    pub(crate) fn add(&self, report: ClaimReport, now: MilliTime) {
        self.lock().add(report, now);
        self.added.notify_one();
    }

    /// Waits until a report is due or added, for at most `MAX_SLEEP`.
    pub(crate) async fn wait_until_due(&self, clock: SystemClock) {
        let wake = self.lock().next_wake();
        let sleep = wake.map_or(MAX_SLEEP, |wake| Duration::from(wake.since(clock.now())));
        tokio::select! {
            () = tokio::time::sleep(sleep.min(MAX_SLEEP)) => {}
            () = self.added.notified() => {}
        }
    }

    /// Returns the reports to send now.
    pub(crate) fn take_due(&self, now: MilliTime) -> Vec<DueReport> {
        self.lock().take_due(now)
    }

    /// Handles the reply to a report; `None` if there was none.
    pub(crate) fn handle_reply(&self, id: ReportId, reply: Option<ReportReply>, now: MilliTime) {
        self.lock().handle_reply(id, reply, now);
    }

    /// Returns the number of reports that no owner has recorded yet.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, ReportQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
