//! Where chats go.

use briarrail_model::{HostPhase, MilliDuration, StableHash};
use briarrail_policy::{
    LoadTracker, PeerInFlight, PlacementDecision, PlacementRequest, PlacementSettings, place,
};

use super::fakes::{AWAY, at, chosen, fresh_view, report, settings, target, targets, topology};

const CHATS: u64 = 4_000;

#[test]
fn the_order_of_the_host_list_does_not_matter() {
    let inputs = targets(12);
    let mut reversed = inputs.clone();
    reversed.reverse();
    let (view, other) = (fresh_view(&inputs), fresh_view(&reversed));
    for chat in 0..CHATS {
        assert_eq!(
            chosen(&view, &inputs, chat),
            chosen(&other, &reversed, chat)
        );
    }
}

#[test]
fn a_leave_moves_only_the_chats_of_the_leaving_target() {
    let inputs = targets(12);
    let mut after = inputs.clone();
    after[4].phase = HostPhase::Leaving;
    let (view, left) = (fresh_view(&inputs), fresh_view(&after));
    for chat in 0..CHATS {
        let (home, now) = (chosen(&view, &inputs, chat), chosen(&left, &after, chat));
        assert_ne!(now, Some(inputs[4].name));
        assert!(
            home == now || home == Some(inputs[4].name),
            "chat {chat} moved"
        );
    }
}

#[test]
fn a_join_takes_its_own_share_and_moves_nothing_else() {
    let inputs = targets(12);
    let joined = targets(13);
    let (view, after) = (fresh_view(&inputs), fresh_view(&joined));
    let mut moved = 0;
    for chat in 0..CHATS {
        let (home, now) = (chosen(&view, &inputs, chat), chosen(&after, &joined, chat));
        let taken = now == Some(joined[12].name);
        assert!(home == now || taken, "chat {chat} moved elsewhere");
        moved += u64::from(taken);
    }
    let share = CHATS / 13;
    assert!((share / 2..share * 2).contains(&moved), "{moved} moved");
}

#[test]
fn a_cold_target_ramps_up_and_a_short_absence_does_not() {
    let mut tracker = LoadTracker::new(at(0));
    let inputs = targets(12);
    tracker.refresh(&inputs, settings(), topology(), at(60));
    tracker.refresh(&inputs[1..], settings(), topology(), at(70));
    let warm = tracker.refresh(&inputs, settings(), topology(), at(80));
    let full = homes(&warm, &inputs, 0);
    let mut restarted = inputs.clone();
    restarted[0].incarnation += 1;
    let cold = tracker.refresh(&restarted, settings(), topology(), at(90));
    let ramping = homes(&cold, &restarted, 0);
    let ready = tracker.refresh(&restarted, settings(), topology(), at(96));
    assert!(ramping * 2 < full, "{ramping} of {full} at once");
    assert_eq!(homes(&ready, &restarted, 0), full);
}

#[test]
fn a_flapping_target_is_held_back_until_it_stays() {
    let mut tracker = LoadTracker::new(at(0));
    let inputs = targets(12);
    for turn in 0..4 {
        tracker.refresh(&inputs, settings(), topology(), at(60 + turn * 4));
        tracker.refresh(&inputs[1..], settings(), topology(), at(62 + turn * 4));
    }
    let damped = tracker.refresh(&inputs, settings(), topology(), at(80));
    let steady = tracker.refresh(&inputs, settings(), topology(), at(300));
    assert_eq!(homes(&damped, &inputs, 0), 0);
    assert!(homes(&steady, &inputs, 0) > 0);
}

#[test]
fn a_loaded_target_sheds_and_the_others_keep_their_chats() {
    let mut inputs = targets(12);
    for input in &mut inputs {
        input.load = report(180, at(0));
    }
    let even = fresh_view(&inputs);
    inputs[3].load = report(270, at(0));
    let skewed = fresh_view(&inputs);
    for chat in 0..CHATS {
        let (home, now) = (chosen(&even, &inputs, chat), chosen(&skewed, &inputs, chat));
        assert_ne!(now, Some(inputs[3].name));
        assert!(home == now || home == Some(inputs[3].name));
    }
}

#[test]
fn another_region_serves_only_when_the_own_one_is_gone() {
    let mut inputs = targets(4);
    inputs[2].region = AWAY;
    inputs[3].region = AWAY;
    let view = fresh_view(&inputs);
    let far = [inputs[2].name, inputs[3].name];
    for chat in 0..CHATS {
        let name = chosen(&view, &inputs, chat).expect("a target is open");
        assert!(!far.contains(&name));
    }
    let left = fresh_view(&inputs[2..]);
    assert!(chosen(&left, &inputs[2..], 1).is_some());
}

#[test]
fn full_targets_make_requests_wait_then_refuse_them() {
    let mut inputs = targets(3);
    for input in &mut inputs {
        input.load = report(50, at(0));
    }
    let mut limited = settings();
    limited.max_streams_per_target = 50;
    let view = LoadTracker::new(at(0)).refresh(&inputs, limited, topology(), at(0));
    let request = PlacementRequest::for_chat(StableHash(5));
    let first = place(&view, &request, &[0, 0, 0][..], 1);
    assert!(matches!(first, PlacementDecision::Wait { .. }));
    let late = place(&view, &request.waited(limited.max_wait), &[0, 0, 0][..], 1);
    let PlacementDecision::Refuse { retry_after } = late else {
        panic!("expected a refusal, got {late:?}");
    };
    assert!(retry_after >= MilliDuration::from_secs(1));
}

#[test]
fn a_burst_on_all_targets_alike_is_not_held_back() {
    let inputs = targets(3);
    let view = fresh_view(&inputs);
    let mut counts = vec![0_u32; 3];
    for chat in 0..600 {
        let request = PlacementRequest::for_chat(StableHash(chat));
        let target = place(&view, &request, &counts, chat).target();
        counts[target.expect("a target has room").as_usize()] += 1;
    }
    let busiest = *counts.iter().max().expect("three targets");
    assert!(
        busiest <= 280,
        "busiest of {counts:?} is above 1.4 times the mean"
    );
}

#[test]
fn plain_services_take_the_less_loaded_of_two() {
    let mut service = settings();
    service.reports_load = false;
    service.caches_context = false;
    let mut inputs = targets(2);
    inputs[0].in_flight = 3;
    let view = LoadTracker::new(at(0)).refresh(&inputs, service, topology(), at(0));
    let request = PlacementRequest::for_chat(StableHash(1));
    let sent = |seed| place(&view, &request, &[3, 0][..], seed).target();
    let lighter = (0..100).filter(|&seed| sent(seed).is_some_and(|target| target.as_usize() == 1));
    assert!(lighter.count() >= 60);
}

#[test]
fn counts_of_all_routers_replace_an_older_report() {
    let mut inputs = targets(12);
    let counted = PeerInFlight {
        as_of: at(9),
        in_flight: 180,
    };
    for input in &mut inputs {
        input.load = report(180, at(4));
        input.peer_in_flight = Some(counted);
    }
    inputs[3].peer_in_flight = Some(PeerInFlight {
        in_flight: 270,
        ..counted
    });
    let view = LoadTracker::new(at(10)).refresh(&inputs, settings(), topology(), at(10));
    assert_eq!(homes(&view, &inputs, 3), 0);
    let missing = [report(10, at(9)), None];
    assert_eq!(
        PeerInFlight::sum(missing, MilliDuration::ZERO, at(10)),
        None
    );
}

#[test]
fn rows_of_the_pools_table_set_the_bound() {
    let text = r#"{"name":"pan-model","kind":"model","targets":{"service":"pan-model"},
        "reports_load":true,"skew_bound":1.6,"preference":"even_load"}"#;
    let row = serde_json::from_str(text).expect("the row is valid");
    insta::assert_debug_snapshot!(PlacementSettings::from_pool(&row));
}

#[test]
fn a_target_without_reports_keeps_its_chats() {
    let mut inputs = targets(12);
    for input in &mut inputs[1..] {
        input.load = report(180, at(0));
    }
    let view = fresh_view(&inputs);
    assert!(homes(&view, &inputs, 0) > 0);
    assert!(view.eligible_count() == 12 && target(1).name == inputs[0].name);
}

/// Returns the number of chats whose home is a target.
fn homes(
    view: &briarrail_policy::PlacementView,
    inputs: &[briarrail_policy::TargetInput],
    position: usize,
) -> usize {
    let name = Some(inputs[position].name);
    (0..CHATS)
        .filter(|&chat| chosen(view, inputs, chat) == name)
        .count()
}

#[test]
fn a_target_that_sheds_takes_chats_again_before_a_report_says_so() {
    let mut inputs = targets(12);
    for input in &mut inputs {
        input.load = report(180, at(0));
    }
    inputs[3].load = report(270, at(0));
    let mut tracker = LoadTracker::new(at(0));
    let mut kept = Vec::new();
    for second in [0, 1, 2, 3, 4, 6, 8, 10] {
        let view = tracker.refresh(&inputs, settings(), topology(), at(second));
        assert!((170.0..200.0).contains(&view.mean_load()));
        kept.push(homes(&view, &inputs, 3));
    }
    assert_eq!(kept[..2], [0, 0]);
    assert!(kept[7] > 0, "still sheds: {kept:?}");
}
