//! Settings of a fleet node.

use briarrail_model::MilliDuration;
use briarrail_peer::KeyRing;

/// Intervals, limits and keys of a [`FleetNode`](crate::FleetNode).
#[derive(Debug, Clone)]
#[non_exhaustive]
pub struct FleetSettings {
    /// Keys that authenticate frames.
    pub keys: KeyRing,
    /// Interval of the periodic exchange.
    pub round_interval: MilliDuration,
    /// Interval at which each relay reads the host list.
    pub host_read_interval: MilliDuration,
    /// Upper bound of the random delay before the first reads after a start.
    pub start_jitter: MilliDuration,
    /// Time for which an outdated router waits for a broadcast before it asks a peer.
    pub repair_delay: MilliDuration,
    /// Delay before a failed frame is retried.
    pub retry_delay: MilliDuration,
    /// Age at which an unchanged load record is published again.
    pub load_refresh_interval: MilliDuration,
    /// Delay per turn when the relays take turns to read a changed configuration head.
    pub relay_stagger: MilliDuration,
    /// Number of relays in each data centre.
    pub relays_per_data_centre: usize,
    /// Sustained byte rate of the exchange, sent plus received.
    pub budget_bytes_per_s: u32,
    /// Burst size of the exchange, in bytes.
    pub budget_burst_bytes: u32,
}

impl FleetSettings {
    /// Creates settings with the default intervals and limits.
    #[must_use]
    pub fn new(keys: KeyRing) -> Self {
        Self {
            keys,
            round_interval: MilliDuration::from_millis(500),
            host_read_interval: MilliDuration::from_millis(1_500),
            start_jitter: MilliDuration::from_millis(1_000),
            repair_delay: MilliDuration::from_millis(600),
            retry_delay: MilliDuration::from_millis(300),
            load_refresh_interval: MilliDuration::from_secs(120),
            relay_stagger: MilliDuration::from_millis(400),
            relays_per_data_centre: 3,
            budget_bytes_per_s: 4_200,
            budget_burst_bytes: 12_000,
        }
    }

    /// Sets the interval of the periodic exchange.
    #[must_use]
    pub fn with_round_interval(self, round_interval: MilliDuration) -> Self {
        Self {
            round_interval,
            ..self
        }
    }

    /// Sets the interval at which each relay reads the host list.
    #[must_use]
    pub fn with_host_read_interval(self, host_read_interval: MilliDuration) -> Self {
        Self {
            host_read_interval,
            ..self
        }
    }

    /// Sets the number of relays in each data centre.
    #[must_use]
    pub fn with_relays_per_data_centre(self, relays_per_data_centre: usize) -> Self {
        Self {
            relays_per_data_centre,
            ..self
        }
    }

    /// Sets the delay per turn when the relays take turns to read a changed configuration head.
    #[must_use]
    pub fn with_relay_stagger(self, relay_stagger: MilliDuration) -> Self {
        Self {
            relay_stagger,
            ..self
        }
    }

    /// Sets the sustained byte rate and the burst size of the exchange.
    #[must_use]
    pub fn with_budget(self, budget_bytes_per_s: u32, budget_burst_bytes: u32) -> Self {
        Self {
            budget_bytes_per_s,
            budget_burst_bytes,
            ..self
        }
    }
}
