//! The router's own claim buckets.

use std::collections::HashMap;

use briarrail_model::{HostEntry, HostName, MilliTime};
use briarrail_outcome::{
    ClaimAction, ClaimBucket, ClaimCoordinator, ClaimMessageId, ClaimSettings, StoreCall,
    StoreCallId, StoreReply,
};
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};
use tokio::sync::oneshot;

/// Where the reply to a message goes.
#[derive(Debug)]
enum ReplyPath {
    Claim(oneshot::Sender<ClaimReply>),
    Report(oneshot::Sender<ReportReply>),
}

/// A call to the object API that the claims need.
#[derive(Debug)]
pub(crate) struct PendingCall {
    /// Identifies the call.
    pub(crate) id: StoreCallId,
    /// The call.
    pub(crate) call: StoreCall,
}

/// Runs the router's claim buckets and remembers where replies go.
#[derive(Debug)]
pub(crate) struct ClaimDesk {
    owner: ClaimCoordinator,
    replies: HashMap<ClaimMessageId, ReplyPath>,
    next_ticket: u64,
    is_handing_over: bool,
}

impl ClaimDesk {
    /// Makes a desk without buckets; `writer` is drawn at random for each process.
    pub(crate) fn new(settings: ClaimSettings, writer: u64) -> Self {
        Self {
            owner: ClaimCoordinator::new(settings, writer),
            replies: HashMap::new(),
            next_ticket: 0,
            is_handing_over: false,
        }
    }

    /// Takes over the buckets that the live routers leave to this one.
    pub(crate) fn assign(&mut self, routers: &[HostEntry], own: &HostName) {
        if self.is_handing_over {
            return;
        }
        let hashes: Vec<_> = routers
            .iter()
            .map(|router| router.name.stable_hash())
            .collect();
        let own_index = routers.iter().position(|router| router.name == *own);
        let buckets = (0..self.owner.settings().buckets).map(ClaimBucket);
        let is_own = |bucket: &ClaimBucket| {
            let candidates = bucket.owner_candidates(hashes.iter().copied());
            own_index.is_some() && candidates.contains(&own_index)
        };
        self.owner
            .set_candidate_buckets(buckets.filter(is_own).collect());
    }

    /// Takes no new claims; what waits is finished.
    pub(crate) fn hand_over(&mut self) {
        self.is_handing_over = true;
        self.owner.set_candidate_buckets(Vec::new());
    }

    /// Returns whether nothing waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.owner.is_idle()
    }

    /// Returns when [`tick`](Self::tick) is next due.
    pub(crate) fn next_wake(&self) -> Option<MilliTime> {
        self.owner.next_wake()
    }

    /// Takes a claim request.
    pub(crate) fn claim(
        &mut self,
        request: ClaimRequest,
        reply: oneshot::Sender<ClaimReply>,
        now: MilliTime,
    ) -> Vec<PendingCall> {
        let ticket = self.issue(ReplyPath::Claim(reply));
        let actions = self.owner.handle_claim(ticket, request, now);
        self.carry_out(actions)
    }

    /// Takes the outcome of a claim.
    pub(crate) fn report(
        &mut self,
        report: ClaimReport,
        reply: oneshot::Sender<ReportReply>,
        now: MilliTime,
    ) -> Vec<PendingCall> {
        let ticket = self.issue(ReplyPath::Report(reply));
        let actions = self.owner.handle_report(ticket, report, now);
        self.carry_out(actions)
    }

    /// Takes the result of a call.
    pub(crate) fn store(
        &mut self,
        id: StoreCallId,
        reply: StoreReply,
        now: MilliTime,
    ) -> Vec<PendingCall> {
        let actions = self.owner.handle_store_reply(id, reply, now);
        self.carry_out(actions)
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: MilliTime) -> Vec<PendingCall> {
        let actions = self.owner.tick(now);
        self.carry_out(actions)
    }

    fn issue(&mut self, path: ReplyPath) -> ClaimMessageId {
        let ticket = ClaimMessageId(self.next_ticket);
        self.next_ticket += 1;
        self.replies.insert(ticket, path);
        ticket
    }

    fn carry_out(&mut self, actions: Vec<ClaimAction>) -> Vec<PendingCall> {
        let mut calls = Vec::new();
        for action in actions {
            match action {
                ClaimAction::Call { id, call } => calls.push(PendingCall { id, call }),
                ClaimAction::Reply { message_id, reply } => self.reply_claim(message_id, reply),
                ClaimAction::Acknowledge { message_id, reply } => {
                    self.reply_report(message_id, reply);
                }
            }
        }
        calls
    }

    fn reply_claim(&mut self, ticket: ClaimMessageId, reply: ClaimReply) {
        if let Some(ReplyPath::Claim(sender)) = self.replies.remove(&ticket) {
            // The asking router has given up when nobody receives, and releases the claim itself.
            let _ = sender.send(reply);
        }
    }

    fn reply_report(&mut self, ticket: ClaimMessageId, reply: ReportReply) {
        if let Some(ReplyPath::Report(sender)) = self.replies.remove(&ticket) {
            // A reporter that does not hear sends its report again.
            let _ = sender.send(reply);
        }
    }
}
