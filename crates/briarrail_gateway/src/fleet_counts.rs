//! Counts that routers exchange.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_dispatch::PauseReport;
use briarrail_model::MilliDuration;
use briarrail_peer::{ServiceDemand, TargetCount, TargetLimit, TargetPauseItem};

/// Maximum number of leaving targets that routers tell each other; more than leave within seconds at
/// the largest sites.
const MAX_LEAVING: usize = 128;
/// Maximum number of paused targets that routers tell each other; bounds the bytes of a message while
/// all targets of a large site are paused.
const MAX_PAUSES: usize = 64;

/// Requests, outcomes, rate limits and departures by target, and demand by service.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetCounts {
    pub(crate) targets: Vec<TargetCount>,
    pub(crate) demands: Vec<ServiceDemand>,
    pub(crate) limits: Vec<TargetLimit>,
    /// Short hashes of the runs of targets that said that they leave.
    pub(crate) leaving: BTreeSet<u32>,
    /// Pauses for which targets asked routers, by the short hash of the run.
    pub(crate) pauses: BTreeMap<u32, PauseReport>,
}

impl FleetCounts {
    /// Returns the departures in the form of a message.
    pub(crate) fn leaving_list(&self) -> Vec<u32> {
        self.leaving.iter().take(MAX_LEAVING).copied().collect()
    }

    /// Returns the pauses in the form of a message.
    pub(crate) fn pause_list(&self) -> Vec<TargetPauseItem> {
        let pauses = self.pauses.iter().take(MAX_PAUSES);
        let items = pauses.map(|(target, report)| TargetPauseItem {
            target: *target,
            left_ms: report.left.as_millis() as u32,
            routers: report.routers,
        });
        items.collect()
    }

    /// Returns the pauses of a message.
    pub(crate) fn decode_pauses(items: &[TargetPauseItem]) -> BTreeMap<u32, PauseReport> {
        let reports = items.iter().map(|item| {
            let report = PauseReport {
                routers: item.routers,
                left: MilliDuration::from_millis(u64::from(item.left_ms)),
            };
            (item.target, report)
        });
        reports.collect()
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
        let mut pauses = BTreeMap::new();
        for part in parts {
            leaving.extend(&part.leaving);
            for (target, pause) in &part.pauses {
                let sum = pauses.entry(*target);
                sum.and_modify(|sum: &mut PauseReport| *sum = sum.plus(*pause))
                    .or_insert(*pause);
            }
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
            pauses,
        }
    }
}
