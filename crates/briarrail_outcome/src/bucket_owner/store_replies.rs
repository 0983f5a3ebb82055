//! What the owner of a bucket does with the results of its store calls.

use briarrail_model::{MilliDuration, MilliTime};

use super::{BucketOwner, HeadWrite, OUTAGE_FAILURES, OwnerCall};
use crate::claim_book::ClaimBook;
use crate::claim_head::{ClaimHead, SegmentName, decode_records};
use crate::{ClaimAction, ClaimSettings, StoreReply};

/// Pause after one of the first refusals, which may be a rate limit.
const REFUSAL_PAUSE: MilliDuration = MilliDuration::from_millis(100);
/// Pause after a lost reply.
const LOST_REPLY_PAUSE: MilliDuration = MilliDuration::from_millis(20);

impl BucketOwner {
    /// Takes the result of the call in flight.
    pub(crate) fn handle_reply(
        &mut self,
        reply: StoreReply,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(call) = self.call.take() else {
            return;
        };
        if reply == StoreReply::Unavailable {
            if let OwnerCall::WriteHead(write) = call {
                self.sealed = write.sealed;
            }
            self.handle_refusal(settings, now, actions);
            return;
        }
        match call {
            OwnerCall::ReadHead => self.handle_head(reply, settings, now, actions),
            OwnerCall::LoadSegment(name) => self.handle_segment(name, reply, settings, now),
            OwnerCall::DeleteSegment(name) => self.handle_deletion(name, &reply, settings, now),
            OwnerCall::WriteSegment(plan) => match reply {
                StoreReply::Written { .. } => self.sealed = Some(plan),
                StoreReply::Unknown => self.pause_briefly(now),
                _ => self.pause(settings, now),
            },
            OwnerCall::WriteHead(write) => self.handle_commit(*write, &reply, actions),
        }
        self.settle_from(0, settings, now, actions);
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
                self.pause_briefly(now);
                return;
            }
            _ => {
                self.pause(settings, now);
                return;
            }
        };
        // A head that can't be read is never overwritten.
        let Some(head) = head else {
            self.handle_refusal(settings, now, actions);
            return;
        };
        self.failures = 0;
        self.is_stale = false;
        self.reports.confirm();
        self.confirmed = self.head_calls;
        self.sealed = None;
        match &mut self.book {
            Some(book) => book.adopt(version, head),
            None => self.book = Some(ClaimBook::new(version, head)),
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
        match (&mut self.book, records) {
            (Some(book), Some(records)) if book.needs_segment(name) => {
                self.failures = 0;
                book.load(name, records);
            }
            // Another owner may have deleted it after it expired; the head tells.
            _ => {
                self.is_stale = true;
                self.pause(settings, now);
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
        match (&mut self.book, reply) {
            (Some(book), StoreReply::Deleted | StoreReply::Missing) => book.mark_deleted(name),
            _ => self.pause(settings, now),
        }
    }

    fn handle_commit(
        &mut self,
        write: HeadWrite,
        reply: &StoreReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        let StoreReply::Written { version } = *reply else {
            // Whether a lost write took effect shows in the head: a claim of this attempt that
            // stands there is granted then.
            self.is_stale = true;
            self.has_lost_write |= *reply == StoreReply::Unknown;
            return;
        };
        self.failures = 0;
        self.has_lost_write = false;
        let HeadWrite {
            head,
            draft,
            sealed,
        } = write;
        self.confirmed = self.head_calls;
        if let Some(book) = &mut self.book {
            book.commit(version, head, sealed);
        }
        self.reports.acknowledge(&draft, actions);
    }

    /// Notes that the store did not take a call; nothing of it took effect.
    fn handle_refusal(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.failures += 1;
        self.pause(settings, now);
        if self.failures < OUTAGE_FAILURES || self.has_lost_write {
            return;
        }
        self.claims.refuse(settings, actions);
    }

    /// Pauses after a lost reply, which has cost time already.
    fn pause_briefly(&mut self, now: MilliTime) {
        self.paused_until = now + LOST_REPLY_PAUSE;
    }

    fn pause(&mut self, settings: &ClaimSettings, now: MilliTime) {
        let is_outage = self.failures >= OUTAGE_FAILURES;
        let pause = if is_outage {
            settings.store_pause_ms
        } else {
            REFUSAL_PAUSE
        };
        self.paused_until = now + pause;
    }
}
