//! Claim requests whose reply is pending.

use std::sync::Arc;

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::{ClaimReply, ClaimRequest};

use crate::bucket_cache::BucketCache;
use crate::claim_decision::{ClaimDecision, decide_claim, unavailable_reply};
use crate::claim_key::key_time;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::commit_batch::CommitBatch;
use crate::{ClaimAction, ClaimMessageId, ClaimSettings};

/// Margin between the owner's last reply time and the sender's deadline.
const REPLY_MARGIN: MilliDuration = MilliDuration::from_millis(50);

/// What a pending claim waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimNeed {
    /// The head or older segments.
    Records,
    /// A new read of the head, since the cached one may be out of date.
    FreshHead,
    /// The next commit.
    Commit,
    /// The outcome of another attempt that holds the claim.
    Outcome,
}

#[derive(Debug, Clone)]
struct PendingClaim {
    message_id: ClaimMessageId,
    request: ClaimRequest,
    /// Number of the last head call that was started before the claim arrived.
    last_head_call: u64,
    reply_by: MilliTime,
    need: ClaimNeed,
}

/// Claim requests whose reply is pending, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingClaims {
    claims: Vec<PendingClaim>,
}

impl PendingClaims {
    pub(crate) const fn len(&self) -> usize {
        self.claims.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    pub(crate) fn push(
        &mut self,
        message_id: ClaimMessageId,
        request: ClaimRequest,
        last_head_call: u64,
        now: MilliTime,
    ) {
        self.claims.push(PendingClaim {
            message_id,
            last_head_call,
            reply_by: (now + request.wait_ms) - REPLY_MARGIN,
            request,
            need: ClaimNeed::Records,
        });
    }

    pub(crate) fn any_needs_commit(&self) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.need == ClaimNeed::Commit)
    }

    pub(crate) fn any_needs_outcome(&self) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.need == ClaimNeed::Outcome)
    }

    pub(crate) fn any_needs_fresh_head(&self) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.need == ClaimNeed::FreshHead)
    }

    pub(crate) fn next_timeout(&self) -> Option<MilliTime> {
        self.claims.iter().map(|claim| claim.reply_by).min()
    }

    /// Replies to the claims whose reply is due now.
    pub(crate) fn time_out(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.claims.retain(|claim| {
            if now < claim.reply_by {
                return true;
            }
            let reply = match claim.need {
                ClaimNeed::Outcome => ClaimReply::InDoubt,
                ClaimNeed::Records | ClaimNeed::FreshHead | ClaimNeed::Commit => {
                    unavailable_reply(settings)
                }
            };
            claim.push_reply(reply, actions);
            false
        });
    }

    /// Replies `Unavailable` to all claims except those that wait for another attempt's outcome.
    pub(crate) fn refuse(&mut self, settings: &ClaimSettings, actions: &mut Vec<ClaimAction>) {
        self.claims.retain(|claim| {
            let stays = claim.need == ClaimNeed::Outcome;
            if !stays {
                claim.push_reply(unavailable_reply(settings), actions);
            }
            stays
        });
    }

    /// Decides the claims from index `first` on, and replies to those whose reply is known.
    ///
    /// The cache reflects the head call numbered `cached_head_call`. Another owner may have
    /// recorded an outcome since then. So a claim waits for another attempt, or is in doubt, only
    /// on the basis of a head call that was started after the claim arrived.
    pub(crate) fn decide_claims_from(
        &mut self,
        first: usize,
        cache: &BucketCache,
        settings: &ClaimSettings,
        cached_head_call: u64,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let batch = CommitBatch::new(cache, now, settings);
        let undecided = self.claims.split_off(first);
        for mut claim in undecided {
            let decision = decide_claim(&claim.request, cache, &batch, settings, now);
            if decision.awaits_outcome() && claim.last_head_call >= cached_head_call {
                claim.need = ClaimNeed::FreshHead;
                self.claims.push(claim);
            } else if claim.apply_decision(decision, actions) {
                self.claims.push(claim);
            }
        }
    }

    /// Adds the claims that may be granted to a batch, and replies to those whose reply is known.
    pub(crate) fn add_to_batch(
        &mut self,
        batch: &mut CommitBatch,
        cache: &BucketCache,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.claims.retain_mut(|claim| {
            if claim.need != ClaimNeed::Commit {
                return true;
            }
            let decision = decide_claim(&claim.request, cache, batch, settings, now);
            if decision != ClaimDecision::Grant {
                return claim.apply_decision(decision, actions);
            }
            if !cache.has_room(batch.approx_bytes, settings) {
                claim.push_reply(unavailable_reply(settings), actions);
                return false;
            }
            claim.add_grant(cache, batch);
            true
        });
    }
}

impl PendingClaim {
    fn push_reply(&self, reply: ClaimReply, actions: &mut Vec<ClaimAction>) {
        let message_id = self.message_id;
        actions.push(ClaimAction::Reply { message_id, reply });
    }

    /// Returns whether the claim stays pending.
    fn apply_decision(&mut self, decision: ClaimDecision, actions: &mut Vec<ClaimAction>) -> bool {
        self.need = match decision {
            ClaimDecision::Reply(reply) => {
                self.push_reply(reply, actions);
                return false;
            }
            ClaimDecision::WaitForOutcome => ClaimNeed::Outcome,
            ClaimDecision::LoadSegments => ClaimNeed::Records,
            ClaimDecision::Grant => ClaimNeed::Commit,
        };
        true
    }

    fn add_grant(&self, cache: &BucketCache, batch: &mut CommitBatch) {
        let request = &self.request;
        if key_time(&request.key).is_none() && cache.record(&request.key).is_none() {
            batch.timeless_keys += 1;
        }
        batch.insert(ClaimRecord {
            key: Arc::from(request.key.as_str()),
            body_hash: request.body_hash,
            attempt_id: request.attempt_id,
            fencing: cache.head().sequence + 1,
            claimed_at: batch.commit_time,
            state: ClaimState::Open,
        });
    }
}
