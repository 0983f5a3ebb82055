//! A world of three routers, one store and one target, driven by choices.

mod world_checks;
mod world_faults;

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash};
use briarrail_outcome::{
    AttemptEvent, ClaimAction, ClaimBucket, ClaimEvent, ClaimKey, ClaimMessageId, ClaimStep,
    FreeAllowance, ReportId, RequestOutcome, RetryStep, StoreCall, StoreCallId, StoreReply,
};
use briarrail_peer::{
    ClaimAnswer, ClaimOutcome, ClaimReply, ClaimReport, ClaimRequest, ReportReply,
};
use bytes::Bytes;

use super::fake_router::{BUCKETS, EntryCall, FakeRouter, claim_wait};
use super::fake_store::{CallFate, FakeStore};
use super::oracle::{CallId, ClaimOracle};
use super::tape::ChoiceTape;

const ROUTERS: usize = 3;
const EPOCH: MilliTime = MilliTime::from_millis(1_800_000_000_000);

/// A message under way, or a result that waits for its router.
#[derive(Debug, Clone)]
enum Letter {
    Claim {
        call: CallId,
        request: ClaimRequest,
    },
    ClaimReply {
        call: CallId,
        reply: ClaimReply,
    },
    Report {
        id: ReportId,
        report: ClaimReport,
    },
    ReportReply {
        id: ReportId,
        call: CallId,
        reply: ReportReply,
        is_answer: bool,
    },
    StoreResult {
        id: StoreCallId,
        reply: StoreReply,
    },
}

#[derive(Debug, Clone)]
struct Envelope {
    from: usize,
    to: usize,
    /// Incarnation of the receiver that it is meant for; a replaced router gets none of it.
    incarnation: Option<u64>,
    letter: Letter,
}

/// A message that a router holds, and to whom its reply goes.
#[derive(Debug, Clone)]
struct HeldTicket {
    holder: usize,
    sender: usize,
    /// Incarnation of the sender.
    incarnation: u64,
    origin: TicketOrigin,
}

#[derive(Debug, Clone)]
enum TicketOrigin {
    Claim(CallId),
    Report(ReportId, CallId, bool),
}

/// A world of three routers, one store and one target.
pub(crate) struct ClaimWorld {
    now: MilliTime,
    routers: Vec<FakeRouter>,
    /// How often things fail, in percent.
    trouble: usize,
    store: FakeStore,
    pub(crate) oracle: ClaimOracle,
    letters: Vec<Envelope>,
    store_calls: Vec<(usize, u64, StoreCallId, StoreCall)>,
    tickets: BTreeMap<ClaimMessageId, HeldTicket>,
    /// Calls that a target got and will run later, though their connection is lost.
    late_runs: Vec<CallId>,
    keys: Vec<(String, MilliTime)>,
    next_call: CallId,
    next_message_id: u64,
    next_incarnation: u64,
    pub(crate) steps: u64,
}

impl ClaimWorld {
    pub(crate) fn new(tape: &mut ChoiceTape<'_>) -> Self {
        let leads = (0..ROUTERS).map(|_| tape.pick(3) as u64 * 500);
        let routers = leads.enumerate();
        let routers = routers.map(|(index, lead)| FakeRouter::new(index as u64 + 1, lead));
        Self {
            now: EPOCH,
            routers: routers.collect(),
            trouble: [0, 10, 30, 60, 90][tape.pick(5)],
            store: FakeStore::default(),
            oracle: ClaimOracle::default(),
            letters: Vec::new(),
            store_calls: Vec::new(),
            tickets: BTreeMap::new(),
            late_runs: Vec::new(),
            keys: Vec::new(),
            next_call: 1,
            next_message_id: 0,
            next_incarnation: ROUTERS as u64 + 1,
            steps: 0,
        }
    }

    /// Makes one random step.
    pub(crate) fn step(&mut self, tape: &mut ChoiceTape<'_>) {
        self.steps += 1;
        match tape.pick(100) {
            0..10 => self.start_call(tape),
            10..45 => self.deliver(tape),
            45..47 => self.lose_letter(tape),
            47..70 => self.run_store_call(tape),
            70..78 => self.pass_time(tape),
            78..91 => self.answer_target(tape),
            91..93 => self.run_late(tape),
            93 => self.store.land_late(tape.pick(256)),
            94 if tape.chance(self.trouble) => self.toggle_pause(tape),
            95 if tape.chance(self.trouble) => self.replace_router(tape),
            96 if tape.chance(self.trouble) => {
                self.store.is_down = !self.store.is_down && tape.chance(60);
            }
            97 if tape.chance(self.trouble) => self.change_candidates(tape),
            98 => self.leave(tape),
            _ => {}
        }
    }

    fn start_call(&mut self, tape: &mut ChoiceTape<'_>) {
        if self.keys.is_empty() || tape.chance(30) {
            let key = self.new_key(tape);
            self.keys.push(key);
        }
        let reach = if tape.chance(90) { 4 } else { self.keys.len() };
        let index = self.keys.len() - 1 - tape.pick(reach.min(self.keys.len()));
        let body = if tape.chance(95) { 1 } else { 2 };
        let router = tape.pick(ROUTERS);
        if !self.routers[router].is_paused {
            let key = self.keys[index].0.clone();
            self.call(router, key, body);
        }
    }

    fn new_key(&self, tape: &mut ChoiceTape<'_>) -> (String, MilliTime) {
        let count = self.keys.len() as u8;
        let lag = [0, 500, 2_000, 45_000][[0, 0, 0, 1, 1, 2, 3][tape.pick(7)]];
        let made_at =
            (self.now + MilliDuration::from_millis(500)) - MilliDuration::from_millis(lag);
        let key = if tape.chance(85) {
            let mut random = [7; 10];
            random[0] = count;
            random[1] = tape.pick(256) as u8;
            let builder = uuid::Builder::from_unix_timestamp_millis(made_at.as_millis(), &random);
            builder.into_uuid().to_string()
        } else {
            format!("order-{count}")
        };
        let key = ClaimKey::new("saltworks", &key).unwrap();
        (key.into_string(), made_at)
    }

    fn call(&mut self, router: usize, key: String, body: u64) -> CallId {
        let call = self.next_call;
        self.next_call += 1;
        self.oracle.note_call(call, &key, body);
        let request = ClaimRequest {
            key,
            body_hash: StableHash(body),
            router: format!("router-{router}"),
            attempt_id: call,
            wait_ms: claim_wait(),
        };
        let now = self.routers[router].local(self.now);
        let mut entry = EntryCall::new(request, now);
        let step = entry.client.start();
        self.routers[router].entries.insert(call, entry);
        self.take_claim_step(router, call, step);
        call
    }

    fn owners_of(&self, key: &str) -> [Option<usize>; 2] {
        let names = (0..ROUTERS as u64).map(StableHash);
        ClaimBucket::of_key(key, BUCKETS).owner_candidates(names)
    }

    fn take_claim_step(&mut self, router: usize, call: CallId, step: ClaimStep) {
        let now = self.routers[router].local(self.now);
        let Some(entry) = self.routers[router].entries.get_mut(&call) else {
            return;
        };
        match step {
            ClaimStep::Ask { candidate, .. } => {
                let request = entry.client.request(now);
                let to = self.owners_of(&request.key)[candidate].unwrap();
                self.post(router, to, None, Letter::Claim { call, request });
            }
            ClaimStep::Send { fencing } => {
                self.oracle.note_send(call, fencing);
                entry.start_sending(now);
            }
            ClaimStep::Replay(answer) => {
                self.oracle.note_answer(call, &answer.body.unwrap());
            }
            ClaimStep::Finish { outcome, release } => {
                self.oracle.note_outcome(call, outcome);
                if release {
                    self.report(router, call, ClaimOutcome::NotRun);
                }
            }
            ClaimStep::Release => self.report(router, call, ClaimOutcome::NotRun),
            ClaimStep::Ignore => {}
        }
    }

    fn report(&mut self, router: usize, call: CallId, outcome: ClaimOutcome) {
        let now = self.routers[router].local(self.now);
        let router = &mut self.routers[router];
        if let Some(entry) = router.entries.get(&call) {
            router.reports.add(entry.client.report(outcome), now);
        }
    }

    fn post(&mut self, from: usize, to: usize, incarnation: Option<u64>, letter: Letter) {
        self.letters.push(Envelope {
            from,
            to,
            incarnation,
            letter,
        });
    }

    fn deliver(&mut self, tape: &mut ChoiceTape<'_>) {
        if self.letters.is_empty() {
            return;
        }
        let index = tape.pick(self.letters.len());
        if self.routers[self.letters[index].to].is_paused {
            return;
        }
        let is_result = matches!(self.letters[index].letter, Letter::StoreResult { .. });
        let envelope = if !is_result && tape.chance(5) {
            self.letters[index].clone()
        } else {
            self.letters.swap_remove(index)
        };
        self.open(envelope);
    }

    fn open(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            to,
            incarnation,
            letter,
        } = envelope;
        if incarnation.is_some_and(|meant| meant != self.routers[to].incarnation) {
            return;
        }
        let now = self.routers[to].local(self.now);
        match letter {
            Letter::Claim { call, request } => {
                let message_id = self.hold(from, to, TicketOrigin::Claim(call));
                let actions = self.routers[to]
                    .owner
                    .handle_claim(message_id, request, now);
                self.take_actions(to, actions);
            }
            Letter::Report { id, report } => {
                let is_answer = matches!(report.outcome, ClaimOutcome::Answered(_));
                let origin = TicketOrigin::Report(id, report.attempt_id, is_answer);
                let message_id = self.hold(from, to, origin);
                let actions = self.routers[to]
                    .owner
                    .handle_report(message_id, report, now);
                self.take_actions(to, actions);
            }
            Letter::ClaimReply { call, reply } => {
                let event = ClaimEvent::Reply(reply);
                self.take_claim_event(to, call, event);
            }
            Letter::ReportReply {
                id,
                call,
                reply,
                is_answer,
            } => {
                if is_answer && reply == ReportReply::Recorded {
                    self.oracle.note_recorded(call);
                }
                self.routers[to].reports.handle_reply(id, Some(reply), now);
            }
            Letter::StoreResult { id, reply } => {
                let actions = self.routers[to].owner.handle_store_reply(id, reply, now);
                self.take_actions(to, actions);
            }
        }
    }

    fn hold(&mut self, sender: usize, holder: usize, origin: TicketOrigin) -> ClaimMessageId {
        let message_id = ClaimMessageId(self.next_message_id);
        self.next_message_id += 1;
        let held = HeldTicket {
            holder,
            sender,
            incarnation: self.routers[sender].incarnation,
            origin,
        };
        self.tickets.insert(message_id, held);
        message_id
    }

    fn take_claim_event(&mut self, router: usize, call: CallId, event: ClaimEvent) {
        let now = self.routers[router].local(self.now);
        if let Some(entry) = self.routers[router].entries.get_mut(&call) {
            let step = entry.client.handle(event, now);
            self.take_claim_step(router, call, step);
        }
    }

    fn take_actions(&mut self, router: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Call { id, call } => {
                    let incarnation = self.routers[router].incarnation;
                    self.store_calls.push((router, incarnation, id, call));
                }
                ClaimAction::Reply { message_id, reply } => {
                    let held = self.tickets.remove(&message_id).expect("a second reply");
                    let TicketOrigin::Claim(call) = held.origin else {
                        panic!("a claim reply to a report");
                    };
                    let letter = Letter::ClaimReply { call, reply };
                    self.post(router, held.sender, Some(held.incarnation), letter);
                }
                ClaimAction::Acknowledge { message_id, reply } => {
                    let held = self.tickets.remove(&message_id).expect("a second reply");
                    let TicketOrigin::Report(id, call, is_answer) = held.origin else {
                        panic!("a report reply to a claim");
                    };
                    let letter = Letter::ReportReply {
                        id,
                        call,
                        reply,
                        is_answer,
                    };
                    self.post(router, held.sender, Some(held.incarnation), letter);
                }
            }
        }
    }

    fn finish_store_call(&mut self, index: usize, fate: CallFate) {
        let (router, incarnation, id, call) = self.store_calls.swap_remove(index);
        let reply = self.store.call(call, fate);
        let letter = Letter::StoreResult { id, reply };
        self.post(router, router, Some(incarnation), letter);
    }

    fn pass_time(&mut self, tape: &mut ChoiceTape<'_>) {
        let millis = match tape.pick(80) {
            0 => 12_000,
            1..4 => 700,
            _ => tape.pick(40) as u64,
        };
        self.advance(MilliDuration::from_millis(millis));
    }

    fn advance(&mut self, span: MilliDuration) {
        self.now = self.now + span;
        for router in 0..ROUTERS {
            if !self.routers[router].is_paused {
                self.tick(router);
            }
        }
    }

    fn tick(&mut self, router: usize) {
        let now = self.routers[router].local(self.now);
        let actions = self.routers[router].owner.tick(now);
        self.take_actions(router, actions);
        let entries = self.routers[router].entries.iter();
        let overdue = entries.filter(|(_, entry)| now >= entry.client.deadline());
        let overdue: Vec<CallId> = overdue.map(|(&call, _)| call).collect();
        for call in overdue {
            self.take_claim_event(router, call, ClaimEvent::Cancelled);
        }
        for due in self.routers[router].reports.take_due(now) {
            let to = self.owners_of(&due.report.key)[due.candidate].unwrap();
            let letter = Letter::Report {
                id: due.id,
                report: due.report,
            };
            self.post(router, to, None, letter);
        }
    }

    /// Lets the target do something with a call that was sent to it.
    fn answer_target(&mut self, tape: &mut ChoiceTape<'_>) {
        let sent = self.sent_calls();
        if sent.is_empty() {
            return;
        }
        let (router, call) = sent[tape.pick(sent.len())];
        match tape.pick(8) {
            0 => self.take_attempt(router, call, AttemptEvent::ConnectFailed, None),
            1 => self.take_attempt(router, call, AttemptEvent::Refused { proved: true }, None),
            2 => {
                self.oracle.note_run(call);
                self.take_attempt(router, call, AttemptEvent::SendFailed, None);
            }
            3 => self.take_attempt(router, call, AttemptEvent::SendFailed, None),
            4 => {
                self.late_runs.push(call);
                self.take_attempt(router, call, AttemptEvent::DeadlinePassed, None);
            }
            _ => {
                let answer = self.oracle.note_run(call);
                self.take_attempt(router, call, AttemptEvent::Completed, Some(answer));
            }
        }
    }

    fn sent_calls(&self) -> Vec<(usize, CallId)> {
        let routers = self.routers.iter().enumerate();
        let running = routers.filter(|(_, router)| !router.is_paused);
        let sent = running.flat_map(|(index, router)| {
            let entries = router.entries.iter();
            let sent = entries.filter(|(_, entry)| {
                let machine = entry.machine.as_ref();
                machine.is_some_and(|machine| machine.outcome().is_none())
            });
            sent.map(move |(&call, _)| (index, call))
        });
        sent.collect()
    }

    fn take_attempt(
        &mut self,
        router: usize,
        call: CallId,
        event: AttemptEvent,
        answer: Option<Bytes>,
    ) {
        let now = self.routers[router].local(self.now);
        let entry = self.routers[router].entries.get_mut(&call).unwrap();
        let machine = entry.machine.as_mut().unwrap();
        let RetryStep::Finish(outcome) = machine.handle(event, now, &mut FreeAllowance) else {
            return;
        };
        let report = match (outcome, answer) {
            (RequestOutcome::Answered, Some(answer)) => {
                self.oracle.note_answer(call, &answer);
                ClaimOutcome::Answered(ClaimAnswer {
                    status: 200,
                    content_type: None,
                    body: Some(answer),
                })
            }
            (RequestOutcome::NotRun(_), _) => {
                self.oracle.note_proof(call);
                self.oracle.note_outcome(call, outcome);
                ClaimOutcome::NotRun
            }
            _ => {
                self.oracle.note_outcome(call, outcome);
                ClaimOutcome::Unknown
            }
        };
        self.report(router, call, report);
    }

    pub(crate) const fn segments_written(&self) -> u64 {
        self.store.segments
    }
}
