//! Events that end or advance an attempt.

/// An event of the current attempt at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No target, or no further target, is available.
    NoTarget,
    /// The connection failed before any byte of the request was sent.
    ConnectFailed,
    /// The connection failed after part of the request was sent and before the response head
    /// arrived.
    SendFailed,
    /// The target refused the request with 429 or 503, or failed with another 5xx status.
    Refused {
        /// Whether the target stated that it did not run the request.
        not_run: bool,
    },
    /// The head of a successful response arrived.
    HeadReceived,
    /// The response belongs to another request or violates the protocol of its kind.
    BadAnswer,
    /// The response body was interrupted.
    BodyBroken {
        /// Id of the first missing event; `None` if the response can't be resumed.
        resume_at: Option<u64>,
    },
    /// The target has sent nothing for a while; it may be dead, or go on at any time.
    TargetSilent {
        /// Id of the first missing event, if the response has started; `None` if it has not, or
        /// can't be resumed.
        resume_at: Option<u64>,
    },
    /// The complete response arrived.
    Completed,
    /// The deadline of the request passed.
    DeadlinePassed,
}
