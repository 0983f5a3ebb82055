//! Current facts about a target.

use briarrail_model::{HostEntry, HostPhase, LoadRecord, StableHash};

use crate::PeerInFlight;

/// Current facts about one target of a pool, collected by the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetInput {
    /// Hash of the target's name.
    pub name: StableHash,
    /// Hash of the target's data centre.
    pub data_centre: StableHash,
    /// Hash of the target's region.
    pub region: StableHash,
    /// Phase of the target; only live targets receive new requests.
    pub phase: HostPhase,
    /// Number that increases with each start of the target.
    pub incarnation: u64,
    /// Latest load record, if any.
    pub load: Option<LoadRecord>,
    /// Sum of the other routers' requests in flight; `None` if the counts are not exchanged or are
    /// incomplete.
    pub peer_in_flight: Option<PeerInFlight>,
    /// Requests in flight from this router.
    pub in_flight: u32,
}

impl TargetInput {
    /// Creates the input of a host without a load record.
    #[must_use]
    pub fn from_host(host: &HostEntry) -> Self {
        Self {
            name: host.name.stable_hash(),
            data_centre: host.data_centre.stable_hash(),
            region: host.region.stable_hash(),
            phase: host.phase,
            incarnation: host.incarnation,
            load: None,
            peer_in_flight: None,
            in_flight: 0,
        }
    }

    /// Sets the latest load record.
    #[must_use]
    pub const fn load(mut self, load: Option<LoadRecord>) -> Self {
        self.load = load;
        self
    }

    /// Sets the sum of the other routers' requests in flight.
    #[must_use]
    pub const fn peer_in_flight(mut self, peer_in_flight: Option<PeerInFlight>) -> Self {
        self.peer_in_flight = peer_in_flight;
        self
    }

    /// Sets the number of requests in flight from this router.
    #[must_use]
    pub const fn in_flight(mut self, in_flight: u32) -> Self {
        self.in_flight = in_flight;
        self
    }
}
