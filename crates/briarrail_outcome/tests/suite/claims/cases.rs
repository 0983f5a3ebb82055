//! Cases of two owners at one store, one snapshot each.

use std::fmt::Write;

use briarrail_model::{MilliDuration, MilliTime, StableHash};
use briarrail_outcome::{
    ClaimAction, ClaimBucket, ClaimCoordinator, ClaimKey, ClaimMessageId, ClaimSettings, StoreCall,
    StoreCallId,
};
use briarrail_peer::{ClaimAnswer, ClaimOutcome, ClaimReport, ClaimRequest};
use bytes::Bytes;

use super::fake_store::{CallFate, FakeStore};

const EPOCH: MilliTime = MilliTime::from_millis(1_800_000_000_000);
const TICK: MilliDuration = MilliDuration::from_millis(10);

/// Two owners of one bucket at one store; every reply is logged.
struct CaseDesk {
    now: MilliTime,
    store: FakeStore,
    owners: [ClaimCoordinator; 2],
    /// Store calls of paused owners.
    held: Vec<(usize, StoreCallId, StoreCall)>,
    paused: [bool; 2],
    /// Lead of each owner's clock.
    leads: [MilliDuration; 2],
    next_fate: CallFate,
    next_message_id: u64,
    log: String,
}

impl CaseDesk {
    fn new() -> Self {
        let settings = ClaimSettings {
            buckets: 1,
            seal_bytes: 400,
            retention_ms: MilliDuration::from_secs(30),
            clock_skew_ms: MilliDuration::from_secs(1),
            ..ClaimSettings::default()
        };
        let owner = |writer| {
            let mut owner = ClaimCoordinator::new(settings.clone(), writer);
            owner.set_candidate_buckets(vec![ClaimBucket(0)]);
            owner
        };
        Self {
            now: EPOCH,
            store: FakeStore::default(),
            owners: [owner(1), owner(2)],
            held: Vec::new(),
            paused: [false; 2],
            leads: [MilliDuration::ZERO; 2],
            next_fate: CallFate::Good,
            next_message_id: 0,
            log: String::new(),
        }
    }

    fn note(&mut self, text: &str) {
        let at = self.now.since(EPOCH).as_millis();
        writeln!(self.log, "{at:>6} ms: {text}").unwrap();
    }

    fn local(&self, owner: usize) -> MilliTime {
        self.now + self.leads[owner]
    }

    fn key(name: &str, made_at: MilliTime) -> String {
        let mut random = [0; 10];
        random[..name.len()].copy_from_slice(name.as_bytes());
        let builder = uuid::Builder::from_unix_timestamp_millis(made_at.as_millis(), &random);
        let key = ClaimKey::new("saltworks", &builder.into_uuid().to_string());
        key.unwrap().into_string()
    }

    fn claim(&mut self, owner: usize, name: &str, attempt: u128) {
        self.claim_with(owner, name, attempt, 1, EPOCH);
    }

    fn claim_with(&mut self, owner: usize, name: &str, attempt: u128, body: u64, made: MilliTime) {
        self.note(&format!(
            "owner {owner} is asked for {name} by attempt {attempt}"
        ));
        let request = ClaimRequest {
            key: Self::key(name, made),
            body_hash: StableHash(body),
            router: "gongoni-1".into(),
            attempt_id: attempt,
            wait_ms: MilliDuration::from_millis(1_000),
        };
        self.next_message_id += 1;
        let message_id = ClaimMessageId(self.next_message_id);
        let now = self.local(owner);
        let actions = self.owners[owner].handle_claim(message_id, request, now);
        self.take(owner, actions);
    }

    fn report(&mut self, owner: usize, name: &str, attempt: u128, outcome: ClaimOutcome) {
        self.note(&format!(
            "owner {owner} gets {outcome:?} for {name} by attempt {attempt}"
        ));
        let report = ClaimReport {
            key: Self::key(name, EPOCH),
            attempt_id: attempt,
            outcome,
        };
        self.next_message_id += 1;
        let message_id = ClaimMessageId(self.next_message_id);
        let now = self.local(owner);
        let actions = self.owners[owner].handle_report(message_id, report, now);
        self.take(owner, actions);
    }

    fn take(&mut self, owner: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Call { id, call } if self.paused[owner] => {
                    self.held.push((owner, id, call));
                }
                ClaimAction::Call { id, call } => self.call(owner, id, call),
                ClaimAction::Reply { message_id, reply } => {
                    self.note(&format!(
                        "owner {owner}, ticket {}: {reply:?}",
                        message_id.0
                    ));
                }
                ClaimAction::Acknowledge { message_id, reply } => {
                    self.note(&format!(
                        "owner {owner}, ticket {}: {reply:?}",
                        message_id.0
                    ));
                }
            }
        }
    }

    fn call(&mut self, owner: usize, id: StoreCallId, call: StoreCall) {
        let fate = match &call {
            StoreCall::Put { .. } => std::mem::replace(&mut self.next_fate, CallFate::Good),
            _ => CallFate::Good,
        };
        let fate = if self.store.is_down {
            CallFate::Refused
        } else {
            fate
        };
        let reply = self.store.call(call, fate);
        let now = self.local(owner);
        let actions = self.owners[owner].handle_store_reply(id, reply, now);
        self.take(owner, actions);
    }

    /// Lets time pass for the owners that are not paused.
    fn pass(&mut self, millis: u64) {
        let end = self.now + MilliDuration::from_millis(millis);
        while self.now < end {
            self.now = self.now + TICK;
            for owner in 0..2 {
                if !self.paused[owner] {
                    let now = self.local(owner);
                    let actions = self.owners[owner].tick(now);
                    self.take(owner, actions);
                }
            }
        }
    }

    fn pause(&mut self, owner: usize) {
        self.note(&format!("owner {owner} pauses"));
        self.paused[owner] = true;
    }

    fn wake(&mut self, owner: usize) {
        self.note(&format!("owner {owner} wakes"));
        self.paused[owner] = false;
        for (owner, id, call) in std::mem::take(&mut self.held) {
            self.call(owner, id, call);
        }
    }

    /// Fills segments with claims that were released.
    fn fill(&mut self, owner: usize, first: u128) {
        for attempt in first..first + 6 {
            let name = format!("f{attempt}");
            self.claim(owner, &name, attempt);
            self.pass(300);
            self.report(owner, &name, attempt, ClaimOutcome::NotRun);
            self.pass(1_300);
        }
    }
}

fn answered() -> ClaimOutcome {
    ClaimOutcome::Answered(ClaimAnswer {
        status: 201,
        content_type: None,
        body: Some(Bytes::from_static(b"ticket 7")),
    })
}

#[test]
fn a_lost_confirmation_is_repeated() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.report(0, "a", 1, answered());
    desk.pass(2_000);
    desk.claim(1, "a", 2);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_retry_waits_while_the_first_is_in_flight() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.pass(300);
    desk.claim(1, "a", 2);
    desk.claim(0, "a", 3);
    desk.pass(100);
    desk.report(0, "a", 1, answered());
    desk.pass(1_200);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.claim_with(0, "a", 2, 2, EPOCH);
    desk.claim_with(1, "a", 3, 2, EPOCH);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_router_that_dies_after_the_claim_leaves_doubt() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.pass(500);
    desk.claim(1, "a", 2);
    desk.pass(1_000);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_paused_owner_that_wakes_changes_nothing() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "x", 9);
    desk.pass(500);
    desk.pause(0);
    desk.claim(0, "a", 1);
    desk.claim(1, "a", 2);
    desk.pass(500);
    desk.wake(0);
    desk.pass(1_000);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_lost_reply_after_the_write_is_found_in_the_head() {
    let mut desk = CaseDesk::new();
    desk.next_fate = CallFate::ReplyLost;
    desk.claim(0, "a", 1);
    desk.pass(500);
    desk.claim(1, "a", 2);
    desk.pass(1_000);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_store_outage_refuses_and_ends() {
    let mut desk = CaseDesk::new();
    desk.store.is_down = true;
    desk.claim(0, "a", 1);
    desk.pass(700);
    desk.claim(0, "b", 2);
    desk.store.is_down = false;
    desk.pass(600);
    desk.claim(0, "a", 3);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn a_slow_store_meets_the_deadline() {
    let mut desk = CaseDesk::new();
    desk.pause(0);
    desk.claim(0, "a", 1);
    desk.paused[0] = false;
    desk.pass(1_000);
    desk.wake(0);
    insta::assert_snapshot!(desk.log);
}

#[test]
fn an_expired_key_is_refused() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.pass(31_000);
    desk.claim(0, "a", 2);
    desk.claim(1, "a", 3);
    let ahead = desk.now + MilliDuration::from_secs(2);
    desk.claim_with(1, "b", 4, 1, ahead);
    insta::assert_snapshot!(desk.log);
}

/// What one owner has forgotten is refused by another whose clock is behind.
#[test]
fn a_forgotten_key_is_refused_by_an_owner_whose_clock_is_behind() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.pass(300);
    desk.report(0, "a", 1, answered());
    desk.pass(1_300);
    desk.fill(0, 100);
    desk.pass(4_000);
    desk.leads[0] = MilliDuration::from_secs(15);
    for attempt in 200..204 {
        let made = desk.now;
        desk.claim_with(0, &format!("g{attempt}"), attempt, 1, made);
        desk.pass(300);
    }
    desk.log.clear();
    desk.claim(1, "a", 2);
    desk.pass(1_000);
    insta::assert_snapshot!(desk.log);
}

/// An old release in memory must not outlive a grant that another owner sealed since.
#[test]
fn an_old_release_does_not_hide_a_grant_sealed_elsewhere() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.pass(300);
    desk.report(0, "a", 1, ClaimOutcome::NotRun);
    desk.pass(1_300);
    desk.fill(0, 100);
    desk.claim(1, "a", 2);
    desk.pass(300);
    desk.report(1, "a", 2, answered());
    desk.pass(1_300);
    desk.fill(1, 200);
    desk.log.clear();
    desk.claim(0, "a", 3);
    desk.pass(1_000);
    insta::assert_snapshot!(desk.log);
}

/// A repeat of a report is acknowledged only with the commit that records the first.
#[test]
fn a_repeated_report_waits_for_the_commit() {
    let mut desk = CaseDesk::new();
    desk.claim(0, "a", 1);
    desk.pass(300);
    desk.report(0, "a", 1, answered());
    desk.report(0, "a", 1, answered());
    desk.next_fate = CallFate::Refused;
    desk.pass(1_010);
    desk.note("the write was refused");
    desk.pass(1_000);
    insta::assert_snapshot!(desk.log);
}
