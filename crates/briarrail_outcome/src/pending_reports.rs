//! Reports whose reply is pending.

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimOutcome, ClaimReport, ReportReply};

use crate::bucket_cache::BucketCache;
use crate::claim_key::key_time;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::commit_batch::CommitBatch;
use crate::{ClaimAction, ClaimMessageId, ClaimSettings};

#[derive(Debug, Clone)]
struct PendingReport {
    message_id: ClaimMessageId,
    report: ClaimReport,
    received_at: MilliTime,
    /// Number of the last head call that was started before the report arrived.
    last_head_call: u64,
    /// Whether the head must be read again, since the cached one may be out of date.
    needs_fresh_head: bool,
}

/// Reports whose reply is pending, oldest first.
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
        last_head_call: u64,
        now: MilliTime,
    ) {
        self.reports.push(PendingReport {
            message_id,
            report,
            received_at: now,
            last_head_call,
            needs_fresh_head: false,
        });
    }

    pub(crate) fn any_needs_fresh_head(&self) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|pending| pending.needs_fresh_head)
    }

    /// Records that the head was read again.
    pub(crate) fn mark_head_read(&mut self) {
        for pending in &mut self.reports {
            pending.needs_fresh_head = false;
        }
    }

    /// Returns when the oldest report arrived.
    pub(crate) fn oldest(&self) -> Option<MilliTime> {
        self.reports.first().map(|pending| pending.received_at)
    }

    /// Adds the reports to a batch, and acknowledges those that change nothing.
    ///
    /// The cache reflects the head call numbered `cached_head_call`. A report is known to change
    /// nothing only if that call was started after the report arrived. Returns whether the commit
    /// may be skipped if the batch has no records.
    pub(crate) fn add_to_batch(
        &mut self,
        batch: &mut CommitBatch,
        cache: &BucketCache,
        settings: &ClaimSettings,
        cached_head_call: u64,
        has_unresolved_write: bool,
        actions: &mut Vec<ClaimAction>,
    ) -> bool {
        let mut may_skip_empty_commit = true;
        self.reports.retain_mut(|pending| {
            pending.needs_fresh_head = false;
            match pending.effect(batch, cache, settings) {
                ReportEffect::Change(record, state) => batch.set_state(&record, state),
                ReportEffect::AlreadyInBatch => {}
                ReportEffect::LoadSegments => return true,
                // An unresolved head write may still store the claim. One more commit prevents
                // that, since it changes the version that the write depends on.
                ReportEffect::Missing if has_unresolved_write => {
                    may_skip_empty_commit = false;
                    return true;
                }
                ReportEffect::Missing | ReportEffect::AlreadyFinal => {
                    pending.needs_fresh_head = pending.last_head_call >= cached_head_call;
                    return pending.needs_fresh_head || pending.acknowledge(actions);
                }
            }
            batch.reports.push(pending.message_id);
            true
        });
        may_skip_empty_commit
    }

    /// Acknowledges the reports of a batch that was committed.
    pub(crate) fn acknowledge(&mut self, batch: &CommitBatch, actions: &mut Vec<ClaimAction>) {
        self.reports.retain(|pending| {
            let is_recorded = batch.reports.contains(&pending.message_id);
            !is_recorded || pending.acknowledge(actions)
        });
    }
}

/// Effect of a report on the records.
enum ReportEffect {
    /// The report changes the state of a record.
    Change(Box<ClaimRecord>, ClaimState),
    /// The batch already changes the record, so the report is acknowledged with the batch.
    AlreadyInBatch,
    /// The stored record already has this or another final outcome.
    AlreadyFinal,
    /// The claim does not exist.
    Missing,
    /// Older segments must be loaded first.
    LoadSegments,
}

impl PendingReport {
    fn effect(
        &self,
        batch: &CommitBatch,
        cache: &BucketCache,
        settings: &ClaimSettings,
    ) -> ReportEffect {
        let report = &self.report;
        let Some(record) = batch.record(cache, &report.key) else {
            let is_absent = cache.has_loaded_segments_for(key_time(&report.key), settings);
            return if is_absent {
                ReportEffect::Missing
            } else {
                ReportEffect::LoadSegments
            };
        };
        match state_after_report(report, record, settings) {
            Some(state) => ReportEffect::Change(Box::new(record.clone()), state),
            None if batch.records.contains_key(&record.key) => ReportEffect::AlreadyInBatch,
            None => ReportEffect::AlreadyFinal,
        }
    }

    /// Acknowledges the report; returns `false`, so that `retain` removes it.
    fn acknowledge(&self, actions: &mut Vec<ClaimAction>) -> bool {
        let message_id = self.message_id;
        let reply = ReportReply::Recorded;
        actions.push(ClaimAction::Acknowledge { message_id, reply });
        false
    }
}

/// Returns the state of a record after a report; `None` if the report changes nothing.
fn state_after_report(
    report: &ClaimReport,
    record: &ClaimRecord,
    settings: &ClaimSettings,
) -> Option<ClaimState> {
    let is_unresolved = matches!(record.state, ClaimState::Open | ClaimState::InDoubt);
    if record.attempt_id != report.attempt_id || !is_unresolved {
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
