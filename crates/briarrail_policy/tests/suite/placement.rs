//! Tests of placement.

use briarrail_model::{HostPhase, MilliDuration, StableHash};
use briarrail_policy::{
    LoadTracker, PeerInFlight, PlacementDecision, PlacementRequest, PlacementSettings,
    PlacementView, TargetInput, place,
};

use super::fixtures::{
    REMOTE_REGION, at, chosen_target, report, settings, target, targets, topology, view_of,
};

const CHAT_COUNT: u64 = 4_000;

#[test]
fn placement_does_not_depend_on_host_list_order() {
    let inputs = targets(12);
    let mut reversed = inputs.clone();
    reversed.reverse();
    let (view, other) = (view_of(&inputs), view_of(&reversed));
    for chat in 0..CHAT_COUNT {
        assert_eq!(
            chosen_target(&view, &inputs, chat),
            chosen_target(&other, &reversed, chat)
        );
    }
}

#[test]
fn a_leaving_target_moves_only_its_own_chats() {
    let inputs = targets(12);
    let mut after = inputs.clone();
    after[4].phase = HostPhase::Leaving;
    let (view, view_after) = (view_of(&inputs), view_of(&after));
    for chat in 0..CHAT_COUNT {
        let (home, now) = (
            chosen_target(&view, &inputs, chat),
            chosen_target(&view_after, &after, chat),
        );
        assert_ne!(now, Some(inputs[4].name));
        assert!(
            home == now || home == Some(inputs[4].name),
            "chat {chat} moved"
        );
    }
}

#[test]
fn a_joining_target_takes_only_its_own_share_of_chats() {
    let inputs = targets(12);
    let joined = targets(13);
    let (view, after) = (view_of(&inputs), view_of(&joined));
    let mut moved = 0;
    for chat in 0..CHAT_COUNT {
        let (home, now) = (
            chosen_target(&view, &inputs, chat),
            chosen_target(&after, &joined, chat),
        );
        let taken = now == Some(joined[12].name);
        assert!(home == now || taken, "chat {chat} moved to another target");
        moved += u64::from(taken);
    }
    let share = CHAT_COUNT / 13;
    assert!((share / 2..share * 2).contains(&moved), "{moved} moved");
}

#[test]
fn a_restarted_target_ramps_up_but_a_briefly_absent_one_does_not() {
    let mut tracker = LoadTracker::new(at(0));
    let inputs = targets(12);
    tracker.refresh(&inputs, settings(), topology(), at(60));
    tracker.refresh(&inputs[1..], settings(), topology(), at(70));
    let warm = tracker.refresh(&inputs, settings(), topology(), at(80));
    let warm_chats = count_chats(&warm, &inputs, 0);
    let mut restarted = inputs.clone();
    restarted[0].incarnation += 1;
    let cold = tracker.refresh(&restarted, settings(), topology(), at(90));
    let cold_chats = count_chats(&cold, &restarted, 0);
    let ready = tracker.refresh(&restarted, settings(), topology(), at(96));
    assert!(
        cold_chats * 2 < warm_chats,
        "{cold_chats} of {warm_chats} chats at once"
    );
    assert_eq!(count_chats(&ready, &restarted, 0), warm_chats);
}

#[test]
fn a_flapping_target_is_suppressed_until_it_is_stable() {
    let mut tracker = LoadTracker::new(at(0));
    let inputs = targets(12);
    for cycle in 0..4 {
        tracker.refresh(&inputs, settings(), topology(), at(60 + cycle * 4));
        tracker.refresh(&inputs[1..], settings(), topology(), at(62 + cycle * 4));
    }
    let suppressed = tracker.refresh(&inputs, settings(), topology(), at(80));
    let stable = tracker.refresh(&inputs, settings(), topology(), at(300));
    assert_eq!(count_chats(&suppressed, &inputs, 0), 0);
    assert!(count_chats(&stable, &inputs, 0) > 0);
}

#[test]
fn an_overloaded_target_sheds_and_the_others_keep_their_chats() {
    let mut inputs = targets(12);
    for input in &mut inputs {
        input.load = report(180, at(0));
    }
    let even = view_of(&inputs);
    inputs[3].load = report(270, at(0));
    let skewed = view_of(&inputs);
    for chat in 0..CHAT_COUNT {
        let (home, now) = (
            chosen_target(&even, &inputs, chat),
            chosen_target(&skewed, &inputs, chat),
        );
        assert_ne!(now, Some(inputs[3].name));
        assert!(home == now || home == Some(inputs[3].name));
    }
}

#[test]
fn other_regions_are_used_only_without_local_targets() {
    let mut inputs = targets(4);
    inputs[2].region = REMOTE_REGION;
    inputs[3].region = REMOTE_REGION;
    let view = view_of(&inputs);
    let remote = [inputs[2].name, inputs[3].name];
    for chat in 0..CHAT_COUNT {
        let name = chosen_target(&view, &inputs, chat).expect("a target is eligible");
        assert!(!remote.contains(&name));
    }
    let left = view_of(&inputs[2..]);
    assert!(chosen_target(&left, &inputs[2..], 1).is_some());
}

#[test]
fn requests_wait_for_full_targets_and_are_then_refused() {
    let mut inputs = targets(3);
    for input in &mut inputs {
        input.load = report(50, at(0));
    }
    let mut stream_limited = settings();
    stream_limited.max_streams_per_target = 50;
    let view = LoadTracker::new(at(0)).refresh(&inputs, stream_limited, topology(), at(0));
    let request = PlacementRequest::for_chat(StableHash(5));
    let first = place(&view, &request, &[0, 0, 0][..], 1);
    assert!(matches!(first, PlacementDecision::Wait { .. }));
    let late = place(
        &view,
        &request.waited(stream_limited.max_wait),
        &[0, 0, 0][..],
        1,
    );
    let PlacementDecision::Refuse { retry_after } = late else {
        panic!("expected a refusal, got {late:?}");
    };
    assert!(retry_after >= MilliDuration::from_secs(1));
}

#[test]
fn a_burst_spread_over_all_targets_is_not_delayed() {
    let inputs = targets(3);
    let view = view_of(&inputs);
    let mut counts = vec![0_u32; 3];
    for chat in 0..600 {
        let request = PlacementRequest::for_chat(StableHash(chat));
        let target = place(&view, &request, &counts, chat).target();
        counts[target.expect("a target has capacity").as_usize()] += 1;
    }
    let busiest = *counts.iter().max().expect("three targets");
    assert!(
        busiest <= 280,
        "busiest of {counts:?} is above 1.4 times the mean"
    );
}

#[test]
fn targets_without_caches_get_two_choice_placement() {
    let mut service = settings();
    service.reports_load = false;
    service.caches_context = false;
    let mut inputs = targets(2);
    inputs[0].in_flight = 3;
    let view = LoadTracker::new(at(0)).refresh(&inputs, service, topology(), at(0));
    let request = PlacementRequest::for_chat(StableHash(1));
    let target_for = |seed| place(&view, &request, &[3, 0][..], seed).target();
    let second_target =
        (0..100).filter(|&seed| target_for(seed).is_some_and(|target| target.as_usize() == 1));
    assert!(second_target.count() >= 60);
}

#[test]
fn newer_peer_counts_replace_an_older_report() {
    let mut inputs = targets(12);
    let peer_counts = PeerInFlight {
        as_of: at(9),
        in_flight: 180,
    };
    for input in &mut inputs {
        input.load = report(180, at(4));
        input.peer_in_flight = Some(peer_counts);
    }
    inputs[3].peer_in_flight = Some(PeerInFlight {
        in_flight: 270,
        ..peer_counts
    });
    let view = LoadTracker::new(at(10)).refresh(&inputs, settings(), topology(), at(10));
    assert_eq!(count_chats(&view, &inputs, 3), 0);
    let missing = [report(10, at(9)), None];
    assert_eq!(
        PeerInFlight::sum(missing, MilliDuration::ZERO, at(10)),
        None
    );
}

#[test]
fn pool_row_sets_the_placement_settings() {
    let text = r#"{"name":"pan-model","kind":"model","targets":{"service":"pan-model"},
        "reports_load":true,"skew_bound":1.6,"preference":"even_load"}"#;
    let row = serde_json::from_str(text).expect("the row is valid");
    insta::assert_debug_snapshot!(PlacementSettings::from_pool(&row));
}

#[test]
fn a_target_without_load_reports_keeps_chats() {
    let mut inputs = targets(12);
    for input in &mut inputs[1..] {
        input.load = report(180, at(0));
    }
    let view = view_of(&inputs);
    assert!(count_chats(&view, &inputs, 0) > 0);
    assert!(view.eligible_count() == 12 && target(1).name == inputs[0].name);
}

/// Returns the number of chats that are placed on a target.
fn count_chats(view: &PlacementView, inputs: &[TargetInput], position: usize) -> usize {
    let name = Some(inputs[position].name);
    (0..CHAT_COUNT)
        .filter(|&chat| chosen_target(view, inputs, chat) == name)
        .count()
}

#[test]
fn a_shedding_target_takes_chats_again_without_a_new_report() {
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
        kept.push(count_chats(&view, &inputs, 3));
    }
    assert_eq!(kept[..2], [0, 0]);
    assert!(kept[7] > 0, "target still sheds all chats: {kept:?}");
}
