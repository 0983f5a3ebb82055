//! What the control thread knows of a target.

use briarrail_model::{HostEntry, HostPhase, LoadRecord, StableHash};

use crate::PeerInFlight;

/// What the control thread knows of one target of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetInput {
    /// Hash of the target's name.
    pub name: StableHash,
    /// Hash of its data centre.
    pub data_centre: StableHash,
    /// Hash of its region.
    pub region: StableHash,
    /// Phase in the host list.
    pub phase: HostPhase,
    /// Number that rises each time the target is started anew.
    pub incarnation: u64,
    /// Latest load record, if any.
    pub load: Option<LoadRecord>,
    /// Sum of the other routers' requests in flight, where these are exchanged and complete.
    pub peer_in_flight: Option<PeerInFlight>,
    /// Requests in flight from this router.
    pub in_flight: u32,
}

impl TargetInput {
    /// Makes the input of a host without a load record.
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

    /// Sets the requests in flight from this router.
    #[must_use]
    pub const fn in_flight(mut self, in_flight: u32) -> Self {
        self.in_flight = in_flight;
        self
    }
}
