//! Decisions on claim requests.

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimReply, ClaimRequest};

use crate::ClaimSettings;
use crate::bucket_cache::BucketCache;
use crate::claim_key::key_time;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::commit_batch::CommitBatch;

/// The decision on a claim request, based on the cached bucket and a commit batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimDecision {
    /// The reply is known.
    Reply(ClaimReply),
    /// Another attempt holds the claim and has no outcome yet.
    WaitForOutcome,
    /// Older segments must be loaded first.
    LoadSegments,
    /// The claim may be granted once the next commit has stored it.
    Grant,
}

impl ClaimDecision {
    /// Returns whether an earlier call holds the key and its outcome may still be reported.
    pub(crate) const fn awaits_outcome(&self) -> bool {
        matches!(
            self,
            Self::WaitForOutcome | Self::Reply(ClaimReply::InDoubt)
        )
    }
}

/// Decides on a claim request.
pub(crate) fn decide_claim(
    request: &ClaimRequest,
    cache: &BucketCache,
    batch: &CommitBatch,
    settings: &ClaimSettings,
    now: MilliTime,
) -> ClaimDecision {
    let time = key_time(&request.key);
    if time.is_some_and(|time| time < batch.min_key_time) {
        return ClaimDecision::Reply(ClaimReply::Expired);
    }
    if time.is_some_and(|time| time > batch.commit_time + settings.clock_skew_ms) {
        return ClaimDecision::Reply(ClaimReply::KeyInvalid);
    }
    if let Some(record) = batch.record(cache, &request.key) {
        return decide_from_record(request, record, batch, settings, now);
    }
    if !cache.has_loaded_segments_for(time, settings) {
        return ClaimDecision::LoadSegments;
    }
    let timeless_keys = cache.head().timeless_keys + batch.timeless_keys;
    if time.is_none() && timeless_keys >= settings.timeless_key_limit {
        return ClaimDecision::Reply(ClaimReply::KeyInvalid);
    }
    ClaimDecision::Grant
}

fn decide_from_record(
    request: &ClaimRequest,
    record: &ClaimRecord,
    batch: &CommitBatch,
    settings: &ClaimSettings,
    now: MilliTime,
) -> ClaimDecision {
    if record.body_hash != request.body_hash {
        return ClaimDecision::Reply(ClaimReply::KeyReused);
    }
    let is_same_attempt = record.attempt_id == request.attempt_id;
    match &record.state {
        ClaimState::Answered(answer) => ClaimDecision::Reply(ClaimReply::Answered(answer.clone())),
        ClaimState::InDoubt => ClaimDecision::Reply(ClaimReply::InDoubt),
        // A delayed claim request of an attempt that was released must not claim the key again.
        ClaimState::Released if is_same_attempt => {
            ClaimDecision::Reply(unavailable_reply(settings))
        }
        ClaimState::Released => ClaimDecision::Grant,
        // Grants only a stored claim, since the commit of a batch may still fail.
        ClaimState::Open if is_same_attempt && !batch.records.contains_key(&record.key) => {
            ClaimDecision::Reply(ClaimReply::Granted {
                fencing: record.fencing,
            })
        }
        ClaimState::Open if now.since(record.claimed_at) >= settings.open_limit_ms => {
            ClaimDecision::Reply(ClaimReply::InDoubt)
        }
        ClaimState::Open => ClaimDecision::WaitForOutcome,
    }
}

/// Returns the reply to a claim that could not be stored.
pub(crate) const fn unavailable_reply(settings: &ClaimSettings) -> ClaimReply {
    ClaimReply::Unavailable {
        retry_after_ms: settings.store_pause_ms.as_millis(),
    }
}
