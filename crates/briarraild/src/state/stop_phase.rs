//! Phases of a graceful stop.

/// Phase of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// Reports not ready, but still accepts requests until load balancers have noticed.
    Announced,
    /// Refuses new requests and waits for those in flight.
    Draining,
}
