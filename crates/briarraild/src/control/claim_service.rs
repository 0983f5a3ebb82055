//! Claims in the buckets of this router.

use std::collections::HashMap;

use briarrail_model::{HostEntry, HostName, MilliTime};
use briarrail_outcome::{
    ClaimAction, ClaimBucket, ClaimCoordinator, ClaimMessageId, ClaimSettings, StoreCall,
    StoreCallId, StoreReply,
};
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};
use tokio::sync::oneshot;

/// Sends the reply to a claim request or report.
#[derive(Debug)]
enum ReplySender {
    Claim(oneshot::Sender<ClaimReply>),
    Report(oneshot::Sender<ReportReply>),
}

/// A store call that the coordinator requested.
#[derive(Debug)]
pub(crate) struct PendingStoreCall {
    /// Id to pass back with the reply.
    pub(crate) id: StoreCallId,
    /// The call.
    pub(crate) call: StoreCall,
}

/// Passes claim messages to the coordinator and its replies back to their senders.
#[derive(Debug)]
pub(crate) struct ClaimService {
    coordinator: ClaimCoordinator,
    reply_senders: HashMap<ClaimMessageId, ReplySender>,
    next_message_id: u64,
    is_handing_over: bool,
}

impl ClaimService {
    /// Creates a service without buckets; `writer_id` must be drawn at random for each process.
    pub(crate) fn new(settings: ClaimSettings, writer_id: u64) -> Self {
        Self {
            coordinator: ClaimCoordinator::new(settings, writer_id),
            reply_senders: HashMap::new(),
            next_message_id: 0,
            is_handing_over: false,
        }
    }

    /// Sets the buckets that this router is a candidate for, given the live routers.
    pub(crate) fn assign_buckets(&mut self, routers: &[HostEntry], local_host: &HostName) {
        if self.is_handing_over {
            return;
        }
        let hashes: Vec<_> = routers
            .iter()
            .map(|router| router.name.stable_hash())
            .collect();
        let local_index = routers.iter().position(|router| router.name == *local_host);
        let buckets = (0..self.coordinator.settings().buckets).map(ClaimBucket);
        let is_candidate = |bucket: &ClaimBucket| {
            let candidates = bucket.owner_candidates(hashes.iter().copied());
            local_index.is_some() && candidates.contains(&local_index)
        };
        self.coordinator
            .set_candidate_buckets(buckets.filter(is_candidate).collect());
    }

    /// Gives up all buckets; pending messages are still processed.
    pub(crate) fn hand_over(&mut self) {
        self.is_handing_over = true;
        self.coordinator.set_candidate_buckets(Vec::new());
    }

    /// Returns whether no message is pending and no store call is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.coordinator.is_idle()
    }

    /// Returns the time at which [`tick`](Self::tick) is next due.
    pub(crate) fn next_wake(&self) -> Option<MilliTime> {
        self.coordinator.next_wake()
    }

    /// Handles a claim request.
    pub(crate) fn handle_claim(
        &mut self,
        request: ClaimRequest,
        reply: oneshot::Sender<ClaimReply>,
        now: MilliTime,
    ) -> Vec<PendingStoreCall> {
        let message_id = self.register(ReplySender::Claim(reply));
        let actions = self.coordinator.handle_claim(message_id, request, now);
        self.execute(actions)
    }

    /// Handles a report of the outcome of a claim.
    pub(crate) fn handle_report(
        &mut self,
        report: ClaimReport,
        reply: oneshot::Sender<ReportReply>,
        now: MilliTime,
    ) -> Vec<PendingStoreCall> {
        let message_id = self.register(ReplySender::Report(reply));
        let actions = self.coordinator.handle_report(message_id, report, now);
        self.execute(actions)
    }

    /// Handles the result of a store call.
    pub(crate) fn handle_store_reply(
        &mut self,
        id: StoreCallId,
        reply: StoreReply,
        now: MilliTime,
    ) -> Vec<PendingStoreCall> {
        let actions = self.coordinator.handle_store_reply(id, reply, now);
        self.execute(actions)
    }

    /// Times out claims and starts store calls that are due.
    pub(crate) fn tick(&mut self, now: MilliTime) -> Vec<PendingStoreCall> {
        let actions = self.coordinator.tick(now);
        self.execute(actions)
    }

    fn register(&mut self, sender: ReplySender) -> ClaimMessageId {
        let message_id = ClaimMessageId(self.next_message_id);
        self.next_message_id += 1;
        self.reply_senders.insert(message_id, sender);
        message_id
    }

    /// Sends the replies among the actions and returns the store calls.
    fn execute(&mut self, actions: Vec<ClaimAction>) -> Vec<PendingStoreCall> {
        let mut calls = Vec::new();
        for action in actions {
            match action {
                ClaimAction::Call { id, call } => calls.push(PendingStoreCall { id, call }),
                ClaimAction::Reply { message_id, reply } => self.reply_claim(message_id, reply),
                ClaimAction::Acknowledge { message_id, reply } => {
                    self.reply_report(message_id, reply);
                }
            }
        }
        calls
    }

    fn reply_claim(&mut self, message_id: ClaimMessageId, reply: ClaimReply) {
        if let Some(ReplySender::Claim(sender)) = self.reply_senders.remove(&message_id) {
            // The receiver is gone if the requesting router gave up; it releases the claim itself.
            let _ = sender.send(reply);
        }
    }

    fn reply_report(&mut self, message_id: ClaimMessageId, reply: ReportReply) {
        if let Some(ReplySender::Report(sender)) = self.reply_senders.remove(&message_id) {
            // A reporter that gets no reply sends its report again.
            let _ = sender.send(reply);
        }
    }
}
