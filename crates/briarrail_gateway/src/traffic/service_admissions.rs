//! Admission of the requests of each service.

use std::collections::HashMap;

use briarrail_dispatch::{AdmissionController, AdmissionPolicy, AdmissionRatio, TargetRegistry};
use briarrail_model::{MilliTime, hash_bytes};
use briarrail_peer::ServiceDemand;

use super::request_context::RequestContext;

/// Controllers of the services that were asked for, by name.
#[derive(Debug, Default)]
pub(super) struct ServiceAdmissions(HashMap<String, AdmissionController>);

impl ServiceAdmissions {
    /// Counts a request of a caller, and returns the share of the service's requests to send.
    pub(super) fn record_arrival(
        &mut self,
        context: &RequestContext,
        registry: &TargetRegistry,
        now: MilliTime,
    ) -> AdmissionRatio {
        let policy = if context.caches_prompts {
            AdmissionPolicy::PROMPTS
        } else {
            AdmissionPolicy::PLAIN_CALLS
        };
        if !self.0.contains_key(&context.service) {
            let admission = AdmissionController::new(policy);
            self.0.insert(context.service.clone(), admission);
        }
        let Some(admission) = self.0.get_mut(&context.service) else {
            return AdmissionRatio::ALL;
        };
        let capacity = registry.service_capacity(&context.service, admission.basis(), now);
        admission.record_arrival(now);
        admission.admission_ratio(&capacity, context.objective, now)
    }

    /// Updates the load of the services, and what the other routers were asked for.
    pub(super) fn update(
        &mut self,
        registry: &TargetRegistry,
        demands: &[ServiceDemand],
        now: MilliTime,
    ) {
        for (service, admission) in &mut self.0 {
            let hash = service_hash(service);
            let demand = demands.iter().find(|demand| demand.service == hash);
            admission.set_peer_arrivals(demand.map_or(0, |demand| demand.requests), now);
            let capacity = registry.service_capacity(service, admission.basis(), now);
            admission.record_load(&capacity, now);
        }
    }

    /// Returns what this router was asked for.
    pub(super) fn demands(&mut self, now: MilliTime) -> Vec<ServiceDemand> {
        let demands = self.0.iter_mut().map(|(service, admission)| ServiceDemand {
            service: service_hash(service),
            requests: admission.local_arrivals(now),
        });
        demands.filter(|demand| demand.requests > 0).collect()
    }
}

/// Returns the hash that identifies a service in the exchange.
fn service_hash(service: &str) -> u32 {
    hash_bytes(service.as_bytes()).0 as u32
}
