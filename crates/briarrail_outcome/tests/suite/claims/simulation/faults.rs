//! Faults of the simulation.

use briarrail_outcome::{ClaimBucket, ClaimEvent};

use super::{ClaimSimulation, Message, MessageOrigin, PendingReply, QueuedMessage, ROUTERS};
use crate::claims::choice_source::ChoiceSource;
use crate::claims::fake_router::{BUCKETS, FakeRouter};
use crate::claims::fake_store::CallOutcome;
use crate::claims::oracle::CallId;

impl ClaimSimulation {
    pub(super) fn lose_message(&mut self, choices: &mut ChoiceSource<'_>) {
        if self.messages.is_empty() {
            return;
        }
        let index = choices.pick(self.messages.len());
        let QueuedMessage { from, message, .. } = self.messages[index].clone();
        let now = self.routers[from].local_time(self.now);
        match message {
            Message::StoreResult { .. } => return,
            Message::Claim { call, .. } => {
                self.handle_claim_event(from, call, ClaimEvent::Undelivered);
            }
            Message::Report { id, .. } => self.routers[from].reports.handle_reply(id, None, now),
            Message::ClaimReply { call, .. } => {
                let to = self.messages[index].to;
                self.handle_claim_event(to, call, ClaimEvent::ReplyLost);
            }
            Message::ReportReply { id, .. } => {
                let to = self.messages[index].to;
                self.routers[to].reports.handle_reply(id, None, now);
            }
        }
        self.messages.swap_remove(index);
    }

    pub(super) fn run_store_call(&mut self, choices: &mut ChoiceSource<'_>) {
        if self.store_calls.is_empty() {
            return;
        }
        let index = choices.pick(self.store_calls.len());
        let outcome = match choices.pick(4) {
            _ if self.store.is_down => CallOutcome::Refused,
            _ if !choices.chance(self.fault_percent / 3) => CallOutcome::Success,
            0 => CallOutcome::Refused,
            1 => CallOutcome::ReplyLost,
            2 => CallOutcome::AppliedLate,
            _ => CallOutcome::RequestLost,
        };
        self.finish_store_call(index, outcome);
    }

    pub(super) fn run_delayed_call(&mut self, choices: &mut ChoiceSource<'_>) {
        if !self.delayed_runs.is_empty() {
            let index = choices.pick(self.delayed_runs.len());
            let call = self.delayed_runs.swap_remove(index);
            self.oracle.record_run(call);
        }
    }

    pub(super) fn toggle_pause(&mut self, choices: &mut ChoiceSource<'_>) {
        let router = &mut self.routers[choices.pick(ROUTERS)];
        router.is_paused = !router.is_paused;
    }

    /// Crashes a router and starts a new one in its place.
    pub(super) fn replace_router(&mut self, choices: &mut ChoiceSource<'_>) {
        let index = choices.pick(ROUTERS);
        let lead = choices.pick(3) as u64 * 500;
        let calls = self.sent_calls();
        let lost = calls.into_iter().filter(|&(router, _)| router == index);
        for (_, call) in lost {
            // The target may still run calls that the router sent before the crash.
            if choices.chance(50) {
                self.delayed_runs.push(call);
            }
        }
        self.routers[index] = FakeRouter::new(self.next_incarnation, lead);
        self.next_incarnation += 1;
        self.break_connections(index);
    }

    /// Signals a lost reply to the senders of messages pending at a replaced router.
    pub(super) fn break_connections(&mut self, receiver: usize) {
        let lost = self
            .pending_replies
            .extract_if(.., |_, pending| pending.receiver == receiver);
        let lost: Vec<PendingReply> = lost.map(|(_, pending)| pending).collect();
        for pending in lost {
            if pending.incarnation != self.routers[pending.sender].incarnation {
                continue;
            }
            let now = self.routers[pending.sender].local_time(self.now);
            match pending.origin {
                MessageOrigin::Claim(call) => {
                    self.handle_claim_event(pending.sender, call, ClaimEvent::ReplyLost);
                }
                MessageOrigin::Report(id, ..) => {
                    self.routers[pending.sender]
                        .reports
                        .handle_reply(id, None, now);
                }
            }
        }
    }

    /// Changes the buckets that a router considers itself a candidate for.
    pub(super) fn change_candidates(&mut self, choices: &mut ChoiceSource<'_>) {
        let owned = (0..BUCKETS).filter(|_| choices.chance(60)).map(ClaimBucket);
        let owned = owned.collect();
        self.routers[choices.pick(ROUTERS)]
            .coordinator
            .set_candidate_buckets(owned);
    }

    /// Cancels a claim, as if its caller had disconnected.
    pub(super) fn cancel_call(&mut self, choices: &mut ChoiceSource<'_>) {
        let router = choices.pick(ROUTERS);
        if self.routers[router].is_paused {
            return;
        }
        let calls: Vec<CallId> = self.routers[router].entries.keys().copied().collect();
        if !calls.is_empty() {
            let call = calls[choices.pick(calls.len())];
            self.handle_claim_event(router, call, ClaimEvent::Cancelled);
        }
    }
}
