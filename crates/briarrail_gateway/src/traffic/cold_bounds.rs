//! Bounds on the requests to cold targets, as the traffic thread applies them.

use std::collections::HashMap;
use std::sync::Arc;

use briarrail_dispatch::{
    ColdChange, ColdTerms, RefusalCause, RouterList, RoutingTable, SendNeed, TargetKey,
};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_settings::{ColdTolerance, FleetLimits};

use super::traffic_state::TrafficState;

/// Configuration and limits from which the bounds of the services were taken.
#[derive(Debug, Default)]
pub(super) struct ColdSources {
    table: Option<Arc<RoutingTable>>,
    limits: Option<Arc<FleetLimits>>,
}

impl<D> TrafficState<D> {
    /// Records the known routers, and logs which targets turned cold or warm.
    pub(super) fn apply_router_list(&self, list: &RouterList) {
        let now = self.clock.now();
        self.update_cold_terms();
        let mut registry = self.registry.borrow_mut();
        registry.observe_routers(list, now);
        for (key, change) in registry.take_cold_changes(now) {
            let Some(target) = registry.get(key) else {
                continue;
            };
            let (target_id, service) = (&target.record.id, &target.record.service);
            match change {
                ColdChange::Cold {
                    source,
                    left,
                    share,
                } => tracing::info!(
                    event = "target_cold",
                    target_id,
                    service,
                    source = source.name(),
                    left_ms = left.as_millis(),
                    share_per_s = share,
                    routers = list.routers.len(),
                ),
                ColdChange::Warm => tracing::info!(event = "target_warm", target_id, service),
            }
        }
    }

    /// Takes the bounds of the services from the configuration and the limits in force.
    fn update_cold_terms(&self) {
        let table = self.shared.routing_table.load();
        let limits = self.shared.terms.load();
        let mut sources = self.cold_sources.borrow_mut();
        let has_table = match (&sources.table, &*table) {
            (Some(known), Some(table)) => Arc::ptr_eq(known, table),
            (None, None) => true,
            _ => false,
        };
        let has_limits = sources.limits.as_ref();
        if has_table && has_limits.is_some_and(|known| Arc::ptr_eq(known, &limits)) {
            return;
        }
        let terms = match (&*table, limits.cold_tolerance) {
            (Some(table), Some(tolerance)) => service_terms(table, tolerance),
            _ => HashMap::new(),
        };
        self.registry.borrow_mut().set_cold_terms(terms);
        *sources = ColdSources {
            table: table.clone(),
            limits: Some(Arc::clone(&limits)),
        };
    }

    /// Returns the cold targets of a service that this router may send nothing now, and counts that
    /// a request passes over them.
    pub(super) fn full_cold_targets(&self, service: &str, now: MilliTime) -> Vec<TargetKey> {
        self.update_cold_terms();
        let full = self.registry.borrow().full_cold_targets(service, now);
        if !full.is_empty() {
            self.metrics.count_cold_denial(service);
        }
        full
    }

    /// Returns the cause of a refusal if only cold targets are available, and this router may send
    /// nothing to them now.
    pub(super) fn cold_refusal(&self, service: &str, need: &SendNeed<'_>) -> Option<RefusalCause> {
        let now = self.clock.now();
        let room_at = self.registry.borrow().cold_room_at(service, need, now)?;
        Some(RefusalCause::ColdTargets(room_at.since(now)))
    }

    /// Records for how long a target stays cold, by one of its answers.
    pub(super) fn record_cold(&self, key: TargetKey, left: Option<MilliDuration>) {
        if let Some(left) = left {
            let now = self.clock.now();
            self.registry.borrow_mut().record_cold(key, left, now);
        }
    }
}

/// Returns the bounds of the services that have one.
fn service_terms(table: &RoutingTable, tolerance: ColdTolerance) -> HashMap<String, ColdTerms> {
    let terms = table.services().filter_map(|service| {
        let (overrun, slack) = (tolerance.overrun as f32, tolerance.slack as f32);
        let rate_per_s = service.cold_rate_per_s;
        let terms = ColdTerms::new(service.cold_start, rate_per_s, overrun, slack)?;
        Some((service.name.clone(), terms))
    });
    terms.collect()
}
