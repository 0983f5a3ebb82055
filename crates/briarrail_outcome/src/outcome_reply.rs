//! Responses that the router itself sends in place of a target's response.

use bytes::Bytes;
use serde::Serialize;

use crate::{NotRunReason, RequestOutcome, UnknownReason};

/// Response header that carries the outcome of a request.
pub const OUTCOME_HEADER: &str = "x-briarrail-outcome";
/// Response header with which a target states that it refused a request before running it.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header that carries the request id to a target, which echoes it in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const SHORT_RETRY_AFTER_S: u32 = 1;
const LONG_RETRY_AFTER_S: u32 = 2;

/// Tells a caller under which condition it may send a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// At once or after `Retry-After`, with the same idempotency key if there is one.
    Safe,
    /// Only after changing the request as the message says.
    AfterChange,
    /// Only with the same idempotency key; without a key the request may run twice.
    SameKeyOnly,
    /// The request was answered and needs no retry.
    Needless,
}

/// Status, headers and body of a response that the router generates for an outcome.
///
/// ```
/// use briarrail_outcome::{NotRunReason, OutcomeReply, RequestOutcome};
///
/// let reply = OutcomeReply::from(RequestOutcome::NotRun(NotRunReason::NoTarget));
/// assert_eq!((reply.status, reply.outcome, reply.retry_after_s), (503, "not_run", Some(1)));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutcomeReply {
    /// HTTP status.
    pub status: u16,
    /// Value of [`OUTCOME_HEADER`].
    pub outcome: &'static str,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// Body, `application/json`.
    pub body: Bytes,
}

#[derive(Serialize)]
struct ReplyBody {
    #[serde(flatten)]
    outcome: RequestOutcome,
    message: &'static str,
    send_again: RetryAdvice,
}

impl OutcomeReply {
    /// Sets the value of `Retry-After`, in seconds.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Adds a `detail` field, which describes the error, to the body.
    #[must_use]
    pub fn with_detail(mut self, detail: &str) -> Self {
        let body: Result<serde_json::Map<_, _>, _> = serde_json::from_slice(&self.body);
        let mut body = body.unwrap_or_default();
        body.insert("detail".to_owned(), detail.into());
        self.body = serde_json::to_vec(&body).unwrap_or_default().into();
        self
    }

    /// Returns the event that ends a stream which can't be completed.
    ///
    /// The caller must abort the transfer after it, so that no client takes the end of the body
    /// for a normal end.
    #[must_use]
    pub fn error_event(&self) -> Bytes {
        let body = String::from_utf8_lossy(&self.body);
        Bytes::from(format!("event: error\ndata: {body}\n\n"))
    }
}

impl From<RequestOutcome> for OutcomeReply {
    fn from(outcome: RequestOutcome) -> Self {
        let (status, retry_after_s) = status_and_retry_after(outcome);
        let body = ReplyBody {
            outcome,
            message: outcome_message(outcome),
            send_again: outcome.retry_advice(),
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Self {
            status,
            outcome: outcome.as_header(),
            retry_after_s,
            body: body.into(),
        }
    }
}

impl RequestOutcome {
    /// Returns the value of [`OUTCOME_HEADER`].
    #[must_use]
    pub const fn as_header(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the condition under which the caller may send the request again.
    #[must_use]
    pub const fn retry_advice(self) -> RetryAdvice {
        match self {
            Self::Answered => RetryAdvice::Needless,
            Self::Unknown(_) => RetryAdvice::SameKeyOnly,
            Self::NotRun(reason) => match not_run_status(reason) {
                (_, Some(_)) => RetryAdvice::Safe,
                (_, None) => RetryAdvice::AfterChange,
            },
        }
    }
}

const fn status_and_retry_after(outcome: RequestOutcome) -> (u16, Option<u32>) {
    match outcome {
        RequestOutcome::Answered => (200, None),
        RequestOutcome::NotRun(reason) => not_run_status(reason),
        RequestOutcome::Unknown(reason) => unknown_status(reason),
    }
}

const fn not_run_status(reason: NotRunReason) -> (u16, Option<u32>) {
    match reason {
        NotRunReason::BadRequest | NotRunReason::KeyMissing | NotRunReason::KeyInvalid => {
            (400, None)
        }
        NotRunReason::NoRoute => (404, None),
        NotRunReason::KeyExpired => (410, None),
        NotRunReason::KeyReused => (422, None),
        NotRunReason::Overloaded => (429, Some(SHORT_RETRY_AFTER_S)),
        NotRunReason::ClaimUnavailable => (503, Some(LONG_RETRY_AFTER_S)),
        NotRunReason::NoTarget
        | NotRunReason::TargetRefused
        | NotRunReason::Unreachable
        | NotRunReason::DeadlinePassed
        | NotRunReason::NotReady
        | NotRunReason::Stopping => (503, Some(SHORT_RETRY_AFTER_S)),
    }
}

const fn unknown_status(reason: UnknownReason) -> (u16, Option<u32>) {
    match reason {
        UnknownReason::ConnectionLost | UnknownReason::BadAnswer | UnknownReason::TargetFailed => {
            (502, None)
        }
        UnknownReason::DeadlinePassed => (504, None),
        UnknownReason::EarlierCall => (409, Some(LONG_RETRY_AFTER_S)),
    }
}

const fn outcome_message(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Answered => "the whole answer was delivered",
        RequestOutcome::NotRun(reason) => not_run_message(reason),
        RequestOutcome::Unknown(reason) => unknown_message(reason),
    }
}

const fn not_run_message(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::BadRequest => "the request is malformed or too large",
        NotRunReason::NoRoute => "no route takes the request",
        NotRunReason::NoTarget => "the pool has no live target",
        NotRunReason::Overloaded => "the pool or the customer's share of it is full",
        NotRunReason::TargetRefused => "the target refused the request before running it",
        NotRunReason::Unreachable => "no target could be reached, nothing was sent",
        NotRunReason::DeadlinePassed => "the deadline passed before anything was sent",
        NotRunReason::ClaimUnavailable => "the idempotency key could not be recorded in time",
        NotRunReason::KeyReused => "the idempotency key was used with another request",
        NotRunReason::KeyMissing => "the route wants an idempotency-key header, best a UUIDv7",
        NotRunReason::KeyExpired => "the idempotency key is older than the retention period",
        NotRunReason::KeyInvalid => "the idempotency key is not accepted, send a new UUIDv7",
        NotRunReason::NotReady => "the router has no configuration yet",
        NotRunReason::Stopping => "the router stops, another one will take the request",
    }
}

const fn unknown_message(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::ConnectionLost => "the connection broke after the request was sent",
        UnknownReason::DeadlinePassed => "the deadline passed after the request was sent",
        UnknownReason::BadAnswer => "the answer was not whole or belonged to another request",
        UnknownReason::TargetFailed => "the target failed and gave no proof of not running",
        UnknownReason::EarlierCall => "an earlier call with the key has no recorded outcome yet",
    }
}
