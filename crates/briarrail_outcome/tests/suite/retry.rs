//! Retry decisions, against an oracle that knows what each target did.

use briarrail_model::{CallSemantics, MilliTime};
use briarrail_outcome::{
    AttemptEvent, NoRetryLimit, NotRunReason, RequestOutcome, RetryMachine, RetryPolicy, RetryStep,
    UnknownReason,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DEADLINE: MilliTime = MilliTime::from_millis(1_000);
const SEEDS: u64 = 20_000;

fn machine(semantics: CallSemantics, attempts: u32) -> RetryMachine {
    RetryMachine::new(RetryPolicy::new(semantics, DEADLINE).with_max_attempts(attempts))
}

fn steps(semantics: CallSemantics, events: &[AttemptEvent]) -> String {
    let mut machine = machine(semantics, 4);
    let now = MilliTime::default();
    let mut lines = vec![format!("start -> {:?}", machine.start(now))];
    for &event in events {
        let step = machine.handle(event, now, &mut NoRetryLimit);
        lines.push(format!("{event:?} -> {step:?}"));
    }
    lines.join("\n")
}

#[test]
fn steps_of_an_idempotent_call() {
    let events = [
        AttemptEvent::ConnectFailed,
        AttemptEvent::SendFailed,
        AttemptEvent::HeadReceived,
        AttemptEvent::BodyBroken { resume_at: Some(7) },
        AttemptEvent::BodyBroken { resume_at: Some(7) },
    ];
    insta::assert_snapshot!(steps(CallSemantics::Idempotent, &events));
}

#[test]
fn steps_of_an_at_most_once_call() {
    let events = [
        AttemptEvent::ConnectFailed,
        AttemptEvent::SendFailed,
        AttemptEvent::ConnectFailed,
    ];
    insta::assert_snapshot!(steps(CallSemantics::AtMostOnce, &events));
}

#[test]
fn an_at_most_once_answer_that_breaks_is_unknown() {
    let events = [
        AttemptEvent::HeadReceived,
        AttemptEvent::BodyBroken { resume_at: Some(3) },
    ];
    insta::assert_snapshot!(steps(CallSemantics::AtMostOnce, &events));
}

#[test]
fn an_empty_allowance_stops_retries() {
    let mut machine = machine(CallSemantics::Idempotent, 4);
    machine.start(MilliTime::default());
    let step = machine.handle(
        AttemptEvent::ConnectFailed,
        MilliTime::default(),
        &mut || false,
    );
    let outcome = RequestOutcome::NotRun(NotRunReason::Unreachable);
    assert_eq!(step, RetryStep::Finish(outcome));
}

#[test]
fn a_deadline_in_flight_is_unknown_and_before_the_start_is_not_run() {
    let mut sent = machine(CallSemantics::AtMostOnce, 1);
    sent.start(MilliTime::default());
    let step = sent.handle(AttemptEvent::DeadlinePassed, DEADLINE, &mut NoRetryLimit);
    let unknown = RequestOutcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(step, RetryStep::Finish(unknown));

    let step = machine(CallSemantics::AtMostOnce, 1).start(DEADLINE);
    let not_run = RequestOutcome::NotRun(NotRunReason::DeadlinePassed);
    assert_eq!(step, RetryStep::Finish(not_run));
}

/// What the oracle knows of one request.
#[derive(Default)]
struct RunLedger {
    sends: u32,
    runs: u32,
    has_begun: bool,
}

fn draw_event(rng: &mut SmallRng, ledger: &mut RunLedger) -> AttemptEvent {
    match rng.random_range(0..9) {
        0 => AttemptEvent::ConnectFailed,
        1 => AttemptEvent::NoTarget,
        2 => AttemptEvent::Refused { not_run: true },
        kind => {
            ledger.sends += 1;
            ledger.runs += u32::from(rng.random::<bool>());
            match kind {
                3 => AttemptEvent::SendFailed,
                4 => AttemptEvent::Refused { not_run: false },
                5 => AttemptEvent::BadAnswer,
                6 => AttemptEvent::DeadlinePassed,
                _ => AttemptEvent::HeadReceived,
            }
        }
    }
}

fn draw_body_event(rng: &mut SmallRng) -> AttemptEvent {
    match rng.random_range(0..4) {
        0 => AttemptEvent::Completed,
        1 => AttemptEvent::DeadlinePassed,
        2 => AttemptEvent::BodyBroken { resume_at: None },
        _ => AttemptEvent::BodyBroken {
            resume_at: Some(rng.random_range(0..4)),
        },
    }
}

/// Plays one request; targets run it with even odds whenever bytes were sent.
fn play(seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let is_once = rng.random::<bool>();
    let semantics = if is_once {
        CallSemantics::AtMostOnce
    } else {
        CallSemantics::Idempotent
    };
    let mut machine = machine(semantics, rng.random_range(1..5));
    let mut ledger = RunLedger::default();
    let mut step = machine.start(MilliTime::default());
    let mut count = 0;
    loop {
        count += 1;
        assert!(count < 100, "seed {seed}: the request does not end");
        let event = match step {
            RetryStep::Finish(outcome) => {
                check_end(seed, outcome, &ledger, is_once);
                return count;
            }
            RetryStep::Relay => {
                ledger.has_begun = true;
                draw_body_event(&mut rng)
            }
            RetryStep::Send { .. } => {
                assert!(!ledger.has_begun, "seed {seed}: a begun answer starts anew");
                draw_event(&mut rng, &mut ledger)
            }
            RetryStep::Resume { .. } => {
                assert!(!is_once, "seed {seed}: an at-most-once call is resumed");
                draw_event(&mut rng, &mut ledger)
            }
        };
        step = machine.handle(event, MilliTime::default(), &mut NoRetryLimit);
    }
}

fn check_end(seed: u64, outcome: RequestOutcome, ledger: &RunLedger, is_once: bool) {
    if matches!(outcome, RequestOutcome::NotRun(_)) {
        assert_eq!(ledger.runs, 0, "seed {seed}: told not run, but run");
    }
    if is_once {
        assert!(ledger.sends <= 1, "seed {seed}: sent {}", ledger.sends);
    }
}

#[test]
fn outcomes_are_true_for_all_seeds() {
    let steps: u64 = (0..SEEDS).map(play).sum();
    println!("retry: {SEEDS} fixed seeds, {steps} steps");
}

fn free_steps(semantics: CallSemantics, events: &[AttemptEvent]) -> String {
    let plan = RetryPolicy::new(semantics, DEADLINE).with_uncounted_retries(2);
    let mut machine = RetryMachine::new(plan);
    let now = MilliTime::default();
    let mut lines = vec![format!("start -> {:?}", machine.start(now))];
    for &event in events {
        let step = machine.handle(event, now, &mut NoRetryLimit);
        lines.push(format!("{event:?} -> {step:?}"));
    }
    lines.join("\n")
}

#[test]
fn targets_that_did_not_run_a_call_cost_no_attempt() {
    let refused = AttemptEvent::Refused { not_run: true };
    let events = [AttemptEvent::ConnectFailed, refused, refused];
    insta::assert_snapshot!(free_steps(CallSemantics::AtMostOnce, &events));
}

#[test]
fn a_call_that_may_have_run_moves_no_more() {
    let refused = AttemptEvent::Refused { not_run: true };
    let events = [refused, AttemptEvent::SendFailed];
    insta::assert_snapshot!(free_steps(CallSemantics::AtMostOnce, &events));
}

#[test]
fn a_refusal_that_may_be_repeated_still_takes_from_the_allowance() {
    let plan = RetryPolicy::new(CallSemantics::Idempotent, DEADLINE).with_uncounted_retries(2);
    let mut machine = RetryMachine::new(plan);
    let now = MilliTime::default();
    machine.start(now);
    let refused = AttemptEvent::Refused { not_run: true };
    let step = machine.handle(refused, now, &mut || false);
    let outcome = RequestOutcome::NotRun(NotRunReason::TargetRefused);
    assert_eq!(step, RetryStep::Finish(outcome));
}
