//! Startup with the store available and unavailable, and recovery from an outage.

use crate::fake_fleet::FakeFleet;

const MAX_CONFIG_MS: u64 = 6_000;

#[test]
fn a_restarted_router_adopts_the_highest_peer_configuration_while_the_store_is_down() {
    for seed in 0..20 {
        let mut fleet = FakeFleet::new(6, seed);
        fleet.run(5_000);
        for _ in 0..9 {
            let now = fleet.unix_time();
            fleet.store.accept_edit(now);
            fleet.run(300);
        }
        fleet.run(MAX_CONFIG_MS);
        fleet.restart(2);
        fleet.run(100);
        // The outage begins after the host list is read and before the object API is.
        let hosts = fleet.store.read_hosts(0);
        fleet.drive(2, |node, now| node.on_hosts_read(now, Some(&hosts)));
        fleet.store_up = false;
        fleet.run(20_000);
        fleet.assert_config_converged();
    }
}

#[test]
fn no_router_is_ready_without_a_configuration() {
    let mut fleet = FakeFleet::new(6, 1);
    fleet.store_up = false;
    fleet.run(60_000);
    assert!(fleet.routers.iter().all(|router| !router.node.is_ready()));
    fleet.store_up = true;
    fleet.run(30_000);
    fleet.assert_converged();
}

#[test]
fn routers_stay_ready_during_a_store_outage_and_catch_up_afterwards() {
    let mut fleet = FakeFleet::new(7, 3);
    fleet.run(5_000);
    fleet.store_up = false;
    fleet.run(600_000);
    assert!(fleet.routers.iter().all(|router| router.node.is_ready()));
    fleet.store_up = true;
    let now = fleet.unix_time();
    fleet.store.accept_edit(now);
    fleet.run(MAX_CONFIG_MS);
    fleet.assert_converged();
}
