//! Slots, load and throughput of the targets of a service.

use briarrail_model::MilliDuration;

/// Slots, load and throughput of the targets that may receive a service's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceCapacity {
    /// Number of requests that the targets execute concurrently.
    pub slots: f32,
    /// Expected number of requests at the targets, in execution or queued.
    pub load: f32,
    /// Age of the other routers' part of the load.
    pub load_age: MilliDuration,
    /// Mean time for which a request occupies a slot, in milliseconds, once it is measured.
    pub service_time_ms: Option<f32>,
    /// Requests per second that the targets can execute; 0 while the service time is not measured.
    pub requests_per_s: f32,
}

impl ServiceCapacity {
    /// Returns the expected number of requests for each slot.
    #[must_use]
    pub fn load_per_slot(&self) -> f32 {
        self.load / self.slots.max(1.0)
    }
}
