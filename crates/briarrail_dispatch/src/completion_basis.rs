//! Which requests count as completed when the throughput of targets is measured.

/// Which requests count as completed when the throughput of targets is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionBasis {
    /// Those with any outcome. A plain call that fails has used its slot like one that is answered.
    Outcomes,
    /// Those that were answered. A prompt that is withdrawn from a queue, or moved because it waits for
    /// long, has used no slot; in an overload these are many.
    Answers,
}
