//! Reports to which a reply is due.

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimOutcome, ClaimReport, ReportReply};

use crate::claim_book::ClaimBook;
use crate::claim_draft::ClaimDraft;
use crate::claim_key::key_time;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::{ClaimAction, ClaimMessageId, ClaimSettings};

#[derive(Debug, Clone)]
struct PendingReport {
    message_id: ClaimMessageId,
    report: ClaimReport,
    received_at: MilliTime,
    /// Number of the last head call that began before the report came.
    after_call: u64,
    /// Whether the head has to be read anew: what is in memory may be out of date.
    needs_confirmation: bool,
}

/// Reports to which a reply is due, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingReports {
    reports: Vec<PendingReport>,
}

impl PendingReports {
    pub(crate) const fn len(&self) -> usize {
        self.reports.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    pub(crate) fn push(
        &mut self,
        message_id: ClaimMessageId,
        report: ClaimReport,
        after_call: u64,
        now: MilliTime,
    ) {
        self.reports.push(PendingReport {
            message_id,
            report,
            received_at: now,
            after_call,
            needs_confirmation: false,
        });
    }

    pub(crate) fn need_confirmation(&self) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|pending| pending.needs_confirmation)
    }

    /// Notes that the head was read anew.
    pub(crate) fn confirm(&mut self) {
        for pending in &mut self.reports {
            pending.needs_confirmation = false;
        }
    }

    /// Returns when the oldest report came.
    pub(crate) fn oldest(&self) -> Option<MilliTime> {
        self.reports.first().map(|pending| pending.received_at)
    }

    /// Adds the reports to a draft, and acknowledges those that change nothing.
    ///
    /// The book is of the head call with the number `confirmed`; that a report changes nothing
    /// shows only in a book that is newer than the report. Returns whether an empty draft need
    /// not be written.
    pub(crate) fn draft(
        &mut self,
        draft: &mut ClaimDraft,
        book: &ClaimBook,
        settings: &ClaimSettings,
        confirmed: u64,
        has_lost_write: bool,
        actions: &mut Vec<ClaimAction>,
    ) -> bool {
        let mut is_complete = true;
        self.reports.retain_mut(|pending| {
            pending.needs_confirmation = false;
            match pending.effect(draft, book, settings) {
                ReportEffect::Change(record, state) => draft.set_state(&record, state),
                ReportEffect::Drafted => {}
                ReportEffect::Load => return true,
                // A lost write may still bring the claim; one more commit rules that out.
                ReportEffect::Missing if has_lost_write => {
                    is_complete = false;
                    return true;
                }
                ReportEffect::Missing | ReportEffect::Settled => {
                    pending.needs_confirmation = pending.after_call >= confirmed;
                    return pending.needs_confirmation || pending.acknowledge(actions);
                }
            }
            draft.reports.push(pending.message_id);
            true
        });
        is_complete
    }

    /// Acknowledges the reports that a commit has recorded.
    pub(crate) fn acknowledge(&mut self, draft: &ClaimDraft, actions: &mut Vec<ClaimAction>) {
        self.reports.retain(|pending| {
            let is_recorded = draft.reports.contains(&pending.message_id);
            !is_recorded || pending.acknowledge(actions)
        });
    }
}

/// What a report does to the records.
enum ReportEffect {
    /// It changes the state of a record.
    Change(Box<ClaimRecord>, ClaimState),
    /// The draft holds the same outcome already; the report is recorded with it, not before.
    Drafted,
    /// The claim has this or another final outcome.
    Settled,
    /// There is no such claim.
    Missing,
    /// Older segments have to be loaded first.
    Load,
}

impl PendingReport {
    fn effect(
        &self,
        draft: &ClaimDraft,
        book: &ClaimBook,
        settings: &ClaimSettings,
    ) -> ReportEffect {
        let report = &self.report;
        let Some(record) = draft.record(book, &report.key) else {
            let is_known = book.is_decidable(key_time(&report.key), settings);
            return if is_known {
                ReportEffect::Missing
            } else {
                ReportEffect::Load
            };
        };
        match reported_state(report, record, settings) {
            Some(state) => ReportEffect::Change(Box::new(record.clone()), state),
            None if draft.records.contains_key(&record.key) => ReportEffect::Drafted,
            None => ReportEffect::Settled,
        }
    }

    /// Acknowledges the report and returns that it does not stay.
    fn acknowledge(&self, actions: &mut Vec<ClaimAction>) -> bool {
        let message_id = self.message_id;
        let reply = ReportReply::Recorded;
        actions.push(ClaimAction::Acknowledge { message_id, reply });
        false
    }
}

/// Returns the state that a report leads to; `None` when it changes nothing.
fn reported_state(
    report: &ClaimReport,
    record: &ClaimRecord,
    settings: &ClaimSettings,
) -> Option<ClaimState> {
    let is_undecided = matches!(record.state, ClaimState::Open | ClaimState::InDoubt);
    if record.attempt_id != report.attempt_id || !is_undecided {
        return None;
    }
    match &report.outcome {
        ClaimOutcome::Answered(answer) => {
            let mut answer = answer.clone();
            let limit = settings.answer_limit_bytes;
            answer.body = answer.body.filter(|body| body.len() <= limit);
            Some(ClaimState::Answered(answer))
        }
        ClaimOutcome::NotRun if record.state == ClaimState::Open => Some(ClaimState::Released),
        ClaimOutcome::Unknown if record.state == ClaimState::Open => Some(ClaimState::InDoubt),
        ClaimOutcome::NotRun | ClaimOutcome::Unknown => None,
    }
}
