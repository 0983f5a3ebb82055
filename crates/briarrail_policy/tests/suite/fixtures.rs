//! Targets, settings and views for tests.

use briarrail_model::{
    HostPhase, LoadRecord, MilliDuration, MilliTime, RoutingPreference, StableHash,
};
use briarrail_policy::{
    LoadTracker, PlacementRequest, PlacementSettings, PlacementView, RouterTopology, TargetInput,
    place,
};

pub(crate) const LOCAL_REGION: StableHash = StableHash(100);
pub(crate) const REMOTE_REGION: StableHash = StableHash(200);

pub(crate) fn topology() -> RouterTopology {
    RouterTopology {
        data_centre: StableHash(1),
        region: LOCAL_REGION,
        router_count: 9,
    }
}

pub(crate) fn settings() -> PlacementSettings {
    PlacementSettings::new(1.4, RoutingPreference::EvenLoad)
}

pub(crate) fn at(seconds: u64) -> MilliTime {
    MilliTime::default() + MilliDuration::from_secs(1_000 + seconds)
}

pub(crate) fn target(name: u64) -> TargetInput {
    TargetInput {
        name: StableHash(name.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        data_centre: StableHash(1),
        region: LOCAL_REGION,
        phase: HostPhase::Live,
        incarnation: 1,
        load: None,
        peer_in_flight: None,
        in_flight: 0,
    }
}

pub(crate) fn targets(count: u64) -> Vec<TargetInput> {
    (1..=count).map(target).collect()
}

pub(crate) fn report(streams: u32, at: MilliTime) -> Option<LoadRecord> {
    Some(LoadRecord {
        version: at,
        streams,
        keep_share: u8::MAX,
    })
}

/// Returns the view that a new tracker builds from the inputs.
pub(crate) fn view_of(inputs: &[TargetInput]) -> PlacementView {
    LoadTracker::new(at(0)).refresh(inputs, settings(), topology(), at(0))
}

/// Returns the name of the target on which a chat is placed.
pub(crate) fn chosen_target(
    view: &PlacementView,
    inputs: &[TargetInput],
    chat: u64,
) -> Option<StableHash> {
    let counts: Vec<u32> = inputs.iter().map(|input| input.in_flight).collect();
    let request = PlacementRequest::for_chat(StableHash(chat.wrapping_mul(0xD6E8_FEB8_6659_FD93)));
    let target = place(view, &request, &counts, chat).target()?;
    Some(inputs[target.as_usize()].name)
}
