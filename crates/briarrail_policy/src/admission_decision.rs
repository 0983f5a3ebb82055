//! Results of admission.

use briarrail_model::{CallPriority, MilliDuration};

/// Whether a request may be sent to its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send the request with this priority.
    Admit {
        /// Priority to pass to the engine.
        priority: CallPriority,
    },
    /// Retry after a delay; nothing was sent.
    Wait {
        /// Delay before the next try.
        retry_after: MilliDuration,
    },
    /// Refuse the request and report that it was not run; nothing was sent.
    Refuse {
        /// Estimated time until the pool has capacity.
        retry_after: MilliDuration,
    },
}
