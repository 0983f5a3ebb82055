//! Scenarios of two owners of one bucket, with a snapshot of the log of each.

use std::fmt::Write;

use briarrail_model::{MilliDuration, MilliTime, StableHash};
use briarrail_outcome::{
    ClaimAction, ClaimBucket, ClaimCoordinator, ClaimKey, ClaimMessageId, ClaimSettings, StoreCall,
    StoreCallId,
};
use briarrail_peer::{ClaimAnswer, ClaimOutcome, ClaimReport, ClaimRequest};
use bytes::Bytes;

use super::fake_store::{CallOutcome, FakeStore};

const EPOCH: MilliTime = MilliTime::from_millis(1_800_000_000_000);
const TICK: MilliDuration = MilliDuration::from_millis(10);

/// Two owners of one bucket that share a store; logs all messages and replies.
struct TwoOwnerHarness {
    now: MilliTime,
    store: FakeStore,
    owners: [ClaimCoordinator; 2],
    /// Store calls of paused owners, made when one resumes.
    held_calls: Vec<(usize, StoreCallId, StoreCall)>,
    paused: [bool; 2],
    /// Lead of each owner's clock over simulated time.
    clock_leads: [MilliDuration; 2],
    next_write_outcome: CallOutcome,
    next_message_id: u64,
    log: String,
}

impl TwoOwnerHarness {
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
            held_calls: Vec::new(),
            paused: [false; 2],
            clock_leads: [MilliDuration::ZERO; 2],
            next_write_outcome: CallOutcome::Success,
            next_message_id: 0,
            log: String::new(),
        }
    }

    fn log_event(&mut self, text: &str) {
        let at = self.now.since(EPOCH).as_millis();
        writeln!(self.log, "{at:>6} ms: {text}").unwrap();
    }

    fn local_time(&self, owner: usize) -> MilliTime {
        self.now + self.clock_leads[owner]
    }

    fn key(name: &str, created_at: MilliTime) -> String {
        let mut random = [0; 10];
        random[..name.len()].copy_from_slice(name.as_bytes());
        let builder = uuid::Builder::from_unix_timestamp_millis(created_at.as_millis(), &random);
        let key = ClaimKey::new("saltworks", &builder.into_uuid().to_string());
        key.unwrap().into_string()
    }

    fn claim(&mut self, owner: usize, name: &str, attempt: u128) {
        self.claim_with(owner, name, attempt, 1, EPOCH);
    }

    fn claim_with(
        &mut self,
        owner: usize,
        name: &str,
        attempt: u128,
        body: u64,
        created_at: MilliTime,
    ) {
        self.log_event(&format!(
            "owner {owner} receives a claim on {name} from attempt {attempt}"
        ));
        let request = ClaimRequest {
            key: Self::key(name, created_at),
            body_hash: StableHash(body),
            router: "gongoni-1".into(),
            attempt_id: attempt,
            wait_ms: MilliDuration::from_millis(1_000),
        };
        self.next_message_id += 1;
        let message_id = ClaimMessageId(self.next_message_id);
        let now = self.local_time(owner);
        let actions = self.owners[owner].handle_claim(message_id, request, now);
        self.handle_actions(owner, actions);
    }

    fn report(&mut self, owner: usize, name: &str, attempt: u128, outcome: ClaimOutcome) {
        self.log_event(&format!(
            "owner {owner} receives the report {outcome:?} on {name} from attempt {attempt}"
        ));
        let report = ClaimReport {
            key: Self::key(name, EPOCH),
            attempt_id: attempt,
            outcome,
        };
        self.next_message_id += 1;
        let message_id = ClaimMessageId(self.next_message_id);
        let now = self.local_time(owner);
        let actions = self.owners[owner].handle_report(message_id, report, now);
        self.handle_actions(owner, actions);
    }

    fn handle_actions(&mut self, owner: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Call { id, call } if self.paused[owner] => {
                    self.held_calls.push((owner, id, call));
                }
                ClaimAction::Call { id, call } => self.run_store_call(owner, id, call),
                ClaimAction::Reply { message_id, reply } => {
                    self.log_event(&format!(
                        "owner {owner} replies to message {}: {reply:?}",
                        message_id.0
                    ));
                }
                ClaimAction::Acknowledge { message_id, reply } => {
                    self.log_event(&format!(
                        "owner {owner} replies to message {}: {reply:?}",
                        message_id.0
                    ));
                }
            }
        }
    }

    fn run_store_call(&mut self, owner: usize, id: StoreCallId, call: StoreCall) {
        let outcome = match &call {
            StoreCall::Put { .. } => {
                std::mem::replace(&mut self.next_write_outcome, CallOutcome::Success)
            }
            _ => CallOutcome::Success,
        };
        let outcome = if self.store.is_down {
            CallOutcome::Refused
        } else {
            outcome
        };
        let reply = self.store.call(call, outcome);
        let now = self.local_time(owner);
        let actions = self.owners[owner].handle_store_reply(id, reply, now);
        self.handle_actions(owner, actions);
    }

    /// Advances the time and ticks the owners that are not paused.
    fn advance(&mut self, millis: u64) {
        let end = self.now + MilliDuration::from_millis(millis);
        while self.now < end {
            self.now = self.now + TICK;
            for owner in 0..2 {
                if !self.paused[owner] {
                    let now = self.local_time(owner);
                    let actions = self.owners[owner].tick(now);
                    self.handle_actions(owner, actions);
                }
            }
        }
    }

    fn pause(&mut self, owner: usize) {
        self.log_event(&format!("owner {owner} pauses"));
        self.paused[owner] = true;
    }

    fn resume(&mut self, owner: usize) {
        self.log_event(&format!("owner {owner} resumes"));
        self.paused[owner] = false;
        for (owner, id, call) in std::mem::take(&mut self.held_calls) {
            self.run_store_call(owner, id, call);
        }
    }

    /// Makes and releases enough claims that the owner writes segments.
    fn fill_segments(&mut self, owner: usize, first: u128) {
        for attempt in first..first + 6 {
            let name = format!("f{attempt}");
            self.claim(owner, &name, attempt);
            self.advance(300);
            self.report(owner, &name, attempt, ClaimOutcome::NotRun);
            self.advance(1_300);
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

/// The caller retries because the response to its first call was lost after the outcome was
/// recorded.
#[test]
fn a_retry_gets_the_recorded_answer() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.report(0, "a", 1, answered());
    harness.advance(2_000);
    harness.claim(1, "a", 2);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_retry_waits_while_the_first_attempt_is_in_flight() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.advance(300);
    harness.claim(1, "a", 2);
    harness.claim(0, "a", 3);
    harness.advance(100);
    harness.report(0, "a", 1, answered());
    harness.advance(1_200);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.claim_with(0, "a", 2, 2, EPOCH);
    harness.claim_with(1, "a", 3, 2, EPOCH);
    insta::assert_snapshot!(harness.log);
}

/// No outcome is ever reported if the entry router crashes after its claim was granted.
#[test]
fn a_claim_without_a_report_is_in_doubt() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.advance(500);
    harness.claim(1, "a", 2);
    harness.advance(1_000);
    insta::assert_snapshot!(harness.log);
}

/// The first owner is paused before its commit; the second commits a claim on the same key.
#[test]
fn a_resumed_owner_does_not_overwrite_a_newer_commit() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "x", 9);
    harness.advance(500);
    harness.pause(0);
    harness.claim(0, "a", 1);
    harness.claim(1, "a", 2);
    harness.advance(500);
    harness.resume(0);
    harness.advance(1_000);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_write_with_a_lost_reply_is_found_in_the_head() {
    let mut harness = TwoOwnerHarness::new();
    harness.next_write_outcome = CallOutcome::ReplyLost;
    harness.claim(0, "a", 1);
    harness.advance(500);
    harness.claim(1, "a", 2);
    harness.advance(1_000);
    insta::assert_snapshot!(harness.log);
}

/// Claims are granted again after the outage, also on a key that was refused during it.
#[test]
fn claims_are_refused_during_a_store_outage() {
    let mut harness = TwoOwnerHarness::new();
    harness.store.is_down = true;
    harness.claim(0, "a", 1);
    harness.advance(700);
    harness.claim(0, "b", 2);
    harness.store.is_down = false;
    harness.advance(600);
    harness.claim(0, "a", 3);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn a_claim_is_refused_in_time_if_the_store_is_slow() {
    let mut harness = TwoOwnerHarness::new();
    harness.pause(0);
    harness.claim(0, "a", 1);
    harness.paused[0] = false;
    harness.advance(1_000);
    harness.resume(0);
    insta::assert_snapshot!(harness.log);
}

#[test]
fn an_expired_key_is_refused() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.advance(31_000);
    harness.claim(0, "a", 2);
    harness.claim(1, "a", 3);
    let ahead = harness.now + MilliDuration::from_secs(2);
    harness.claim_with(1, "b", 4, 1, ahead);
    insta::assert_snapshot!(harness.log);
}

/// A key that one owner has expired must not be granted by another whose clock is behind.
#[test]
fn an_expired_key_is_refused_by_an_owner_whose_clock_is_behind() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.advance(300);
    harness.report(0, "a", 1, answered());
    harness.advance(1_300);
    harness.fill_segments(0, 100);
    harness.advance(4_000);
    harness.clock_leads[0] = MilliDuration::from_secs(15);
    for attempt in 200..204 {
        let created_at = harness.now;
        harness.claim_with(0, &format!("g{attempt}"), attempt, 1, created_at);
        harness.advance(300);
    }
    harness.log.clear();
    harness.claim(1, "a", 2);
    harness.advance(1_000);
    insta::assert_snapshot!(harness.log);
}

/// A cached release must not take precedence over a later grant that another owner has moved to
/// a segment.
#[test]
fn a_cached_release_does_not_hide_a_newer_grant_in_a_segment() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.advance(300);
    harness.report(0, "a", 1, ClaimOutcome::NotRun);
    harness.advance(1_300);
    harness.fill_segments(0, 100);
    harness.claim(1, "a", 2);
    harness.advance(300);
    harness.report(1, "a", 2, answered());
    harness.advance(1_300);
    harness.fill_segments(1, 200);
    harness.log.clear();
    harness.claim(0, "a", 3);
    harness.advance(1_000);
    insta::assert_snapshot!(harness.log);
}

/// A duplicate of a report is acknowledged only with the commit that records the first one.
#[test]
fn a_duplicate_report_waits_for_the_commit() {
    let mut harness = TwoOwnerHarness::new();
    harness.claim(0, "a", 1);
    harness.advance(300);
    harness.report(0, "a", 1, answered());
    harness.report(0, "a", 1, answered());
    harness.next_write_outcome = CallOutcome::Refused;
    harness.advance(1_010);
    harness.log_event("the store has refused the write");
    harness.advance(1_000);
    insta::assert_snapshot!(harness.log);
}
