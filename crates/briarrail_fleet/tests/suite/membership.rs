//! Routers that fail, recover, leave, or are not listed.

use briarrail_fleet::{EffectivePhase, FleetNode, FleetSettings};
use briarrail_model::HostPhase;
use briarrail_peer::{Envelope, ExchangeMessage, FrameCodec, KeyRing, MessageKind, SharedKey};

use crate::fake_fleet::{FakeFleet, entry, keys, router_name, target_name};

/// Time to detect an unresponsive router: until a ring partner contacts it, plus the attempts of
/// that partner and of the prober.
const DETECTION_MS: u64 = 20_000;

fn phases_of(fleet: &FakeFleet, index: usize) -> Vec<Option<EffectivePhase>> {
    let others = fleet.routers.iter().filter(|router| router.is_up);
    let name = router_name(index);
    others.map(|router| router.node.host_phase(&name)).collect()
}

#[test]
fn an_unresponsive_router_is_declared_down_and_rejoins_after_a_restart() {
    for seed in 0..10 {
        let mut fleet = FakeFleet::new(9, seed);
        fleet.run(5_000);
        fleet.stop(4);
        fleet.run(DETECTION_MS);
        let phases = phases_of(&fleet, 4);
        assert_eq!(phases, vec![Some(EffectivePhase::Down); 8], "seed {seed}");
        fleet.restart(4);
        fleet.run(DETECTION_MS);
        let phases = phases_of(&fleet, 4);
        assert_eq!(phases, vec![Some(EffectivePhase::Live); 9], "seed {seed}");
    }
}

#[test]
fn a_partitioned_router_refutes_that_it_is_down() {
    for seed in 0..10 {
        let mut fleet = FakeFleet::new(9, seed);
        fleet.run(5_000);
        fleet.routers[3].partition = 1;
        fleet.run(DETECTION_MS);
        let down = phases_of(&fleet, 3)
            .into_iter()
            .filter(|&it| it == Some(EffectivePhase::Down));
        assert!(down.count() >= 8, "seed {seed}");
        fleet.routers[3].partition = 0;
        fleet.run(DETECTION_MS);
        let phases = phases_of(&fleet, 3);
        assert_eq!(phases, vec![Some(EffectivePhase::Live); 9], "seed {seed}");
        let counters = fleet.routers[3].node.counters();
        assert!(counters.refutations > 0, "seed {seed}");
    }
}

#[test]
fn a_stopped_relay_and_load_reader_is_replaced() {
    let mut fleet = FakeFleet::new(12, 5);
    fleet.run(5_000);
    let relay = |fleet: &FakeFleet| {
        let near = (0..12).filter(|index| index % 3 == 0);
        let mut near = near.filter(|&index| fleet.routers[index].is_up);
        near.find(|&index| fleet.routers[index].node.relay_rank() == Some(0))
    };
    let first = relay(&fleet).unwrap();
    fleet.stop(first);
    fleet.run(DETECTION_MS);
    let second = relay(&fleet).unwrap();
    assert_ne!(first, second);
    for target in 0..12 {
        let up = fleet.routers.iter().filter(|router| router.is_up);
        let name = target_name(target);
        let readers = up.filter(|router| router.node.observed_targets().contains(&name));
        assert_eq!(readers.count(), 1, "target {target}");
    }
}

#[test]
fn a_leaving_router_is_known_everywhere() {
    let mut fleet = FakeFleet::new(9, 2);
    fleet.run(5_000);
    fleet.drive(1, FleetNode::leave);
    fleet.run(6_000);
    let phases = phases_of(&fleet, 1);
    assert_eq!(phases, vec![Some(EffectivePhase::Leaving); 9]);
    assert!(!fleet.routers[1].node.is_ready());
}

fn frame(codec: &FrameCodec, from: usize, incarnation: u64) -> bytes::Bytes {
    let envelope = Envelope {
        from: router_name(from),
        incarnation,
        to: router_name(0),
        body: ExchangeMessage::default(),
    };
    codec.seal(MessageKind::Exchange, &envelope).unwrap()
}

#[test]
fn frames_of_unlisted_or_stale_senders_are_counted_and_dropped() {
    let fleet = FakeFleet::new(3, 1);
    let settings = FleetSettings::new(keys());
    let own = entry(router_name(0), "briarraild", 0);
    let now = fleet.unix_time();
    let mut node = FleetNode::new(settings, own, now, 1);
    let codec = FrameCodec::new(keys());
    let forger = FrameCodec::new(KeyRing::new(SharedKey::new(b"guess")));
    let mut change = fleet.store.read_hosts(0);
    change.upserts[1] = {
        let mut entry = (*change.upserts[1]).clone();
        entry.phase = HostPhase::Live;
        entry.into()
    };
    node.on_hosts_read(now, Some(&change));
    node.on_frame(now, &frame(&codec, 1, 5));
    node.on_frame(now, &frame(&codec, 1, 4));
    node.on_frame(now, &frame(&codec, 77, 1));
    node.on_frame(now, &frame(&forger, 1, 5));
    node.on_frame(now, b"\x01");
    let counters = node.counters();
    let dropped = (
        counters.frames_received,
        counters.stale_frames,
        counters.unlisted_frames,
        &counters.bad_frames,
    );
    insta::assert_debug_snapshot!(dropped);
}
