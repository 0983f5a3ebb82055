//! The owner of one bucket.

mod store_replies;

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimReport, ClaimRequest, ReportReply};

use crate::claim_book::{ClaimBook, SegmentPlan};
use crate::claim_draft::ClaimDraft;
use crate::claim_head::{ClaimHead, SegmentName};
use crate::claim_key::key_time;
use crate::claim_verdict::unavailable;
use crate::pending_claims::PendingClaims;
use crate::pending_reports::PendingReports;
use crate::{ClaimAction, ClaimBucket, ClaimMessageId, ClaimSettings, StoreCall};

/// Refused store calls in a row after which claims are refused without waiting.
const OUTAGE_FAILURES: u32 = 3;
/// Messages that may wait in one bucket.
const MAX_PENDING: usize = 4_096;

/// The call in flight.
#[derive(Debug, Clone)]
enum OwnerCall {
    ReadHead,
    LoadSegment(SegmentName),
    DeleteSegment(SegmentName),
    WriteSegment(SegmentPlan),
    WriteHead(Box<HeadWrite>),
}

/// A head being written.
#[derive(Debug, Clone)]
struct HeadWrite {
    head: ClaimHead,
    draft: ClaimDraft,
    sealed: Option<SegmentPlan>,
}

/// The owner of one bucket: one store call at a time, one commit for many claims and outcomes.
///
/// Nothing that it does depends on being the only owner. A commit takes effect only on the
/// version that was read, and a claim is granted only after the commit that holds it.
#[derive(Debug, Clone)]
pub(crate) struct BucketOwner {
    bucket: ClaimBucket,
    writer: u64,
    segments_written: u64,
    book: Option<ClaimBook>,
    /// Whether the head may have changed since it was read.
    is_stale: bool,
    /// Number of reads and writes of the head that were begun.
    head_calls: u64,
    /// Number of the call that the book is of.
    confirmed: u64,
    claims: PendingClaims,
    reports: PendingReports,
    call: Option<OwnerCall>,
    sealed: Option<SegmentPlan>,
    last_write: Option<MilliTime>,
    paused_until: MilliTime,
    failures: u32,
    /// Whether a write may still take effect after its reply was lost.
    has_lost_write: bool,
}

impl BucketOwner {
    pub(crate) fn new(bucket: ClaimBucket, writer: u64) -> Self {
        Self {
            bucket,
            writer,
            segments_written: 0,
            book: None,
            is_stale: true,
            head_calls: 0,
            confirmed: 0,
            claims: PendingClaims::default(),
            reports: PendingReports::default(),
            call: None,
            sealed: None,
            last_write: None,
            paused_until: MilliTime::default(),
            failures: 0,
            has_lost_write: false,
        }
    }

    /// Returns whether nothing waits and nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.reports.is_empty() && self.call.is_none()
    }

    /// Returns the number of messages that wait.
    pub(crate) fn pending(&self) -> usize {
        self.claims.len() + self.reports.len()
    }

    pub(crate) fn add_claim(
        &mut self,
        message_id: ClaimMessageId,
        request: ClaimRequest,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let is_outage = self.failures >= OUTAGE_FAILURES && now < self.paused_until;
        if is_outage || self.pending() >= MAX_PENDING {
            let reply = unavailable(settings);
            actions.push(ClaimAction::Reply { message_id, reply });
            return;
        }
        self.claims.push(message_id, request, self.head_calls, now);
        let last = self.claims.len() - 1;
        self.settle_from(last, settings, now, actions);
    }

    pub(crate) fn add_report(
        &mut self,
        message_id: ClaimMessageId,
        report: ClaimReport,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self.pending() >= MAX_PENDING {
            let reply = ReportReply::Unavailable;
            actions.push(ClaimAction::Acknowledge { message_id, reply });
            return;
        }
        self.reports.push(message_id, report, self.head_calls, now);
    }

    /// Answers the claims whose time is up.
    pub(crate) fn expire(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.claims.expire(settings, now, actions);
    }

    fn settle_from(
        &mut self,
        first: usize,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(book) = self.book.as_ref().filter(|_| !self.is_stale) {
            self.claims
                .settle_from(first, book, settings, self.confirmed, now, actions);
        }
    }

    /// Returns the next call to make, if none is in flight and one is due.
    pub(crate) fn next_call(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) -> Option<StoreCall> {
        if self.call.is_some() || now < self.paused_until {
            return None;
        }
        if self.needs_read() {
            return self.read_head();
        }
        if self.commit_due(settings).is_some_and(|due| due <= now)
            && let Some(call) = self.begin_commit(settings, now, actions)
        {
            return Some(call);
        }
        self.begin_upkeep()
    }

    /// Returns when this bucket next wants to be driven.
    pub(crate) fn next_wake(&self, settings: &ClaimSettings) -> Option<MilliTime> {
        let expiry = self.claims.next_expiry();
        if self.call.is_some() {
            return expiry;
        }
        let work = if self.needs_read() {
            (self.pending() > 0).then_some(self.paused_until)
        } else {
            let upkeep = self.has_upkeep().then_some(self.paused_until);
            let commit = self.commit_due(settings);
            commit
                .map(|due| due.max(self.paused_until))
                .into_iter()
                .chain(upkeep)
                .min()
        };
        expiry.into_iter().chain(work).min()
    }

    fn needs_read(&self) -> bool {
        let needs_confirmation =
            self.claims.need_confirmation() || self.reports.need_confirmation();
        self.book.is_none() || self.is_stale || needs_confirmation
    }

    fn read_head(&mut self) -> Option<StoreCall> {
        if self.pending() == 0 {
            return None;
        }
        self.head_calls += 1;
        self.call = Some(OwnerCall::ReadHead);
        let key = self.bucket.head_key();
        Some(StoreCall::Get { key })
    }

    /// Returns when the next commit is due, if anything waits for one.
    fn commit_due(&self, settings: &ClaimSettings) -> Option<MilliTime> {
        let earliest = self.last_write.map_or(MilliTime::default(), |last| {
            last + settings.commit_interval_ms
        });
        if self.claims.need_commit() {
            return Some(earliest);
        }
        let oldest = self.reports.oldest()?;
        if self.claims.need_outcome() {
            return Some(earliest);
        }
        Some(earliest.max(oldest + settings.report_delay_ms))
    }

    fn has_upkeep(&self) -> bool {
        let book = self.book.as_ref();
        book.is_some_and(|book| book.next_unloaded().or(book.next_expired()).is_some())
    }

    /// Loads a segment, or deletes one that has expired.
    fn begin_upkeep(&mut self) -> Option<StoreCall> {
        let book = self.book.as_ref()?;
        if let Some(name) = book.next_unloaded() {
            self.call = Some(OwnerCall::LoadSegment(name));
            let key = name.object_key(self.bucket);
            return Some(StoreCall::Get { key });
        }
        let name = book.next_expired()?;
        self.call = Some(OwnerCall::DeleteSegment(name));
        let key = name.object_key(self.bucket);
        Some(StoreCall::Delete { key })
    }

    fn begin_commit(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) -> Option<StoreCall> {
        let book = self.book.as_ref()?;
        if self.sealed.is_none() {
            let name = SegmentName {
                sequence: book.head().sequence,
                writer: self.writer,
                serial: self.segments_written,
            };
            if let Some(plan) = book.plan_segment(now, settings, key_time, name) {
                return Some(self.write_segment(plan));
            }
        }
        let mut draft = ClaimDraft::new(book, now, settings);
        let is_complete = self.reports.draft(
            &mut draft,
            book,
            settings,
            self.confirmed,
            self.has_lost_write,
            actions,
        );
        self.claims.draft(&mut draft, book, settings, now, actions);
        if draft.records.is_empty() && is_complete {
            return None;
        }
        Some(self.write_head(draft, now))
    }

    fn write_segment(&mut self, plan: SegmentPlan) -> StoreCall {
        // Each try takes a new name: one that failed may still take effect under the old one.
        self.segments_written += 1;
        let key = plan.entry.name.object_key(self.bucket);
        let value = plan.value.clone();
        self.call = Some(OwnerCall::WriteSegment(plan));
        StoreCall::Put {
            key,
            value,
            expected: None,
        }
    }

    fn write_head(&mut self, draft: ClaimDraft, now: MilliTime) -> StoreCall {
        let sealed = self.sealed.take();
        let book = self
            .book
            .get_or_insert_with(|| ClaimBook::new(None, ClaimHead::default()));
        let head = book.next_head(&draft, sealed.as_ref());
        let call = StoreCall::Put {
            key: self.bucket.head_key(),
            value: head.encode(),
            expected: book.version(),
        };
        let write = HeadWrite {
            head,
            draft,
            sealed,
        };
        self.last_write = Some(now);
        self.head_calls += 1;
        self.call = Some(OwnerCall::WriteHead(Box::new(write)));
        call
    }
}
