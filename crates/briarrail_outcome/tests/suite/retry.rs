//! Retry decisions, checked against a model that knows what each target did.

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

fn trace_steps(semantics: CallSemantics, events: &[AttemptEvent]) -> String {
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
    insta::assert_snapshot!(trace_steps(CallSemantics::Idempotent, &events));
}

#[test]
fn steps_of_an_at_most_once_call() {
    let events = [
        AttemptEvent::ConnectFailed,
        AttemptEvent::SendFailed,
        AttemptEvent::ConnectFailed,
    ];
    insta::assert_snapshot!(trace_steps(CallSemantics::AtMostOnce, &events));
}

#[test]
fn an_interrupted_at_most_once_response_is_unknown() {
    let events = [
        AttemptEvent::HeadReceived,
        AttemptEvent::BodyBroken { resume_at: Some(3) },
    ];
    insta::assert_snapshot!(trace_steps(CallSemantics::AtMostOnce, &events));
}

#[test]
fn an_exhausted_limiter_stops_retries() {
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
fn deadline_is_unknown_in_flight_and_not_run_before_the_start() {
    let mut sent = machine(CallSemantics::AtMostOnce, 1);
    sent.start(MilliTime::default());
    let step = sent.handle(AttemptEvent::DeadlinePassed, DEADLINE, &mut NoRetryLimit);
    let unknown = RequestOutcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(step, RetryStep::Finish(unknown));

    let step = machine(CallSemantics::AtMostOnce, 1).start(DEADLINE);
    let not_run = RequestOutcome::NotRun(NotRunReason::DeadlinePassed);
    assert_eq!(step, RetryStep::Finish(not_run));
}

#[test]
fn steps_of_a_silent_target_that_is_kept() {
    let silent = |resume_at| AttemptEvent::TargetSilent { resume_at };
    let refused = AttemptEvent::Refused { not_run: true };
    let idempotent = [
        silent(None),
        refused,
        AttemptEvent::HeadReceived,
        silent(Some(7)),
        AttemptEvent::NoTarget,
        silent(Some(7)),
        AttemptEvent::BodyBroken { resume_at: Some(7) },
    ];
    let not_resumable = [AttemptEvent::HeadReceived, silent(None)];
    insta::assert_snapshot!(
        [
            trace_steps(CallSemantics::Idempotent, &idempotent),
            trace_steps(CallSemantics::Idempotent, &not_resumable),
            trace_steps(CallSemantics::AtMostOnce, &[silent(None)]),
        ]
        .join("\n\n")
    );
}

/// Guards against a stream that is cut because no other target takes it from a silent one.
#[test]
fn a_failed_attempt_beside_a_silent_target_does_not_end_the_request() {
    let now = MilliTime::default();
    let failures = [
        AttemptEvent::NoTarget,
        AttemptEvent::ConnectFailed,
        AttemptEvent::SendFailed,
        AttemptEvent::BadAnswer,
        AttemptEvent::Refused { not_run: true },
        AttemptEvent::Refused { not_run: false },
    ];
    for failure in failures {
        let start = || {
            let mut machine = machine(CallSemantics::Idempotent, 2);
            machine.start(now);
            machine.handle(AttemptEvent::HeadReceived, now, &mut NoRetryLimit);
            let silent = AttemptEvent::TargetSilent { resume_at: Some(3) };
            let step = machine.handle(silent, now, &mut NoRetryLimit);
            assert!(matches!(step, RetryStep::Resume { offset: 3, .. }));
            machine
        };
        let mut kept = start();
        let step = kept.handle(failure, now, &mut NoRetryLimit);
        assert_eq!(step, RetryStep::KeepTarget, "{failure:?}");
        assert_eq!(kept.outcome(), None, "{failure:?}");
        let did_not_run = matches!(
            failure,
            AttemptEvent::NoTarget
                | AttemptEvent::ConnectFailed
                | AttemptEvent::Refused { not_run: true }
        );
        assert_eq!(kept.may_leave_target(Some(3), now), did_not_run);
        let step = kept.handle(AttemptEvent::Completed, now, &mut NoRetryLimit);
        assert_eq!(step, RetryStep::Finish(RequestOutcome::Answered));

        let mut left = start();
        left.leave_silent_target();
        let step = left.handle(failure, now, &mut NoRetryLimit);
        let is_unknown = matches!(step, RetryStep::Finish(RequestOutcome::Unknown(_)));
        assert!(is_unknown, "{failure:?}: {step:?}");
    }
}

#[test]
fn a_silent_target_is_kept_without_a_permit_and_ends_with_the_deadline() {
    let mut machine = machine(CallSemantics::Idempotent, 4);
    let now = MilliTime::default();
    machine.start(now);
    let silent = AttemptEvent::TargetSilent { resume_at: None };
    let step = machine.handle(silent, now, &mut || false);
    assert_eq!(step, RetryStep::KeepTarget);
    let step = machine.handle(silent, now, &mut NoRetryLimit);
    assert_eq!(step, RetryStep::Send { attempt: 2 });
    let step = machine.handle(AttemptEvent::DeadlinePassed, DEADLINE, &mut NoRetryLimit);
    let outcome = RequestOutcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(step, RetryStep::Finish(outcome));
}

/// Guards against an end of the request while its silent target may still answer, because too little
/// time is left to ask another one.
#[test]
fn a_silent_target_keeps_the_request_if_no_time_is_left_for_another_attempt() {
    let mut machine = machine(CallSemantics::Idempotent, 4);
    let now = MilliTime::default();
    machine.start(now);
    let silent = AttemptEvent::TargetSilent { resume_at: None };
    machine.handle(silent, now, &mut NoRetryLimit);
    let step = machine.handle(AttemptEvent::DeadlinePassed, now, &mut NoRetryLimit);
    assert_eq!(step, RetryStep::KeepTarget);
    assert_eq!(machine.outcome(), None);
}

/// Guards against a withdrawn attempt that leaves a stream at a silent target for good, and against
/// more targets than the policy allows.
#[test]
fn a_withdrawn_target_is_asked_again_without_a_further_attempt() {
    let now = MilliTime::default();
    let silent = AttemptEvent::TargetSilent { resume_at: Some(3) };
    let mut machine = machine(CallSemantics::Idempotent, 2);
    machine.start(now);
    machine.handle(AttemptEvent::HeadReceived, now, &mut NoRetryLimit);
    assert!(!machine.must_return_next());
    machine.handle(silent, now, &mut NoRetryLimit);
    machine.withdraw_attempt();
    for _ in 0..3 {
        assert!(machine.may_leave_target(Some(3), now));
        assert!(machine.must_return_next());
        let step = machine.handle(silent, now, &mut NoRetryLimit);
        assert!(matches!(step, RetryStep::Resume { attempt: 2, .. }));
        assert!(machine.is_return());
        let refused = AttemptEvent::Refused { not_run: true };
        let step = machine.handle(refused, now, &mut NoRetryLimit);
        assert_eq!(step, RetryStep::KeepTarget);
        // The target may have run the request before it refused, so no further one may be asked.
        assert!(machine.must_return_next());
    }
    let broken = AttemptEvent::BodyBroken { resume_at: Some(3) };
    let step = machine.handle(broken, now, &mut NoRetryLimit);
    assert!(matches!(step, RetryStep::Resume { attempt: 2, .. }) && machine.is_return());
}

/// Guards against a stream that is cut although not all attempts were used: its silent target went on while
/// another one was being connected to.
#[test]
fn an_attempt_that_was_not_sent_is_left_after_its_silent_target_went_on() {
    let now = MilliTime::default();
    let silent = AttemptEvent::TargetSilent { resume_at: Some(3) };
    let mut machine = machine(CallSemantics::Idempotent, 3);
    machine.start(now);
    machine.handle(AttemptEvent::HeadReceived, now, &mut NoRetryLimit);
    machine.handle(silent, now, &mut NoRetryLimit);
    let step = machine.handle(AttemptEvent::SendFailed, now, &mut NoRetryLimit);
    assert!(matches!(step, RetryStep::Resume { attempt: 3, .. }));
    machine.keep_silent_target();
    let broken = AttemptEvent::BodyBroken { resume_at: Some(5) };
    let step = machine.handle(broken, now, &mut NoRetryLimit);
    assert!(
        matches!(step, RetryStep::Resume { attempt: 3, .. }),
        "{step:?}"
    );
}

/// Guards against a request that moves back and forth between two silent targets.
#[test]
fn a_target_that_was_left_is_asked_again_only_after_a_failure() {
    let now = MilliTime::default();
    let silent = AttemptEvent::TargetSilent { resume_at: None };
    let mut machine = machine(CallSemantics::Idempotent, 2);
    machine.start(now);
    machine.handle(silent, now, &mut NoRetryLimit);
    machine.leave_silent_target();
    machine.allow_return();
    assert!(!machine.may_leave_target(None, now));
    let step = machine.handle(AttemptEvent::SendFailed, now, &mut NoRetryLimit);
    assert_eq!(step, RetryStep::Send { attempt: 2 });
    assert!(machine.is_return());
}

/// Guards against a refusal that is reported as a possible run, because its target was silent before.
#[test]
fn a_request_did_not_run_if_the_silent_target_refuses_it() {
    let mut machine = machine(CallSemantics::Idempotent, 4);
    let now = MilliTime::default();
    machine.start(now);
    let silent = AttemptEvent::TargetSilent { resume_at: None };
    let step = machine.handle(silent, now, &mut || false);
    assert_eq!(step, RetryStep::KeepTarget);
    let refused = AttemptEvent::Refused { not_run: true };
    let step = machine.handle(refused, now, &mut || false);
    let outcome = RequestOutcome::NotRun(NotRunReason::TargetRefused);
    assert_eq!(step, RetryStep::Finish(outcome));
}

/// Sends and runs of one request, as the targets saw them.
#[derive(Default)]
struct TargetObservations {
    sends: u32,
    runs: u32,
    response_started: bool,
}

fn random_send_event(rng: &mut SmallRng, observed: &mut TargetObservations) -> AttemptEvent {
    match rng.random_range(0..10) {
        0 => AttemptEvent::ConnectFailed,
        1 => AttemptEvent::NoTarget,
        2 => AttemptEvent::Refused { not_run: true },
        kind => {
            observed.sends += 1;
            observed.runs += u32::from(rng.random::<bool>());
            match kind {
                3 => AttemptEvent::SendFailed,
                4 => AttemptEvent::Refused { not_run: false },
                5 => AttemptEvent::BadAnswer,
                6 => AttemptEvent::DeadlinePassed,
                7 => AttemptEvent::TargetSilent { resume_at: None },
                _ => AttemptEvent::HeadReceived,
            }
        }
    }
}

fn random_body_event(rng: &mut SmallRng) -> AttemptEvent {
    match rng.random_range(0..5) {
        0 => AttemptEvent::Completed,
        1 => AttemptEvent::DeadlinePassed,
        2 => AttemptEvent::TargetSilent {
            resume_at: Some(rng.random_range(0..4)),
        },
        3 => AttemptEvent::BodyBroken { resume_at: None },
        _ => AttemptEvent::BodyBroken {
            resume_at: Some(rng.random_range(0..4)),
        },
    }
}

/// Simulates one request and returns its number of steps.
///
/// Whenever bytes were sent, the target runs the request with a probability of 1/2.
fn simulate_request(seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let is_at_most_once = rng.random::<bool>();
    let semantics = if is_at_most_once {
        CallSemantics::AtMostOnce
    } else {
        CallSemantics::Idempotent
    };
    let mut machine = machine(semantics, rng.random_range(1..5));
    let mut observed = TargetObservations::default();
    let mut step = machine.start(MilliTime::default());
    let mut count = 0;
    loop {
        count += 1;
        assert!(count < 100, "seed {seed}: the request does not finish");
        let event = match step {
            RetryStep::Finish(outcome) => {
                check_outcome(seed, outcome, &observed, is_at_most_once);
                return count;
            }
            RetryStep::Relay => {
                observed.response_started = true;
                random_body_event(&mut rng)
            }
            RetryStep::KeepTarget if observed.response_started => random_body_event(&mut rng),
            RetryStep::KeepTarget => match rng.random_range(0..3) {
                0 => AttemptEvent::DeadlinePassed,
                1 => AttemptEvent::SendFailed,
                _ => AttemptEvent::HeadReceived,
            },
            RetryStep::Send { .. } => {
                assert!(
                    !observed.response_started,
                    "seed {seed}: a started response is sent again from the beginning"
                );
                random_send_event(&mut rng, &mut observed)
            }
            RetryStep::Resume { .. } => {
                assert!(
                    !is_at_most_once,
                    "seed {seed}: an at-most-once call was resumed"
                );
                random_send_event(&mut rng, &mut observed)
            }
        };
        step = machine.handle(event, MilliTime::default(), &mut NoRetryLimit);
    }
}

fn check_outcome(
    seed: u64,
    outcome: RequestOutcome,
    observed: &TargetObservations,
    is_at_most_once: bool,
) {
    if matches!(outcome, RequestOutcome::NotRun(_)) {
        assert_eq!(
            observed.runs, 0,
            "seed {seed}: reported as not run, but a target ran it"
        );
    }
    if is_at_most_once {
        assert!(
            observed.sends <= 1,
            "seed {seed}: sent {} times",
            observed.sends
        );
    }
}

#[test]
fn outcomes_match_what_targets_ran() {
    let steps: u64 = (0..SEEDS).map(simulate_request).sum();
    println!("retry: {SEEDS} fixed seeds, {steps} steps");
}

fn trace_with_uncounted_retries(semantics: CallSemantics, events: &[AttemptEvent]) -> String {
    let policy = RetryPolicy::new(semantics, DEADLINE).with_uncounted_retries(2);
    let mut machine = RetryMachine::new(policy);
    let now = MilliTime::default();
    let mut lines = vec![format!("start -> {:?}", machine.start(now))];
    for &event in events {
        let step = machine.handle(event, now, &mut NoRetryLimit);
        lines.push(format!("{event:?} -> {step:?}"));
    }
    lines.join("\n")
}

#[test]
fn targets_that_did_not_run_the_call_use_no_attempt() {
    let refused = AttemptEvent::Refused { not_run: true };
    let events = [AttemptEvent::ConnectFailed, refused, refused];
    insta::assert_snapshot!(trace_with_uncounted_retries(
        CallSemantics::AtMostOnce,
        &events
    ));
}

#[test]
fn an_at_most_once_call_that_may_have_run_is_not_retried() {
    let refused = AttemptEvent::Refused { not_run: true };
    let events = [refused, AttemptEvent::SendFailed];
    insta::assert_snapshot!(trace_with_uncounted_retries(
        CallSemantics::AtMostOnce,
        &events
    ));
}

#[test]
fn an_uncounted_retry_after_a_refusal_needs_a_permit() {
    let policy = RetryPolicy::new(CallSemantics::Idempotent, DEADLINE).with_uncounted_retries(2);
    let mut machine = RetryMachine::new(policy);
    let now = MilliTime::default();
    machine.start(now);
    let refused = AttemptEvent::Refused { not_run: true };
    let step = machine.handle(refused, now, &mut || false);
    let outcome = RequestOutcome::NotRun(NotRunReason::TargetRefused);
    assert_eq!(step, RetryStep::Finish(outcome));
}

/// Guards against requests that are refused because several targets were lost at once, which the list of
/// targets does not tell yet.
#[test]
fn lost_targets_do_not_use_up_the_retries_after_refusals() {
    let deadline = MilliTime::from_millis(1_000);
    let policy = RetryPolicy::new(CallSemantics::AtMostOnce, deadline)
        .with_uncounted_retries(1)
        .with_connect_retries(4);
    let mut machine = RetryMachine::new(policy);
    let now = MilliTime::from_millis(0);
    machine.start(now);
    let mut next = |event| machine.handle(event, now, &mut NoRetryLimit);
    for _ in 0..4 {
        let step = next(AttemptEvent::ConnectFailed);
        assert_eq!(step, RetryStep::Send { attempt: 1 });
    }
    let refusal = AttemptEvent::Refused { not_run: true };
    assert_eq!(next(refusal), RetryStep::Send { attempt: 1 });
    let outcome = RequestOutcome::NotRun(NotRunReason::Unreachable);
    assert_eq!(
        next(AttemptEvent::ConnectFailed),
        RetryStep::Finish(outcome)
    );
}
