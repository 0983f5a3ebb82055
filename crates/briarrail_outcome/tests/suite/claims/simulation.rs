//! Simulation of three routers, one store and one target.

mod faults;
mod final_checks;

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash};
use briarrail_outcome::{
    AttemptEvent, ClaimAction, ClaimBucket, ClaimEvent, ClaimKey, ClaimMessageId, ClaimStep,
    NoRetryLimit, ReportId, RequestOutcome, RetryStep, StoreCall, StoreCallId, StoreReply,
};
use briarrail_peer::{
    ClaimAnswer, ClaimOutcome, ClaimReply, ClaimReport, ClaimRequest, ReportReply,
};
use bytes::Bytes;

use super::choice_source::ChoiceSource;
use super::fake_router::{BUCKETS, EntryCall, FakeRouter, claim_wait};
use super::fake_store::{CallOutcome, FakeStore};
use super::oracle::{CallId, ClaimOracle};

const ROUTERS: usize = 3;
const EPOCH: MilliTime = MilliTime::from_millis(1_800_000_000_000);

/// A message in transit, or a store result not yet handled by its router.
#[derive(Debug, Clone)]
enum Message {
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
struct QueuedMessage {
    from: usize,
    to: usize,
    /// Incarnation of the intended receiver; another incarnation doesn't handle the message.
    incarnation: Option<u64>,
    message: Message,
}

/// A message that a router has received, and where its reply goes.
#[derive(Debug, Clone)]
struct PendingReply {
    receiver: usize,
    sender: usize,
    /// Incarnation of the sender.
    incarnation: u64,
    origin: MessageOrigin,
}

#[derive(Debug, Clone)]
enum MessageOrigin {
    Claim(CallId),
    Report(ReportId, CallId, bool),
}

/// Simulation of three routers, one store and one target, driven by a [`ChoiceSource`].
pub(crate) struct ClaimSimulation {
    now: MilliTime,
    routers: Vec<FakeRouter>,
    /// Probability of faults, in percent.
    fault_percent: usize,
    store: FakeStore,
    pub(crate) oracle: ClaimOracle,
    messages: Vec<QueuedMessage>,
    store_calls: Vec<(usize, u64, StoreCallId, StoreCall)>,
    pending_replies: BTreeMap<ClaimMessageId, PendingReply>,
    /// Calls that the target received and may run later, after their connection was lost.
    delayed_runs: Vec<CallId>,
    keys: Vec<(String, MilliTime)>,
    next_call: CallId,
    next_message_id: u64,
    next_incarnation: u64,
    pub(crate) steps: u64,
}

impl ClaimSimulation {
    pub(crate) fn new(choices: &mut ChoiceSource<'_>) -> Self {
        let leads = (0..ROUTERS).map(|_| choices.pick(3) as u64 * 500);
        let routers = leads.enumerate();
        let routers = routers.map(|(index, lead)| FakeRouter::new(index as u64 + 1, lead));
        Self {
            now: EPOCH,
            routers: routers.collect(),
            fault_percent: [0, 10, 30, 60, 90][choices.pick(5)],
            store: FakeStore::default(),
            oracle: ClaimOracle::default(),
            messages: Vec::new(),
            store_calls: Vec::new(),
            pending_replies: BTreeMap::new(),
            delayed_runs: Vec::new(),
            keys: Vec::new(),
            next_call: 1,
            next_message_id: 0,
            next_incarnation: ROUTERS as u64 + 1,
            steps: 0,
        }
    }

    /// Makes one step, selected by the choices.
    pub(crate) fn step(&mut self, choices: &mut ChoiceSource<'_>) {
        self.steps += 1;
        match choices.pick(100) {
            0..10 => self.start_call(choices),
            10..45 => self.deliver(choices),
            45..47 => self.lose_message(choices),
            47..70 => self.run_store_call(choices),
            70..78 => self.advance_time(choices),
            78..91 => self.run_target(choices),
            91..93 => self.run_delayed_call(choices),
            93 => self.store.apply_late_write(choices.pick(256)),
            94 if choices.chance(self.fault_percent) => self.toggle_pause(choices),
            95 if choices.chance(self.fault_percent) => self.replace_router(choices),
            96 if choices.chance(self.fault_percent) => {
                self.store.is_down = !self.store.is_down && choices.chance(60);
            }
            97 if choices.chance(self.fault_percent) => self.change_candidates(choices),
            98 => self.cancel_call(choices),
            _ => {}
        }
    }

    fn start_call(&mut self, choices: &mut ChoiceSource<'_>) {
        if self.keys.is_empty() || choices.chance(30) {
            let key = self.new_key(choices);
            self.keys.push(key);
        }
        let candidate_keys = if choices.chance(90) {
            4
        } else {
            self.keys.len()
        };
        let index = self.keys.len() - 1 - choices.pick(candidate_keys.min(self.keys.len()));
        let body = if choices.chance(95) { 1 } else { 2 };
        let router = choices.pick(ROUTERS);
        if !self.routers[router].is_paused {
            let key = self.keys[index].0.clone();
            self.call(router, key, body);
        }
    }

    fn new_key(&self, choices: &mut ChoiceSource<'_>) -> (String, MilliTime) {
        let count = self.keys.len() as u8;
        let lag_ms = [0, 500, 2_000, 45_000][[0, 0, 0, 1, 1, 2, 3][choices.pick(7)]];
        let created_at =
            (self.now + MilliDuration::from_millis(500)) - MilliDuration::from_millis(lag_ms);
        let key = if choices.chance(85) {
            let mut random = [7; 10];
            random[0] = count;
            random[1] = choices.pick(256) as u8;
            let builder =
                uuid::Builder::from_unix_timestamp_millis(created_at.as_millis(), &random);
            builder.into_uuid().to_string()
        } else {
            format!("order-{count}")
        };
        let key = ClaimKey::new("saltworks", &key).unwrap();
        (key.into_string(), created_at)
    }

    fn call(&mut self, router: usize, key: String, body: u64) -> CallId {
        let call = self.next_call;
        self.next_call += 1;
        self.oracle.record_call(call, &key, body);
        let request = ClaimRequest {
            key,
            body_hash: StableHash(body),
            router: format!("router-{router}"),
            attempt_id: call,
            wait_ms: claim_wait(),
        };
        let now = self.routers[router].local_time(self.now);
        let mut entry = EntryCall::new(request, now);
        let step = entry.client.start();
        self.routers[router].entries.insert(call, entry);
        self.handle_claim_step(router, call, step);
        call
    }

    fn owners_of(&self, key: &str) -> [Option<usize>; 2] {
        let names = (0..ROUTERS as u64).map(StableHash);
        ClaimBucket::of_key(key, BUCKETS).owner_candidates(names)
    }

    fn handle_claim_step(&mut self, router: usize, call: CallId, step: ClaimStep) {
        let now = self.routers[router].local_time(self.now);
        let Some(entry) = self.routers[router].entries.get_mut(&call) else {
            return;
        };
        match step {
            ClaimStep::Ask { candidate, .. } => {
                let request = entry.client.request(now);
                let to = self.owners_of(&request.key)[candidate].unwrap();
                self.send_message(router, to, None, Message::Claim { call, request });
            }
            ClaimStep::Send { fencing } => {
                self.oracle.record_send(call, fencing);
                entry.start_sending(now);
            }
            ClaimStep::Replay(answer) => {
                self.oracle.record_answer(call, &answer.body.unwrap());
            }
            ClaimStep::Finish { outcome, release } => {
                self.oracle.record_outcome(call, outcome);
                if release {
                    self.report(router, call, ClaimOutcome::NotRun);
                }
            }
            ClaimStep::Release => self.report(router, call, ClaimOutcome::NotRun),
            ClaimStep::Ignore => {}
        }
    }

    fn report(&mut self, router: usize, call: CallId, outcome: ClaimOutcome) {
        let now = self.routers[router].local_time(self.now);
        let router = &mut self.routers[router];
        if let Some(entry) = router.entries.get(&call) {
            router.reports.add(entry.client.report(outcome), now);
        }
    }

    fn send_message(&mut self, from: usize, to: usize, incarnation: Option<u64>, message: Message) {
        self.messages.push(QueuedMessage {
            from,
            to,
            incarnation,
            message,
        });
    }

    fn deliver(&mut self, choices: &mut ChoiceSource<'_>) {
        if self.messages.is_empty() {
            return;
        }
        let index = choices.pick(self.messages.len());
        if self.routers[self.messages[index].to].is_paused {
            return;
        }
        let is_result = matches!(self.messages[index].message, Message::StoreResult { .. });
        let queued = if !is_result && choices.chance(5) {
            self.messages[index].clone()
        } else {
            self.messages.swap_remove(index)
        };
        self.handle_message(queued);
    }

    fn handle_message(&mut self, queued: QueuedMessage) {
        let QueuedMessage {
            from,
            to,
            incarnation,
            message,
        } = queued;
        if incarnation.is_some_and(|expected| expected != self.routers[to].incarnation) {
            return;
        }
        let now = self.routers[to].local_time(self.now);
        match message {
            Message::Claim { call, request } => {
                let message_id = self.register_message(from, to, MessageOrigin::Claim(call));
                let actions = self.routers[to]
                    .coordinator
                    .handle_claim(message_id, request, now);
                self.handle_actions(to, actions);
            }
            Message::Report { id, report } => {
                let is_answer = matches!(report.outcome, ClaimOutcome::Answered(_));
                let origin = MessageOrigin::Report(id, report.attempt_id, is_answer);
                let message_id = self.register_message(from, to, origin);
                let actions = self.routers[to]
                    .coordinator
                    .handle_report(message_id, report, now);
                self.handle_actions(to, actions);
            }
            Message::ClaimReply { call, reply } => {
                let event = ClaimEvent::Reply(reply);
                self.handle_claim_event(to, call, event);
            }
            Message::ReportReply {
                id,
                call,
                reply,
                is_answer,
            } => {
                if is_answer && reply == ReportReply::Recorded {
                    self.oracle.record_stored_answer(call);
                }
                self.routers[to].reports.handle_reply(id, Some(reply), now);
            }
            Message::StoreResult { id, reply } => {
                let actions = self.routers[to]
                    .coordinator
                    .handle_store_reply(id, reply, now);
                self.handle_actions(to, actions);
            }
        }
    }

    fn register_message(
        &mut self,
        sender: usize,
        receiver: usize,
        origin: MessageOrigin,
    ) -> ClaimMessageId {
        let message_id = ClaimMessageId(self.next_message_id);
        self.next_message_id += 1;
        let pending = PendingReply {
            receiver,
            sender,
            incarnation: self.routers[sender].incarnation,
            origin,
        };
        self.pending_replies.insert(message_id, pending);
        message_id
    }

    fn handle_claim_event(&mut self, router: usize, call: CallId, event: ClaimEvent) {
        let now = self.routers[router].local_time(self.now);
        if let Some(entry) = self.routers[router].entries.get_mut(&call) {
            let step = entry.client.handle(event, now);
            self.handle_claim_step(router, call, step);
        }
    }

    fn handle_actions(&mut self, router: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Call { id, call } => {
                    let incarnation = self.routers[router].incarnation;
                    self.store_calls.push((router, incarnation, id, call));
                }
                ClaimAction::Reply { message_id, reply } => {
                    let pending = self
                        .pending_replies
                        .remove(&message_id)
                        .expect("message already has a reply");
                    let MessageOrigin::Claim(call) = pending.origin else {
                        panic!("report got a claim reply");
                    };
                    let message = Message::ClaimReply { call, reply };
                    self.send_message(router, pending.sender, Some(pending.incarnation), message);
                }
                ClaimAction::Acknowledge { message_id, reply } => {
                    let pending = self
                        .pending_replies
                        .remove(&message_id)
                        .expect("message already has a reply");
                    let MessageOrigin::Report(id, call, is_answer) = pending.origin else {
                        panic!("claim got a report reply");
                    };
                    let message = Message::ReportReply {
                        id,
                        call,
                        reply,
                        is_answer,
                    };
                    self.send_message(router, pending.sender, Some(pending.incarnation), message);
                }
            }
        }
    }

    fn finish_store_call(&mut self, index: usize, outcome: CallOutcome) {
        let (router, incarnation, id, call) = self.store_calls.swap_remove(index);
        let reply = self.store.call(call, outcome);
        let message = Message::StoreResult { id, reply };
        self.send_message(router, router, Some(incarnation), message);
    }

    fn advance_time(&mut self, choices: &mut ChoiceSource<'_>) {
        let millis = match choices.pick(80) {
            0 => 12_000,
            1..4 => 700,
            _ => choices.pick(40) as u64,
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
        let now = self.routers[router].local_time(self.now);
        let actions = self.routers[router].coordinator.tick(now);
        self.handle_actions(router, actions);
        let entries = self.routers[router].entries.iter();
        let overdue = entries.filter(|(_, entry)| now >= entry.client.deadline());
        let overdue: Vec<CallId> = overdue.map(|(&call, _)| call).collect();
        for call in overdue {
            self.handle_claim_event(router, call, ClaimEvent::Cancelled);
        }
        for due in self.routers[router].reports.take_due(now) {
            let to = self.owners_of(&due.report.key)[due.candidate].unwrap();
            let message = Message::Report {
                id: due.id,
                report: due.report,
            };
            self.send_message(router, to, None, message);
        }
    }

    /// Selects what happens to a call that was sent to the target.
    fn run_target(&mut self, choices: &mut ChoiceSource<'_>) {
        let sent = self.sent_calls();
        if sent.is_empty() {
            return;
        }
        let (router, call) = sent[choices.pick(sent.len())];
        match choices.pick(8) {
            0 => self.handle_attempt_event(router, call, AttemptEvent::ConnectFailed, None),
            1 => self.handle_attempt_event(
                router,
                call,
                AttemptEvent::Refused { not_run: true },
                None,
            ),
            2 => {
                self.oracle.record_run(call);
                self.handle_attempt_event(router, call, AttemptEvent::SendFailed, None);
            }
            3 => self.handle_attempt_event(router, call, AttemptEvent::SendFailed, None),
            4 => {
                self.delayed_runs.push(call);
                self.handle_attempt_event(router, call, AttemptEvent::DeadlinePassed, None);
            }
            _ => {
                let answer = self.oracle.record_run(call);
                self.handle_attempt_event(router, call, AttemptEvent::Completed, Some(answer));
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

    fn handle_attempt_event(
        &mut self,
        router: usize,
        call: CallId,
        event: AttemptEvent,
        answer: Option<Bytes>,
    ) {
        let now = self.routers[router].local_time(self.now);
        let entry = self.routers[router].entries.get_mut(&call).unwrap();
        let machine = entry.machine.as_mut().unwrap();
        let RetryStep::Finish(outcome) = machine.handle(event, now, &mut NoRetryLimit) else {
            return;
        };
        let report = match (outcome, answer) {
            (RequestOutcome::Answered, Some(answer)) => {
                self.oracle.record_answer(call, &answer);
                ClaimOutcome::Answered(ClaimAnswer {
                    status: 200,
                    content_type: None,
                    body: Some(answer),
                })
            }
            (RequestOutcome::NotRun(_), _) => {
                self.oracle.record_not_run(call);
                self.oracle.record_outcome(call, outcome);
                ClaimOutcome::NotRun
            }
            _ => {
                self.oracle.record_outcome(call, outcome);
                ClaimOutcome::Unknown
            }
        };
        self.report(router, call, report);
    }

    pub(crate) const fn segments_written(&self) -> u64 {
        self.store.segments_written
    }
}
