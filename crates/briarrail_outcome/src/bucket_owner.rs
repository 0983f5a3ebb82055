//! State machine that owns one bucket of claims.

mod store_replies;

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimReport, ClaimRequest, ReportReply};

use crate::bucket_cache::{BucketCache, SegmentPlan};
use crate::claim_decision::unavailable_reply;
use crate::claim_head::{ClaimHead, SegmentName};
use crate::claim_key::key_time;
use crate::commit_batch::CommitBatch;
use crate::pending_claims::PendingClaims;
use crate::pending_reports::PendingReports;
use crate::{ClaimAction, ClaimBucket, ClaimMessageId, ClaimSettings, StoreCall};

/// Consecutive failed store calls after which claims are refused without waiting.
const OUTAGE_THRESHOLD: u32 = 3;
/// Largest number of messages that may wait for a reply in one bucket.
const MAX_PENDING_MESSAGES: usize = 4_096;

/// The store call in flight, with what is needed to apply its result.
#[derive(Debug, Clone)]
enum InFlightCall {
    ReadHead,
    LoadSegment(SegmentName),
    DeleteSegment(SegmentName),
    WriteSegment(SegmentPlan),
    WriteHead(Box<HeadWrite>),
}

/// The contents of a head write in flight.
#[derive(Debug, Clone)]
struct HeadWrite {
    head: ClaimHead,
    batch: CommitBatch,
    sealed_segment: Option<SegmentPlan>,
}

/// Owns one bucket: makes one store call at a time and commits claims and outcomes in batches.
///
/// Correctness doesn't depend on being the only owner. A commit is a conditional write that
/// succeeds only on the version that was read, and a claim is granted only after the commit that
/// contains it has succeeded.
#[derive(Debug, Clone)]
pub(crate) struct BucketOwner {
    bucket: ClaimBucket,
    writer_id: u64,
    next_segment_serial: u64,
    cache: Option<BucketCache>,
    /// Whether the head may have changed since it was read.
    is_stale: bool,
    /// Number of head reads and head writes started so far.
    head_calls_started: u64,
    /// Number of the head call that the cache reflects.
    cached_head_call: u64,
    claims: PendingClaims,
    reports: PendingReports,
    in_flight: Option<InFlightCall>,
    /// A written segment that the next commit adds to the head.
    sealed_segment: Option<SegmentPlan>,
    last_head_write: Option<MilliTime>,
    backoff_until: MilliTime,
    consecutive_failures: u32,
    /// Whether a head write whose reply was lost may still take effect.
    has_unresolved_write: bool,
}

impl BucketOwner {
    pub(crate) fn new(bucket: ClaimBucket, writer_id: u64) -> Self {
        Self {
            bucket,
            writer_id,
            next_segment_serial: 0,
            cache: None,
            is_stale: true,
            head_calls_started: 0,
            cached_head_call: 0,
            claims: PendingClaims::default(),
            reports: PendingReports::default(),
            in_flight: None,
            sealed_segment: None,
            last_head_write: None,
            backoff_until: MilliTime::default(),
            consecutive_failures: 0,
            has_unresolved_write: false,
        }
    }

    /// Returns whether no message is pending and no store call is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.reports.is_empty() && self.in_flight.is_none()
    }

    /// Returns the number of pending messages.
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
        let is_outage = self.consecutive_failures >= OUTAGE_THRESHOLD && now < self.backoff_until;
        if is_outage || self.pending() >= MAX_PENDING_MESSAGES {
            let reply = unavailable_reply(settings);
            actions.push(ClaimAction::Reply { message_id, reply });
            return;
        }
        self.claims
            .push(message_id, request, self.head_calls_started, now);
        let last = self.claims.len() - 1;
        self.decide_claims_from(last, settings, now, actions);
    }

    pub(crate) fn add_report(
        &mut self,
        message_id: ClaimMessageId,
        report: ClaimReport,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self.pending() >= MAX_PENDING_MESSAGES {
            let reply = ReportReply::Unavailable;
            actions.push(ClaimAction::Acknowledge { message_id, reply });
            return;
        }
        self.reports
            .push(message_id, report, self.head_calls_started, now);
    }

    /// Replies to the claims whose reply is due now.
    pub(crate) fn time_out(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.claims.time_out(settings, now, actions);
    }

    fn decide_claims_from(
        &mut self,
        first: usize,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(cache) = self.cache.as_ref().filter(|_| !self.is_stale) {
            self.claims.decide_claims_from(
                first,
                cache,
                settings,
                self.cached_head_call,
                now,
                actions,
            );
        }
    }

    /// Returns the next store call to make, if one is due and none is in flight.
    pub(crate) fn next_call(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) -> Option<StoreCall> {
        if self.in_flight.is_some() || now < self.backoff_until {
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
        self.begin_maintenance()
    }

    /// Returns when [`time_out`](Self::time_out) or [`next_call`](Self::next_call) next has work.
    pub(crate) fn next_wake(&self, settings: &ClaimSettings) -> Option<MilliTime> {
        let timeout = self.claims.next_timeout();
        if self.in_flight.is_some() {
            return timeout;
        }
        let work = if self.needs_read() {
            (self.pending() > 0).then_some(self.backoff_until)
        } else {
            let maintenance = self.has_maintenance().then_some(self.backoff_until);
            let commit = self.commit_due(settings);
            commit
                .map(|due| due.max(self.backoff_until))
                .into_iter()
                .chain(maintenance)
                .min()
        };
        timeout.into_iter().chain(work).min()
    }

    fn needs_read(&self) -> bool {
        let needs_fresh_head =
            self.claims.any_needs_fresh_head() || self.reports.any_needs_fresh_head();
        self.cache.is_none() || self.is_stale || needs_fresh_head
    }

    fn read_head(&mut self) -> Option<StoreCall> {
        if self.pending() == 0 {
            return None;
        }
        self.head_calls_started += 1;
        self.in_flight = Some(InFlightCall::ReadHead);
        let key = self.bucket.head_key();
        Some(StoreCall::Get { key })
    }

    /// Returns when the next commit is due, if any message waits for one.
    fn commit_due(&self, settings: &ClaimSettings) -> Option<MilliTime> {
        let earliest = self.last_head_write.map_or(MilliTime::default(), |last| {
            last + settings.commit_interval_ms
        });
        if self.claims.any_needs_commit() {
            return Some(earliest);
        }
        let oldest = self.reports.oldest()?;
        if self.claims.any_needs_outcome() {
            return Some(earliest);
        }
        Some(earliest.max(oldest + settings.report_delay_ms))
    }

    fn has_maintenance(&self) -> bool {
        let cache = self.cache.as_ref();
        cache.is_some_and(|cache| cache.next_unloaded().or(cache.next_expired()).is_some())
    }

    /// Starts to load a segment or, once all are loaded, to delete an expired one.
    fn begin_maintenance(&mut self) -> Option<StoreCall> {
        let cache = self.cache.as_ref()?;
        if let Some(name) = cache.next_unloaded() {
            self.in_flight = Some(InFlightCall::LoadSegment(name));
            let key = name.object_key(self.bucket);
            return Some(StoreCall::Get { key });
        }
        let name = cache.next_expired()?;
        self.in_flight = Some(InFlightCall::DeleteSegment(name));
        let key = name.object_key(self.bucket);
        Some(StoreCall::Delete { key })
    }

    fn begin_commit(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) -> Option<StoreCall> {
        let cache = self.cache.as_ref()?;
        if self.sealed_segment.is_none() {
            let name = SegmentName {
                sequence: cache.head().sequence,
                writer: self.writer_id,
                serial: self.next_segment_serial,
            };
            if let Some(plan) = cache.plan_segment(now, settings, key_time, name) {
                return Some(self.write_segment(plan));
            }
        }
        let mut batch = CommitBatch::new(cache, now, settings);
        let may_skip_empty_commit = self.reports.add_to_batch(
            &mut batch,
            cache,
            settings,
            self.cached_head_call,
            self.has_unresolved_write,
            actions,
        );
        self.claims
            .add_to_batch(&mut batch, cache, settings, now, actions);
        if batch.records.is_empty() && may_skip_empty_commit {
            return None;
        }
        Some(self.write_head(batch, now))
    }

    fn write_segment(&mut self, plan: SegmentPlan) -> StoreCall {
        // Each attempt uses a new name, since a failed write may still take effect under its own.
        self.next_segment_serial += 1;
        let key = plan.entry.name.object_key(self.bucket);
        let value = plan.value.clone();
        self.in_flight = Some(InFlightCall::WriteSegment(plan));
        StoreCall::Put {
            key,
            value,
            expected: None,
        }
    }

    fn write_head(&mut self, batch: CommitBatch, now: MilliTime) -> StoreCall {
        let sealed_segment = self.sealed_segment.take();
        let cache = self
            .cache
            .get_or_insert_with(|| BucketCache::new(None, ClaimHead::default()));
        let head = cache.next_head(&batch, sealed_segment.as_ref());
        let call = StoreCall::Put {
            key: self.bucket.head_key(),
            value: head.encode(),
            expected: cache.version(),
        };
        let write = HeadWrite {
            head,
            batch,
            sealed_segment,
        };
        self.last_head_write = Some(now);
        self.head_calls_started += 1;
        self.in_flight = Some(InFlightCall::WriteHead(Box::new(write)));
        call
    }
}
