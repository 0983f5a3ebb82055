//! Counts that routers exchange.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_peer::{ServiceDemand, TargetCount, TargetLimit};

/// Maximum number of leaving targets that routers tell each other; all that leave within seconds at
/// the largest sites.
const MAX_LEAVING: usize = 256;

/// Requests, outcomes, rate limits and departures by target, and demand by service.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetCounts {
    pub(crate) targets: Vec<TargetCount>,
    pub(crate) demands: Vec<ServiceDemand>,
    pub(crate) limits: Vec<TargetLimit>,
    /// Short hashes of the lifetimes of targets that said that they leave.
    pub(crate) leaving: BTreeSet<u32>,
}

impl FleetCounts {
    /// Returns the departures in the form of a message.
    pub(crate) fn leaving_list(&self) -> Vec<u32> {
        self.leaving.iter().take(MAX_LEAVING).copied().collect()
    }

    /// Returns the sums over several routers, sorted by target and by service.
    pub(crate) fn sum<'c, I>(parts: I) -> Self
    where
        I: Iterator<Item = &'c Self>,
    {
        let mut targets: BTreeMap<u32, TargetCount> = BTreeMap::new();
        let mut demands: BTreeMap<u32, ServiceDemand> = BTreeMap::new();
        let mut limits: BTreeMap<u32, TargetLimit> = BTreeMap::new();
        let mut leaving = BTreeSet::new();
        for part in parts {
            leaving.extend(&part.leaving);
            for limit in &part.limits {
                let sum = limits.entry(limit.target).or_default();
                sum.target = limit.target;
                sum.demand += limit.demand;
                sum.kept += limit.kept;
                sum.sent += limit.sent;
                // The newest answer counts.
                let is_newer = |age| sum.age_ms.is_none_or(|known| age < known);
                if limit.age_ms.is_some_and(is_newer) {
                    sum.limit = limit.limit;
                    sum.age_ms = limit.age_ms;
                }
            }
            for count in &part.targets {
                let sum = targets.entry(count.target).or_default();
                sum.target = count.target;
                sum.requests += count.requests;
                sum.good += count.good;
                sum.failed += count.failed;
            }
            for demand in &part.demands {
                let sum = demands.entry(demand.service).or_default();
                sum.service = demand.service;
                sum.requests += demand.requests;
            }
        }
        Self {
            targets: targets.into_values().collect(),
            demands: demands.into_values().collect(),
            limits: limits.into_values().collect(),
            leaving,
        }
    }
}
