//! The reply to the caller for each outcome.

use briarrail_outcome::{NotRunReason, OutcomeReply, RequestOutcome, UnknownReason};

const NOT_RUN: [NotRunReason; 13] = [
    NotRunReason::BadRequest,
    NotRunReason::NoRoute,
    NotRunReason::NoTarget,
    NotRunReason::Overloaded,
    NotRunReason::TargetRefused,
    NotRunReason::Unreachable,
    NotRunReason::DeadlinePassed,
    NotRunReason::ClaimUnavailable,
    NotRunReason::KeyReused,
    NotRunReason::KeyMissing,
    NotRunReason::KeyExpired,
    NotRunReason::KeyInvalid,
    NotRunReason::Stopping,
];

const UNKNOWN: [UnknownReason; 5] = [
    UnknownReason::ConnectionLost,
    UnknownReason::DeadlinePassed,
    UnknownReason::BadAnswer,
    UnknownReason::TargetFailed,
    UnknownReason::EarlierCall,
];

#[test]
fn replies_of_all_outcomes() {
    let not_run = NOT_RUN.map(RequestOutcome::NotRun);
    let unknown = UNKNOWN.map(RequestOutcome::Unknown);
    let outcomes = [RequestOutcome::Answered].into_iter().chain(not_run);
    let lines = outcomes.chain(unknown).map(|outcome| {
        let reply = OutcomeReply::from(outcome);
        let body = String::from_utf8(reply.body.to_vec()).unwrap();
        let retry_after = reply.retry_after_s;
        format!(
            "{} {} {retry_after:?}\n  {body}\n",
            reply.status, reply.outcome
        )
    });
    insta::assert_snapshot!(lines.collect::<String>());
}

#[test]
fn an_incomplete_stream_ends_with_an_error_event() {
    let reply = OutcomeReply::from(RequestOutcome::Unknown(UnknownReason::ConnectionLost));
    insta::assert_snapshot!(String::from_utf8(reply.error_event().to_vec()).unwrap());
}
