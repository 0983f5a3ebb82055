//! Ejection based on the outcomes of all routers.

use briarrail_dispatch::{OutcomeTotals, SendOutcome, TargetKey, TargetRegistry};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{at, target};

const ROUTERS: usize = 9;
const TARGETS: usize = 12;

/// A fleet whose routers exchange outcomes every 200 ms.
struct Fleet {
    rng: SmallRng,
    registries: Vec<TargetRegistry>,
    keys: Vec<TargetKey>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut registries: Vec<TargetRegistry> =
            (0..ROUTERS).map(|_| TargetRegistry::default()).collect();
        let mut keys = Vec::new();
        for registry in &mut registries {
            keys = (0..TARGETS)
                .map(|index| registry.upsert(target(&format!("t{index}")), at(0)))
                .collect();
        }
        Self {
            rng: SmallRng::seed_from_u64(seed),
            registries,
            keys,
        }
    }

    /// Sends ten requests per second to each target and returns the number of routers that ever
    /// ejected the first target.
    fn run(&mut self, millis: u64, failure_probability: impl Fn(usize) -> f64) -> usize {
        let mut has_ejected = vec![false; ROUTERS];
        for now in 0..millis {
            for index in 0..TARGETS {
                if !self.rng.random_bool(0.01) {
                    continue;
                }
                let router = self.rng.random_range(0..ROUTERS);
                let outcome = if self.rng.random_bool(failure_probability(index)) {
                    SendOutcome::Broken
                } else {
                    SendOutcome::Good
                };
                self.registries[router].record_outcome(self.keys[index], outcome, at(now));
            }
            if now % 200 == 0 {
                self.exchange(now);
            }
            for (registry, ejected) in self.registries.iter().zip(&mut has_ejected) {
                *ejected |= !registry
                    .get(self.keys[0])
                    .unwrap()
                    .outlier_detector
                    .allows_requests(at(now));
            }
        }
        has_ejected.iter().filter(|&&ejected| ejected).count()
    }

    fn exchange(&mut self, now: u64) {
        for &key in &self.keys {
            let local: Vec<OutcomeTotals> = self
                .registries
                .iter_mut()
                .map(|registry| registry.local_outcomes(key, at(now)))
                .collect();
            for (router, registry) in self.registries.iter_mut().enumerate() {
                let others = local
                    .iter()
                    .enumerate()
                    .filter(|&(other, _)| other != router);
                let sum = others.fold(OutcomeTotals::default(), |sum, (_, totals)| {
                    sum.plus(*totals)
                });
                registry.set_peer_stats(key, 0.0, sum, at(now));
            }
        }
        for registry in &mut self.registries {
            registry.eject_outliers(at(now));
        }
    }
}

/// When half of the targets fail two of five requests for six seconds, each router alone sees too
/// few failures to eject them in that time. With the outcomes of all routers, every router ejects
/// such a target within two seconds in most of ten runs, and within four seconds in all of them.
#[test]
fn a_target_failing_two_of_five_requests_is_ejected_by_all_routers() {
    let failure_probability = |index| if index == 0 { 0.4 } else { 0.005 };
    let runs_ejected_within = |millis| {
        let ejecting_routers =
            (0..10).map(|seed| Fleet::new(seed).run(millis, failure_probability));
        ejecting_routers
            .filter(|&routers| routers == ROUTERS)
            .count()
    };
    assert!(
        runs_ejected_within(2_000) > 5,
        "{} of 10 runs within two seconds",
        runs_ejected_within(2_000)
    );
    assert_eq!(runs_ejected_within(4_000), 10);
}

#[test]
fn targets_with_equal_failure_ratios_are_not_outliers() {
    let mut fleet = Fleet::new(1);
    for now in (0..4_000).step_by(200) {
        for registry in &mut fleet.registries {
            for &key in &fleet.keys {
                let totals = OutcomeTotals {
                    good: 12,
                    failed: 8,
                };
                registry.set_peer_stats(key, 0.0, totals, at(now));
            }
            assert_eq!(registry.eject_outliers(at(now)), []);
        }
    }
}

#[test]
fn outcomes_expire_after_the_window() {
    let mut fleet = Fleet::new(1);
    let (registry, key) = (&mut fleet.registries[0], fleet.keys[0]);
    registry.record_outcome(key, SendOutcome::Failed, at(0));
    registry.record_outcome(key, SendOutcome::Slow, at(100));
    registry.record_outcome(key, SendOutcome::Good, at(1_000));
    let totals = |registry: &mut TargetRegistry, millis| {
        let totals = registry.local_outcomes(key, at(millis));
        (totals.good, totals.failed)
    };
    assert_eq!(totals(registry, 1_000), (2, 3));
    assert_eq!(totals(registry, 2_001), (2, 0));
    assert_eq!(totals(registry, 3_001), (0, 0));
}
