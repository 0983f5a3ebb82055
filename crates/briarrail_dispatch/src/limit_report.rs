//! What routers tell each other about the rate limit of a target.

use briarrail_model::MilliTime;

/// What an answer of a target said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// Requests per second from all routers together; `None` for no limit.
    pub limit: Option<f32>,
    /// Time of the answer.
    pub at: MilliTime,
}

/// What some routers know of the limit of a target, and how much they need it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitReport {
    /// The newest statement, if there is one.
    pub statement: Option<LimitStatement>,
    /// Requests of the last two seconds that would have been sent without a limit.
    pub demand: u32,
    /// Requests of the last second with prompts that stay at the target.
    pub kept: u32,
    /// Requests that were sent in the last three seconds.
    pub sent: u32,
}
