//! Claim requests to which a reply is due.

use std::sync::Arc;

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::{ClaimReply, ClaimRequest};

use crate::claim_book::ClaimBook;
use crate::claim_draft::ClaimDraft;
use crate::claim_key::key_time;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::claim_verdict::{ClaimVerdict, judge_claim, unavailable};
use crate::{ClaimAction, ClaimMessageId, ClaimSettings};

/// Time by which the owner answers before the sender of a claim gives up.
const ANSWER_MARGIN: MilliDuration = MilliDuration::from_millis(50);

/// What a pending claim needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimNeed {
    /// The head, or older segments.
    Knowledge,
    /// The head read anew: what is in memory may be out of date.
    Confirmation,
    /// The next commit.
    Commit,
    /// The outcome of the attempt that holds the claim.
    Outcome,
}

#[derive(Debug, Clone)]
struct PendingClaim {
    message_id: ClaimMessageId,
    request: ClaimRequest,
    /// Number of the last head call that began before the claim came.
    after_call: u64,
    answer_by: MilliTime,
    need: ClaimNeed,
}

/// Claim requests to which a reply is due, oldest first.
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
        after_call: u64,
        now: MilliTime,
    ) {
        self.claims.push(PendingClaim {
            message_id,
            after_call,
            answer_by: (now + request.wait_ms) - ANSWER_MARGIN,
            request,
            need: ClaimNeed::Knowledge,
        });
    }

    pub(crate) fn need_commit(&self) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.need == ClaimNeed::Commit)
    }

    pub(crate) fn need_outcome(&self) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.need == ClaimNeed::Outcome)
    }

    pub(crate) fn need_confirmation(&self) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.need == ClaimNeed::Confirmation)
    }

    pub(crate) fn next_expiry(&self) -> Option<MilliTime> {
        self.claims.iter().map(|claim| claim.answer_by).min()
    }

    /// Answers the claims whose time is up.
    pub(crate) fn expire(
        &mut self,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.claims.retain(|claim| {
            if now < claim.answer_by {
                return true;
            }
            let reply = match claim.need {
                ClaimNeed::Outcome => ClaimReply::InDoubt,
                ClaimNeed::Knowledge | ClaimNeed::Confirmation | ClaimNeed::Commit => {
                    unavailable(settings)
                }
            };
            claim.answer(reply, actions);
            false
        });
    }

    /// Refuses all claims but those that wait for another attempt.
    pub(crate) fn refuse(&mut self, settings: &ClaimSettings, actions: &mut Vec<ClaimAction>) {
        self.claims.retain(|claim| {
            let stays = claim.need == ClaimNeed::Outcome;
            if !stays {
                claim.answer(unavailable(settings), actions);
            }
            stays
        });
    }

    /// Judges the claims from an index on, and answers those that are certain.
    ///
    /// The book is of the head call with the number `confirmed`. Another owner may have recorded
    /// an outcome since, so a claim is told of an open one only from a call that began later.
    pub(crate) fn settle_from(
        &mut self,
        first: usize,
        book: &ClaimBook,
        settings: &ClaimSettings,
        confirmed: u64,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let draft = ClaimDraft::new(book, now, settings);
        let judged = self.claims.split_off(first);
        for mut claim in judged {
            let verdict = judge_claim(&claim.request, book, &draft, settings, now);
            if verdict.is_undecided() && claim.after_call >= confirmed {
                claim.need = ClaimNeed::Confirmation;
                self.claims.push(claim);
            } else if claim.take_verdict(verdict, actions) {
                self.claims.push(claim);
            }
        }
    }

    /// Adds the claims that may be granted to a draft, and answers those that are certain.
    pub(crate) fn draft(
        &mut self,
        draft: &mut ClaimDraft,
        book: &ClaimBook,
        settings: &ClaimSettings,
        now: MilliTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        self.claims.retain_mut(|claim| {
            if claim.need != ClaimNeed::Commit {
                return true;
            }
            let verdict = judge_claim(&claim.request, book, draft, settings, now);
            if verdict != ClaimVerdict::Grant {
                return claim.take_verdict(verdict, actions);
            }
            if !book.has_room(draft.weight, settings) {
                claim.answer(unavailable(settings), actions);
                return false;
            }
            claim.draft_grant(book, draft);
            true
        });
    }
}

impl PendingClaim {
    fn answer(&self, reply: ClaimReply, actions: &mut Vec<ClaimAction>) {
        let message_id = self.message_id;
        actions.push(ClaimAction::Reply { message_id, reply });
    }

    /// Returns whether the claim stays pending.
    fn take_verdict(&mut self, verdict: ClaimVerdict, actions: &mut Vec<ClaimAction>) -> bool {
        self.need = match verdict {
            ClaimVerdict::Reply(reply) => {
                self.answer(reply, actions);
                return false;
            }
            ClaimVerdict::Wait => ClaimNeed::Outcome,
            ClaimVerdict::Load => ClaimNeed::Knowledge,
            ClaimVerdict::Grant => ClaimNeed::Commit,
        };
        true
    }

    fn draft_grant(&self, book: &ClaimBook, draft: &mut ClaimDraft) {
        let request = &self.request;
        if key_time(&request.key).is_none() && book.record(&request.key).is_none() {
            draft.timeless_keys += 1;
        }
        draft.insert(ClaimRecord {
            key: Arc::from(request.key.as_str()),
            body_hash: request.body_hash,
            attempt_id: request.attempt_id,
            fencing: book.head().sequence + 1,
            claimed_at: draft.stamp,
            state: ClaimState::Open,
        });
    }
}
