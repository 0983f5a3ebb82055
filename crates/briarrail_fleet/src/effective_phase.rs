//! Phase of a host as the router sees it.

/// Phase of a host, derived from the platform's host list and from the notices of routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EffectivePhase {
    /// The host takes new work.
    Live,
    /// The host finishes its running work and takes no new work.
    Leaving,
    /// Two routers could not reach the host.
    Down,
}
