//! Phases of a planned stop.

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop is planned.
    Serving,
    /// Not ready, but still serving while the balancer's list lags.
    Announced,
    /// New work is refused; work in flight ends.
    Draining,
}
