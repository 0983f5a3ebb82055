//! Who gives way when the memory for callers is used up.

use briarrail_dispatch::{
    AnswerDecision, HolderKey, MemoryAccount, MemoryBudget, ReclaimCause, Reclaimed,
};
use briarrail_model::{MilliTime, hash_bytes};

const MEMORY_BYTES: f64 = 10e6;
const CONNECTIONS: usize = 8;
const BODY_BYTES: usize = 600_000;

fn at(millis: u64) -> MilliTime {
    MilliTime::from_millis(millis)
}

fn new_account() -> MemoryAccount {
    MemoryAccount::new(MemoryBudget::new(MEMORY_BYTES, CONNECTIONS))
}

/// Opens a connection whose body has grown to `received` of [`BODY_BYTES`] bytes.
fn open_body(account: &mut MemoryAccount, received: usize, now: MilliTime) -> HolderKey {
    let (key, _) = account.open(now).unwrap();
    account.begin_request(key, now);
    account.start_body(key, None, BODY_BYTES, now);
    account.grow_body(key, received, now).unwrap();
    account.record_arrival(key, received, now);
    key
}

#[test]
fn the_budget_divides_the_memory() {
    insta::assert_debug_snapshot!(MemoryBudget::new(112e6, 1_722), @r"
    MemoryBudget {
        body_bytes: 16800000,
        large_body_bytes: 14700000,
        lone_body_bytes: 33600000,
        customer_bytes: 12600000,
        answer_bytes: 11200000,
        connections: 1722,
    }
    ");
}

#[test]
fn a_body_without_progress_gives_way_although_it_is_nearly_whole() {
    let mut account = new_account();
    let silent = open_body(&mut account, BODY_BYTES - 1, at(0));
    let growing = open_body(&mut account, BODY_BYTES - 1, at(0));
    account.record_arrival(growing, BODY_BYTES + 2_000, at(1_500));
    let new = open_body(&mut account, 10_000, at(1_500));
    let reclaimed = account.grow_body(new, BODY_BYTES, at(1_500));
    let cause = ReclaimCause::Stalled;
    let holder = silent;
    assert_eq!(reclaimed, Ok(vec![Reclaimed { holder, cause }]));
    assert_eq!(account.held().body_bytes, 2 * BODY_BYTES - 1);
}

#[test]
fn a_body_that_has_just_begun_gives_way_to_one_that_is_nearly_whole() {
    let mut account = new_account();
    let nearly_whole = open_body(&mut account, 500_000, at(0));
    let begun = open_body(&mut account, 400_000, at(0));
    let latest = open_body(&mut account, 300_000, at(0));
    let displaced = account.grow_body(latest, 500_000, at(10));
    assert_eq!(displaced, Err(ReclaimCause::Displaced));
    let grown = account.grow_body(nearly_whole, BODY_BYTES, at(20));
    assert_eq!(grown, Ok(Vec::new()), "the displaced one has left room");
    assert!(account.grow_body(begun, BODY_BYTES, at(30)).is_ok());
}

#[test]
fn a_body_of_a_request_in_progress_never_gives_way() {
    let mut account = new_account();
    for _ in 0..2 {
        let key = open_body(&mut account, BODY_BYTES, at(0));
        assert_eq!(account.finish_body(key), BODY_BYTES);
    }
    let (key, _) = account.open(at(60_000)).unwrap();
    account.start_body(key, None, BODY_BYTES, at(60_000));
    let refused = account.grow_body(key, 200_000, at(60_000));
    assert_eq!(refused, Err(ReclaimCause::Displaced));
    account.release_body(None, BODY_BYTES);
    account.start_body(key, None, BODY_BYTES, at(60_000));
    let grown = account.grow_body(key, 200_000, at(60_000));
    assert_eq!(grown, Ok(Vec::new()));
}

#[test]
fn one_customer_leaves_room_for_the_others() {
    let mut account = new_account();
    let customers = [b"greedy", b"modest"].map(|name| Some(hash_bytes(name)));
    let mut grow = |customer, now| {
        let (key, _) = account.open(now).unwrap();
        account.start_body(key, customer, BODY_BYTES, now);
        let grown = account.grow_body(key, BODY_BYTES - 100_000, now);
        account.record_arrival(key, BODY_BYTES - 100_000, now);
        grown.is_ok()
    };
    assert!(grow(customers[0], at(0)));
    assert!(grow(customers[0], at(0)));
    assert!(!grow(customers[0], at(0)));
    assert!(!grow(customers[1], at(0)), "large bodies leave an eighth");
    assert!(grow(customers[1], at(1_000)), "stalled bodies give way");
}

#[test]
fn a_lone_body_may_exceed_the_budget_of_all() {
    let mut account = new_account();
    let (key, _) = account.open(at(0)).unwrap();
    account.start_body(key, None, 2_900_000, at(0));
    assert_eq!(account.grow_body(key, 2_900_000, at(0)), Ok(Vec::new()));
}

#[test]
fn the_reader_that_is_blocked_for_longest_is_closed_first() {
    let mut account = new_account();
    let mut readers = Vec::new();
    for index in 0..2 {
        let (key, _) = account.open(at(0)).unwrap();
        account.begin_request(key, at(0));
        assert!(account.try_buffer_answer(key, 500_000, at(0)));
        account.block_writes(key, at(100 + index));
        readers.push(key);
    }
    let (key, _) = account.open(at(0)).unwrap();
    let early = account.charge_answer(key, 5_000, at(500));
    assert_eq!(early, AnswerDecision::Wait(Vec::new()));
    let late = account.charge_answer(key, 5_000, at(2_000));
    let holder = readers[0];
    let cause = ReclaimCause::SlowReader;
    assert_eq!(
        late,
        AnswerDecision::Wait(vec![Reclaimed { holder, cause }])
    );
    let again = account.charge_answer(key, 5_000, at(2_000));
    assert_eq!(again, AnswerDecision::Wait(Vec::new()), "it is closing");
    account.close(holder);
    account.release_answer(holder, 500_000, at(2_001));
    assert_eq!(
        account.charge_answer(key, 5_000, at(2_001)),
        AnswerDecision::Charged
    );
}

#[test]
fn a_connection_that_was_never_served_is_closed_before_one_that_was() {
    let mut account = new_account();
    let mut keys = Vec::new();
    for index in 0..CONNECTIONS as u64 {
        let (key, _) = account.open(at(index)).unwrap();
        keys.push(key);
    }
    for &key in &keys[..2] {
        account.begin_request(key, at(10));
    }
    account.end_request(keys[1], at(20));
    let mut closed = Vec::new();
    while let Some((key, reclaimed)) = account.open(at(30)) {
        account.begin_request(key, at(30));
        closed.extend(reclaimed.map(|reclaimed| reclaimed.holder));
    }
    let expected: Vec<_> = keys[2..].iter().chain([&keys[1]]).copied().collect();
    assert_eq!(closed, expected);
    assert_eq!(account.held().connections, CONNECTIONS);
}

#[test]
fn a_slow_reader_leaves_its_target_to_others_only_if_it_occupies_one() {
    let mut account = new_account();
    let keys = [(); 2].map(|()| account.open(at(0)).unwrap().0);
    for key in keys {
        account.begin_request(key, at(0));
        assert!(account.try_buffer_answer(key, 5_000, at(0)));
        account.block_writes(key, at(10));
    }
    account.start_relay(keys[1]);
    assert_eq!(account.close_slow_relay(at(500)), None);
    let holder = keys[1];
    let cause = ReclaimCause::SlowReader;
    let closed = account.close_slow_relay(at(2_000));
    assert_eq!(closed, Some(Reclaimed { holder, cause }));
    assert_eq!(account.close_slow_relay(at(2_000)), None);
}

#[test]
fn the_window_of_a_caller_shrinks_as_others_fall_behind() {
    let mut account = new_account();
    let keys = [(); 3].map(|()| account.open(at(0)).unwrap().0);
    assert!(account.try_buffer_answer(keys[0], 300_000, at(0)));
    assert!(!account.is_behind(keys[0]));
    assert!(account.try_buffer_answer(keys[1], 600_000, at(0)));
    assert!(account.is_behind(keys[0]));
    assert!(!account.is_behind(keys[2]));
    account.release_answer(keys[1], 600_000, at(10));
    assert!(!account.is_behind(keys[0]));
}

#[test]
fn requests_that_do_not_get_on_give_their_places_to_new_connections() {
    let mut account = new_account();
    let unfinished = open_body(&mut account, 10, at(0));
    let reader = account.open(at(0)).unwrap().0;
    account.begin_request(reader, at(0));
    account.block_writes(reader, at(0));
    for _ in 2..CONNECTIONS {
        let (key, _) = account.open(at(0)).unwrap();
        account.begin_request(key, at(0));
    }
    assert_eq!(account.open(at(900)), None, "none is stalled yet");
    for (holder, cause) in [
        (unfinished, ReclaimCause::Unfinished),
        (reader, ReclaimCause::SlowReader),
    ] {
        let (key, reclaimed) = account.open(at(2_000)).unwrap();
        assert_eq!(reclaimed, Some(Reclaimed { holder, cause }));
        account.begin_request(key, at(2_000));
    }
    assert_eq!(account.open(at(2_000)), None, "all others get on");
}
