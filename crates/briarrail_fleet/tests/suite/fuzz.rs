//! Random faults, checked against a reference store.
//!
//! CI runs a fixed range of seeds. For an open-ended run with bolero's generators, use
//! `cargo test -p briarrail_fleet --test suite -- --ignored random_faults`.

use bolero::TypeGenerator;
use briarrail_fleet::EffectivePhase;
use briarrail_model::HostPhase;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fake_fleet::{FakeFleet, target_name};

const ROUTERS: usize = 7;
const SEED_COUNT: u64 = 60;
const OPS_PER_SEED: usize = 40;
/// Time for the fleet to converge after the last fault.
const SETTLE_MS: u64 = 40_000;
/// Maximum time until all routers know that a target is leaving.
const MAX_LEAVING_MS: u64 = 3_000;
/// Maximum time until an edit is active on all routers.
const MAX_CONFIG_MS: u64 = 6_000;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum FaultOp {
    Edit,
    Wait(u8),
    Stop(u8),
    Restart(u8),
    Partition(u8),
    Heal,
    Loss(u8),
    Duplicates(u8),
    Delay(u8),
    StoreDown,
    StoreUp,
    Leave(u8),
    Return(u8),
}

fn random_op(rng: &mut SmallRng) -> FaultOp {
    let value = rng.random();
    match rng.random_range(0..16) {
        0..=3 => FaultOp::Edit,
        4..=6 => FaultOp::Wait(value),
        7 => FaultOp::Stop(value),
        8 => FaultOp::Restart(value),
        9 => FaultOp::Partition(value),
        10 => FaultOp::Heal,
        11 => FaultOp::Loss(value),
        12 => FaultOp::Duplicates(value),
        13 => FaultOp::Delay(value),
        14 if value < 128 => FaultOp::StoreDown,
        14 => FaultOp::StoreUp,
        _ if value < 160 => FaultOp::Leave(value),
        _ => FaultOp::Return(value),
    }
}

fn apply(fleet: &mut FakeFleet, op: FaultOp) {
    let router = |value: u8| usize::from(value) % ROUTERS;
    let fraction = |value: u8| f64::from(value) / 255.0 * 0.4;
    match op {
        FaultOp::Edit if fleet.store_up => {
            let now = fleet.unix_time();
            fleet.store.accept_edit(now);
        }
        FaultOp::Edit => {}
        FaultOp::Wait(value) => fleet.run(u64::from(value) * 40),
        FaultOp::Stop(value) => fleet.stop(router(value)),
        FaultOp::Restart(value) => fleet.restart(router(value)),
        FaultOp::Partition(value) => {
            let routers = fleet.routers.iter_mut().enumerate();
            routers.for_each(|(index, router)| router.partition = value >> index & 1);
        }
        FaultOp::Heal => fleet
            .routers
            .iter_mut()
            .for_each(|router| router.partition = 0),
        FaultOp::Loss(value) => fleet.loss_rate = fraction(value),
        FaultOp::Duplicates(value) => fleet.duplicate_rate = fraction(value),
        FaultOp::Delay(value) => fleet.max_delay_ms = 2 + u64::from(value) * 3,
        FaultOp::StoreDown => fleet.store_up = false,
        FaultOp::StoreUp => fleet.store_up = true,
        FaultOp::Leave(value) => {
            let target = target_name(router(value));
            fleet.store.set_phase(&target, HostPhase::Leaving);
        }
        FaultOp::Return(value) => {
            let target = target_name(router(value));
            fleet.store.set_phase(&target, HostPhase::Live);
        }
    }
    fleet.run(100);
}

fn end_faults(fleet: &mut FakeFleet) {
    fleet
        .routers
        .iter_mut()
        .for_each(|router| router.partition = 0);
    for index in 0..ROUTERS {
        if !fleet.routers[index].is_up {
            fleet.restart(index);
        }
    }
    (fleet.store_up, fleet.loss_rate, fleet.duplicate_rate) = (true, 0.0, 0.0);
    fleet.max_delay_ms = 2;
}

fn run_ops(seed: u64, ops: &[FaultOp]) {
    let mut fleet = FakeFleet::new(ROUTERS, seed);
    fleet.run(4_000);
    ops.iter().for_each(|&op| apply(&mut fleet, op));
    end_faults(&mut fleet);
    fleet.run(SETTLE_MS);
    fleet.assert_converged();
    assert_leaving_spreads_in_time(&mut fleet);
    assert_edit_spreads_in_time(&mut fleet);
}

fn assert_leaving_spreads_in_time(fleet: &mut FakeFleet) {
    let target = target_name(0);
    fleet.store.set_phase(&target, HostPhase::Leaving);
    fleet.run(MAX_LEAVING_MS);
    for (index, router) in fleet.routers.iter().enumerate() {
        let phase = router.node.host_phase(&target);
        let seed = fleet.seed;
        assert_eq!(
            phase,
            Some(EffectivePhase::Leaving),
            "seed {seed}: router {index}"
        );
    }
}

fn assert_edit_spreads_in_time(fleet: &mut FakeFleet) {
    let now = fleet.unix_time();
    fleet.store.accept_edit(now);
    fleet.run(MAX_CONFIG_MS);
    fleet.assert_converged();
}

#[test]
fn routers_never_revert_and_converge_after_seeded_faults() {
    for seed in 0..SEED_COUNT {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ops: Vec<_> = (0..OPS_PER_SEED).map(|_| random_op(&mut rng)).collect();
        run_ops(seed, &ops);
    }
}

#[test]
#[ignore = "open-ended: draws its inputs from the operating system"]
fn random_faults() {
    bolero::check!()
        .with_type::<(u64, Vec<FaultOp>)>()
        .for_each(|(seed, ops)| run_ops(*seed, ops));
}
