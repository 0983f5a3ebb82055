//! The verdict on a claim request.

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimReply, ClaimRequest};

use crate::ClaimSettings;
use crate::claim_book::ClaimBook;
use crate::claim_draft::ClaimDraft;
use crate::claim_key::key_time;
use crate::claim_record::{ClaimRecord, ClaimState};

/// The verdict on a claim request, as the book and the draft stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimVerdict {
    /// The reply is certain.
    Reply(ClaimReply),
    /// Another attempt holds the claim and may still be answered.
    Wait,
    /// Older segments have to be loaded first.
    Load,
    /// The claim may be granted by the next commit.
    Grant,
}

impl ClaimVerdict {
    /// Returns whether the outcome of an earlier call may yet become known.
    pub(crate) const fn is_undecided(&self) -> bool {
        matches!(self, Self::Wait | Self::Reply(ClaimReply::InDoubt))
    }
}

/// Judges a claim request.
pub(crate) fn judge_claim(
    request: &ClaimRequest,
    book: &ClaimBook,
    draft: &ClaimDraft,
    settings: &ClaimSettings,
    now: MilliTime,
) -> ClaimVerdict {
    let time = key_time(&request.key);
    if time.is_some_and(|time| time < draft.floor) {
        return ClaimVerdict::Reply(ClaimReply::Expired);
    }
    if time.is_some_and(|time| time > draft.stamp + settings.clock_skew_ms) {
        return ClaimVerdict::Reply(ClaimReply::KeyInvalid);
    }
    if let Some(record) = draft.record(book, &request.key) {
        return judge_record(request, record, draft, settings, now);
    }
    if !book.is_decidable(time, settings) {
        return ClaimVerdict::Load;
    }
    let timeless_keys = book.head().timeless_keys + draft.timeless_keys;
    if time.is_none() && timeless_keys >= settings.timeless_key_limit {
        return ClaimVerdict::Reply(ClaimReply::KeyInvalid);
    }
    ClaimVerdict::Grant
}

fn judge_record(
    request: &ClaimRequest,
    record: &ClaimRecord,
    draft: &ClaimDraft,
    settings: &ClaimSettings,
    now: MilliTime,
) -> ClaimVerdict {
    if record.body_hash != request.body_hash {
        return ClaimVerdict::Reply(ClaimReply::KeyReused);
    }
    let is_same_attempt = record.attempt_id == request.attempt_id;
    match &record.state {
        ClaimState::Answered(answer) => ClaimVerdict::Reply(ClaimReply::Answered(answer.clone())),
        ClaimState::InDoubt => ClaimVerdict::Reply(ClaimReply::InDoubt),
        // An attempt that was given up must not be revived by its own delayed request.
        ClaimState::Released if is_same_attempt => ClaimVerdict::Reply(unavailable(settings)),
        ClaimState::Released => ClaimVerdict::Grant,
        // Only what is durable may be granted; a draft may yet fail.
        ClaimState::Open if is_same_attempt && !draft.records.contains_key(&record.key) => {
            ClaimVerdict::Reply(ClaimReply::Granted {
                fencing: record.fencing,
            })
        }
        ClaimState::Open if now.since(record.claimed_at) >= settings.open_limit_ms => {
            ClaimVerdict::Reply(ClaimReply::InDoubt)
        }
        ClaimState::Open => ClaimVerdict::Wait,
    }
}

/// Returns the reply to a claim that could not be made durable.
pub(crate) const fn unavailable(settings: &ClaimSettings) -> ClaimReply {
    ClaimReply::Unavailable {
        retry_after_ms: settings.store_pause_ms.as_millis(),
    }
}
