//! What goes wrong in the world.

use briarrail_outcome::{ClaimBucket, ClaimEvent};

use super::{ClaimWorld, Envelope, HeldTicket, Letter, ROUTERS, TicketOrigin};
use crate::claims::fake_router::{BUCKETS, FakeRouter};
use crate::claims::fake_store::CallFate;
use crate::claims::oracle::CallId;
use crate::claims::tape::ChoiceTape;

impl ClaimWorld {
    pub(super) fn lose_letter(&mut self, tape: &mut ChoiceTape<'_>) {
        if self.letters.is_empty() {
            return;
        }
        let index = tape.pick(self.letters.len());
        let Envelope { from, letter, .. } = self.letters[index].clone();
        let now = self.routers[from].local(self.now);
        match letter {
            Letter::StoreResult { .. } => return,
            Letter::Claim { call, .. } => {
                self.take_claim_event(from, call, ClaimEvent::Undelivered);
            }
            Letter::Report { id, .. } => self.routers[from].reports.handle_reply(id, None, now),
            Letter::ClaimReply { call, .. } => {
                let to = self.letters[index].to;
                self.take_claim_event(to, call, ClaimEvent::ReplyLost);
            }
            Letter::ReportReply { id, .. } => {
                let to = self.letters[index].to;
                self.routers[to].reports.handle_reply(id, None, now);
            }
        }
        self.letters.swap_remove(index);
    }

    pub(super) fn run_store_call(&mut self, tape: &mut ChoiceTape<'_>) {
        if self.store_calls.is_empty() {
            return;
        }
        let index = tape.pick(self.store_calls.len());
        let fate = match tape.pick(4) {
            _ if self.store.is_down => CallFate::Refused,
            _ if !tape.chance(self.trouble / 3) => CallFate::Good,
            0 => CallFate::Refused,
            1 => CallFate::ReplyLost,
            2 => CallFate::Late,
            _ => CallFate::Lost,
        };
        self.finish_store_call(index, fate);
    }

    pub(super) fn run_late(&mut self, tape: &mut ChoiceTape<'_>) {
        if !self.late_runs.is_empty() {
            let index = tape.pick(self.late_runs.len());
            let call = self.late_runs.swap_remove(index);
            self.oracle.note_run(call);
        }
    }

    pub(super) fn toggle_pause(&mut self, tape: &mut ChoiceTape<'_>) {
        let router = &mut self.routers[tape.pick(ROUTERS)];
        router.is_paused = !router.is_paused;
    }

    /// Ends a router without notice and starts another in its place.
    pub(super) fn replace_router(&mut self, tape: &mut ChoiceTape<'_>) {
        let index = tape.pick(ROUTERS);
        let lead = tape.pick(3) as u64 * 500;
        let calls = self.sent_calls();
        let lost = calls.into_iter().filter(|&(router, _)| router == index);
        for (_, call) in lost {
            // The target may run what the router sent before its end.
            if tape.chance(50) {
                self.late_runs.push(call);
            }
        }
        self.routers[index] = FakeRouter::new(self.next_incarnation, lead);
        self.next_incarnation += 1;
        self.break_connections(index);
    }

    /// Tells the senders of the messages that a replaced router held.
    pub(super) fn break_connections(&mut self, holder: usize) {
        let held = self.tickets.extract_if(.., |_, held| held.holder == holder);
        let held: Vec<HeldTicket> = held.map(|(_, held)| held).collect();
        for held in held {
            if held.incarnation != self.routers[held.sender].incarnation {
                continue;
            }
            let now = self.routers[held.sender].local(self.now);
            match held.origin {
                TicketOrigin::Claim(call) => {
                    self.take_claim_event(held.sender, call, ClaimEvent::ReplyLost);
                }
                TicketOrigin::Report(id, ..) => {
                    self.routers[held.sender]
                        .reports
                        .handle_reply(id, None, now);
                }
            }
        }
    }

    /// Gives a router another view of the buckets that it is a candidate for.
    pub(super) fn change_candidates(&mut self, tape: &mut ChoiceTape<'_>) {
        let owned = (0..BUCKETS).filter(|_| tape.chance(60)).map(ClaimBucket);
        let owned = owned.collect();
        self.routers[tape.pick(ROUTERS)]
            .owner
            .set_candidate_buckets(owned);
    }

    /// A caller leaves, or the router stops waiting for the claim.
    pub(super) fn leave(&mut self, tape: &mut ChoiceTape<'_>) {
        let router = tape.pick(ROUTERS);
        if self.routers[router].is_paused {
            return;
        }
        let calls: Vec<CallId> = self.routers[router].entries.keys().copied().collect();
        if !calls.is_empty() {
            let call = calls[tape.pick(calls.len())];
            self.take_claim_event(router, call, ClaimEvent::Cancelled);
        }
    }
}
