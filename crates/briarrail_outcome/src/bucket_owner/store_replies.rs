//! How the owner of a bucket handles the results of its store calls.

use briarrail_model::{MilliDuration, MilliTime};

use super::{BucketOwner, HeadWrite, InFlightCall, OUTAGE_THRESHOLD};
use crate::bucket_cache::BucketCache;
use crate::claim_head::{ClaimHead, SegmentName, decode_records};
use crate::{ClaimAction, ClaimSettings, StoreReply};

/// Backoff after a refused call during the first failures, which may come from a rate limit.
const REFUSAL_BACKOFF: MilliDuration = MilliDuration::from_millis(100);
/// Backoff after a head read or a segment write whose reply was lost.
const LOST_REPLY_BACKOFF: MilliDuration = MilliDuration::from_millis(20);

impl BucketOwner {
    /// Handles the result of the store call in flight.
    pub(crate) fn handle_reply(
        &mut self,
        reply: StoreReply,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(call) = self.in_flight.take() else {
            return;
        };
        if reply == StoreReply::Unavailable {
            if let InFlightCall::WriteHead(write) = call {
                self.sealed_segment = write.sealed_segment;
            }
            self.handle_refusal(settings, now, actions);
            return;
        }
        match call {
            InFlightCall::ReadHead => self.handle_head(reply, settings, now, actions),
            InFlightCall::LoadSegment(name) => self.handle_segment(name, reply, settings, now),
            InFlightCall::DeleteSegment(name) => self.handle_deletion(name, &reply, settings, now),
            InFlightCall::WriteSegment(plan) => match reply {
                StoreReply::Written { .. } => self.sealed_segment = Some(plan),
                StoreReply::Unknown => self.back_off_briefly(now),
                _ => self.back_off(settings, now),
            },
            InFlightCall::WriteHead(write) => self.handle_commit(*write, &reply, actions),
        }
        self.decide_claims_from(0, settings, now, actions);
    }

    fn handle_head(
        &mut self,
        reply: StoreReply,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let (version, head) = match reply {
            StoreReply::Found { version, value } => (Some(version), ClaimHead::decode(&value)),
            StoreReply::Missing => (None, Some(ClaimHead::default())),
            StoreReply::Unknown => {
                self.back_off_briefly(now);
                return;
            }
            _ => {
                self.back_off(settings, now);
                return;
            }
        };
        // A head that can't be decoded is never overwritten.
        let Some(head) = head else {
            self.handle_refusal(settings, now, actions);
            return;
        };
        self.consecutive_failures = 0;
        self.is_stale = false;
        self.reports.mark_head_read();
        self.cached_head_call = self.head_calls_started;
        self.sealed_segment = None;
        match &mut self.cache {
            Some(cache) => cache.replace_head(version, head),
            None => self.cache = Some(BucketCache::new(version, head)),
        }
    }

    fn handle_segment(
        &mut self,
        name: SegmentName,
        reply: StoreReply,
        settings: &ClaimSettings,
        now: MilliTime,
    ) {
        let records = match reply {
            StoreReply::Found { value, .. } => decode_records(&value),
            _ => None,
        };
        match (&mut self.cache, records) {
            (Some(cache), Some(records)) if cache.needs_segment(name) => {
                self.consecutive_failures = 0;
                cache.load(name, records);
            }
            // Another owner may have deleted the segment after it expired; re-read the head.
            _ => {
                self.is_stale = true;
                self.back_off(settings, now);
            }
        }
    }

    fn handle_deletion(
        &mut self,
        name: SegmentName,
        reply: &StoreReply,
        settings: &ClaimSettings,
        now: MilliTime,
    ) {
        match (&mut self.cache, reply) {
            (Some(cache), StoreReply::Deleted | StoreReply::Missing) => cache.mark_deleted(name),
            _ => self.back_off(settings, now),
        }
    }

    fn handle_commit(
        &mut self,
        write: HeadWrite,
        reply: &StoreReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        let StoreReply::Written { version } = *reply else {
            // Re-reading the head shows whether a write with a lost reply took effect. If it did,
            // its claims are granted to their attempts then.
            self.is_stale = true;
            self.has_unresolved_write |= *reply == StoreReply::Unknown;
            return;
        };
        self.consecutive_failures = 0;
        self.has_unresolved_write = false;
        let HeadWrite {
            head,
            batch,
            sealed_segment,
        } = write;
        self.cached_head_call = self.head_calls_started;
        if let Some(cache) = &mut self.cache {
            cache.apply_commit(version, head, sealed_segment);
        }
        self.reports.acknowledge(&batch, actions);
    }

    /// Handles a call that the store did not carry out, or a head that can't be decoded.
    ///
    /// In an outage, claims that don't wait for another attempt are refused, unless a head write
    /// may still take effect.
    fn handle_refusal(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.consecutive_failures += 1;
        self.back_off(settings, now);
        if self.consecutive_failures < OUTAGE_THRESHOLD || self.has_unresolved_write {
            return;
        }
        self.claims.refuse(settings, actions);
    }

    /// Backs off briefly after a lost reply, since the call timeout has already passed.
    fn back_off_briefly(&mut self, now: MilliTime) {
        self.backoff_until = now + LOST_REPLY_BACKOFF;
    }

    fn back_off(&mut self, settings: &ClaimSettings, now: MilliTime) {
        let is_outage = self.consecutive_failures >= OUTAGE_THRESHOLD;
        let backoff = if is_outage {
            settings.store_pause_ms
        } else {
            REFUSAL_BACKOFF
        };
        self.backoff_until = now + backoff;
    }
}
