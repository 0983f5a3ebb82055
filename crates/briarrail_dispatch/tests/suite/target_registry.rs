//! The registry of targets, compared with a plain model.

use std::collections::BTreeMap;

use briarrail_dispatch::{TargetKey, TargetPhase, TargetRegistry};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{at, target};

const SEEDS: u64 = 200;
const STEPS: u64 = 400;
const SERVICES: [&str; 4] = ["model", "ticket", "unknown", "other-unknown"];
/// Time for which a removed target is kept at least; the exact time is the registry's own.
const RETENTION_MS: u64 = 60_000;

/// What the registry should hold of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ModelTarget {
    key: TargetKey,
    service: &'static str,
    requests: u32,
    is_removed: bool,
}

fn assert_same(registry: &TargetRegistry, model: &BTreeMap<String, ModelTarget>, context: &str) {
    for service in SERVICES {
        let mut found: Vec<&str> = registry
            .service_targets(service)
            .map(|(_, target)| target.record.id.as_str())
            .collect();
        found.sort_unstable();
        let of_service = model.iter().filter(|(_, target)| target.service == service);
        let expected: Vec<&str> = of_service.map(|(id, _)| id.as_str()).collect();
        assert_eq!(found, expected, "{context}: {service}");
    }
    assert_eq!(registry.iter().count(), model.len(), "{context}");
    for (id, target) in model {
        let key = registry.key_by_id(id);
        assert_eq!(key, Some(target.key), "{context}: {id}");
        let state = registry.get(target.key).unwrap();
        assert_eq!(state.local_requests(), target.requests, "{context}: {id}");
    }
}

/// Guards against a registry that names a target which it doesn't hold any more, for example after an
/// entry named another service: reading that service then panics on all routers.
#[test]
fn each_service_has_just_its_targets_whatever_entries_come_and_go() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut registry = TargetRegistry::default();
        let mut model: BTreeMap<String, ModelTarget> = BTreeMap::new();
        let mut now = 0;
        for step in 0..STEPS {
            now += rng.random_range(0..500);
            let id = format!("t{}", rng.random_range(0..8));
            match rng.random_range(0..10) {
                0..4 => {
                    let service = SERVICES[rng.random_range(0..SERVICES.len())];
                    let mut record = target(&id);
                    record.service = service.into();
                    record.started_unix_ms = rng.random_range(0..3);
                    if rng.random() {
                        record.phase = TargetPhase::Draining;
                    }
                    let key = registry.upsert(record, at(now));
                    let known = model.entry(id).or_insert(ModelTarget {
                        key,
                        service,
                        requests: 0,
                        is_removed: false,
                    });
                    known.service = service;
                    known.is_removed = false;
                }
                4..6 => {
                    registry.mark_removed(&id, at(now));
                    if let Some(target) = model.get_mut(&id) {
                        target.is_removed = true;
                    }
                }
                6..8 => {
                    if let Some(target) = model.get_mut(&id) {
                        registry.start_request(target.key, at(now));
                        target.requests += 1;
                    }
                }
                8 => {
                    if let Some(target) = model.get_mut(&id) {
                        registry.finish_request(target.key);
                        target.requests = target.requests.saturating_sub(1);
                    }
                }
                _ => {
                    now += RETENTION_MS;
                    registry.purge_removed(at(now));
                    model.retain(|_, target| !target.is_removed || target.requests > 0);
                }
            }
            assert_same(&registry, &model, &format!("seed {seed}, step {step}"));
        }
    }
}
