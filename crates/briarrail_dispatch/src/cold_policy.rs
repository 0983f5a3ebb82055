//! What the bounds on the requests to cold targets depend on, beside the targets themselves.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime};

use crate::{ColdTerms, FleetMembers};

/// Time after the first listing of a target in which the other targets are listed that were there
/// before.
const FIRST_LISTING_TIME: MilliDuration = MilliDuration::from_millis(1_000);

/// Terms of the services, and the routers among which they are divided.
#[derive(Debug, Default)]
pub(crate) struct ColdPolicy {
    /// By name of the service; a service without a bound is missing.
    pub(crate) terms: HashMap<String, ColdTerms>,
    pub(crate) members: FleetMembers,
    /// Time at which a target was first listed.
    first_listed_at: Option<MilliTime>,
}

impl ColdPolicy {
    /// Records that a target is listed, and returns whether the ones that were there before this
    /// router are known.
    pub(crate) fn record_listing(&mut self, now: MilliTime) -> bool {
        let first_listed_at = *self.first_listed_at.get_or_insert(now);
        now.since(first_listed_at) > FIRST_LISTING_TIME
    }
}
