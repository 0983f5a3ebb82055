//! Shares of routers that know different lists of the fleet.

use briarrail_dispatch::{FleetMembers, RouterList};
use briarrail_model::{StableHash, hash_bytes};

use crate::fixtures::at;

/// Requests per second that are divided, and those that a target tolerates.
const DIVIDED: u32 = 27;
const TOLERATED: u32 = 30;
const TARGETS: usize = 100;
const NOW: u64 = 20_000;

fn router(index: usize) -> StableHash {
    hash_bytes(format!("router-{index}").as_bytes())
}

/// Returns a router that knows the first ones of the fleet.
fn member(local: usize, known: usize, contact_at: u64) -> FleetMembers {
    let mut members = FleetMembers::default();
    let mut list = RouterList {
        local: router(local),
        routers: (0..known).map(router).collect(),
        is_complete: true,
        is_in_touch: true,
    };
    members.observe(&list, at(0));
    members.observe(&list, at(contact_at));
    list.is_in_touch = false;
    members.observe(&list, at(NOW));
    members
}

/// Returns the sums of the shares for some targets.
fn sums(fleet: &[FleetMembers]) -> Vec<u32> {
    let targets = (0..TARGETS).map(|index| hash_bytes(format!("i-{index}").as_bytes()));
    let share = |target, member: &FleetMembers| member.share(member.rank(target), DIVIDED, at(NOW));
    let sums = targets.map(|target| fleet.iter().map(|member| share(target, member)).sum());
    sums.collect()
}

#[test]
fn shares_of_equal_lists_add_up_to_the_whole() {
    for size in [1, 2, 3, 9, 27, 28, 65, 82, 120, 300] {
        let fleet: Vec<_> = (0..size).map(|index| member(index, size, NOW)).collect();
        assert!(sums(&fleet).iter().all(|&sum| sum == DIVIDED), "{size}");
    }
}

/// Routers that are cut off don't know those that joined since.
#[test]
fn shares_hold_while_routers_join_that_others_do_not_know() {
    for size in [3, 9, 65, 82, 120, 300] {
        for (cut_share, joined_share) in [(10, 3), (3, 3), (2, 1), (3, 1)] {
            let total = size + size / joined_share;
            let fleet: Vec<_> = (0..total)
                .map(|index| {
                    if index < size / cut_share {
                        member(index, size, NOW - 8_000)
                    } else {
                        member(index, total, NOW)
                    }
                })
                .collect();
            let max = sums(&fleet).into_iter().max().unwrap();
            assert!(
                max <= TOLERATED,
                "{size}, {cut_share}, {joined_share}: {max}"
            );
        }
    }
}

#[test]
fn a_router_without_a_complete_list_has_no_share() {
    let mut members = FleetMembers::default();
    let mut list = RouterList {
        local: router(0),
        routers: vec![router(0)],
        is_complete: false,
        is_in_touch: true,
    };
    members.observe(&list, at(0));
    members.observe(&list, at(NOW));
    assert_eq!(members.share(members.rank(router(9)), DIVIDED, at(NOW)), 0);
    // It counts from the first complete list.
    list.is_complete = true;
    members.observe(&list, at(NOW));
    assert_eq!(members.share(0, DIVIDED, at(NOW + 7_900)), 0);
    members.observe(&list, at(NOW + 8_000));
    assert_eq!(members.share(0, DIVIDED, at(NOW + 8_000)), DIVIDED);
}

/// The other part of a fleet that is cut in two still counts, until it surely takes no share.
#[test]
fn routers_that_vanish_count_on() {
    let mut members = member(0, 2, NOW);
    let alone = RouterList {
        local: router(0),
        routers: vec![router(0)],
        is_complete: true,
        is_in_touch: true,
    };
    members.observe(&alone, at(NOW + 100_000));
    let shares = |members: &FleetMembers, now| members.share(1, DIVIDED, at(now));
    assert_eq!(shares(&members, NOW + 100_000), DIVIDED / 2);
    members.observe(&alone, at(NOW + 121_000));
    assert_eq!(shares(&members, NOW + 121_000), DIVIDED);
    assert_eq!(shares(&members, NOW + 121_000 + 121_000), 0);
}

/// The others have divided the share of a router that was cut off for long.
#[test]
fn a_router_that_is_back_after_a_long_cut_has_no_share_at_first() {
    let mut members = member(0, 1, 0);
    let list = |is_in_touch| RouterList {
        local: router(0),
        routers: vec![router(0)],
        is_complete: true,
        is_in_touch,
    };
    members.observe(&list(false), at(200_000));
    members.observe(&list(true), at(201_000));
    assert_eq!(members.share(0, DIVIDED, at(201_000)), 0);
    members.observe(&list(true), at(215_000));
    assert_eq!(members.share(0, DIVIDED, at(215_000)), DIVIDED);
}
