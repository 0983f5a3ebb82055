//! Why a target may not get a request.

use briarrail_model::MilliTime;

/// Why a target may not get a request.
///
/// Ejection is not among the reasons: a request still goes to an ejected target if there is no
/// other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenial {
    /// The target was removed from the list.
    Gone,
    /// The store lists the target as draining.
    Draining,
    /// The target said in an answer that it leaves.
    Leaving,
    /// The operators have evacuated the target's data centre.
    Evacuated,
    /// The request may not run in the target's data centre.
    OutsideHomes,
    /// Only targets of another release can continue the request's stream.
    OtherRelease,
    /// The target may have started again as another release since this router last heard of it.
    UncertainRelease,
    /// The target asked for no requests until a time.
    Paused {
        /// End of the pause.
        until: MilliTime,
    },
    /// The target's cache is cold, and it gets no more requests than it can warm up with.
    Cold,
    /// The rate limit that the target names is used up.
    RateLimited,
}

impl SendDenial {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::OutsideHomes => "outside_homes",
            Self::OtherRelease => "other_release",
            Self::UncertainRelease => "uncertain_release",
            Self::Paused { .. } => "paused",
            Self::Cold => "cold",
            Self::RateLimited => "rate_limited",
        }
    }

    /// Returns whether the reason passes by itself within seconds, so that the same request may be
    /// sent to the same target then.
    #[must_use]
    pub const fn passes_soon(self) -> bool {
        match self {
            Self::UncertainRelease | Self::Paused { .. } | Self::Cold | Self::RateLimited => true,
            Self::Gone
            | Self::Draining
            | Self::Leaving
            | Self::Evacuated
            | Self::OutsideHomes
            | Self::OtherRelease => false,
        }
    }

    /// Returns whether the reason passes by itself, and before another one does.
    #[must_use]
    pub fn passes_before(self, other: Self) -> bool {
        match (self, other) {
            (Self::Paused { until }, Self::Paused { until: other }) => until < other,
            _ => self.passes_soon() && !other.passes_soon(),
        }
    }
}
