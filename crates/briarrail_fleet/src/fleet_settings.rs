//! Settings of a router's part in the fleet.

use briarrail_model::MilliDuration;
use briarrail_peer::KeyRing;

/// Intervals, limits and keys of a [`FleetNode`](crate::FleetNode).
#[derive(Debug, Clone)]
#[non_exhaustive]
pub struct FleetSettings {
    /// Keys that authenticate frames.
    pub keys: KeyRing,
    /// Time between two periodic exchanges.
    pub round_interval: MilliDuration,
    /// Time between two reads of the host list by one relay.
    pub host_read_interval: MilliDuration,
    /// Longest random delay of the first reads after a start.
    pub start_jitter: MilliDuration,
    /// Time for which a router that is behind waits for the broadcast before it asks a peer.
    pub repair_delay: MilliDuration,
    /// Time between the retries of a frame.
    pub retry_delay: MilliDuration,
    /// Time after which an unchanged load record is published again.
    pub load_refresh_interval: MilliDuration,
    /// Head start that a relay leaves to the one whose turn it is to read a changed head.
    pub relay_stagger: MilliDuration,
    /// Relays in each data centre.
    pub relays_per_data_centre: usize,
    /// Bytes a second, sent plus received, that the exchange may use.
    pub budget_bytes_per_s: u32,
    /// Bytes that the exchange may use at once.
    pub budget_burst_bytes: u32,
}

impl FleetSettings {
    /// Makes settings with the default intervals and limits.
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

    /// Sets the time between two periodic exchanges.
    #[must_use]
    pub fn with_round_interval(self, round_interval: MilliDuration) -> Self {
        Self {
            round_interval,
            ..self
        }
    }

    /// Sets the time between two reads of the host list by one relay.
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

    /// Sets the head start of the relay whose turn it is.
    #[must_use]
    pub fn with_relay_stagger(self, relay_stagger: MilliDuration) -> Self {
        Self {
            relay_stagger,
            ..self
        }
    }

    /// Sets the bytes a second and the bytes at once that the exchange may use.
    #[must_use]
    pub fn with_budget(self, budget_bytes_per_s: u32, budget_burst_bytes: u32) -> Self {
        Self {
            budget_bytes_per_s,
            budget_burst_bytes,
            ..self
        }
    }
}
