//! What happened to an attempt.

/// What happened to the current attempt at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// There is no target to send to, or no further one.
    NoTarget,
    /// The connection failed before a byte of the request left the router.
    ConnectFailed,
    /// The connection failed after a byte had left and before the head of an answer came.
    SendFailed,
    /// The target refused with 429 or 503, or failed with another 5xx status.
    Refused {
        /// Whether the target stated that it did not run the request.
        not_run: bool,
    },
    /// The head of a good answer came.
    HeadReceived,
    /// The answer belongs to another request, or breaks the rules of its kind.
    BadAnswer,
    /// The body broke off.
    BodyBroken {
        /// Id of the first event that is missing; none when the answer can't be resumed.
        resume_at: Option<u64>,
    },
    /// The answer is whole.
    Completed,
    /// The deadline of the request passed.
    DeadlinePassed,
}
