//! Outcomes of admission.

use briarrail_model::{CallPriority, MilliDuration};

/// Whether a request may be sent to its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send, with this priority to the engine.
    Admit {
        /// Priority to hand to the engine.
        priority: CallPriority,
    },
    /// Ask again after the span; nothing was sent.
    Wait {
        /// Span until the next try.
        retry_after: MilliDuration,
    },
    /// Refuse as not run; nothing was sent.
    Refuse {
        /// Span after which there is expected to be room.
        retry_after: MilliDuration,
    },
}
