//! Streams go on only at the release that began them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use briarrail_dispatch::{
    LiveOrigins, PlacementRequest, ReleaseEntry, ReleaseKey, ReleaseLedger, SendDenial, SendNeed,
    SendOutcome, ServiceRelease, StreamKey, StreamOrigins, TargetPhase, TargetRecord,
    TargetRegistry, is_in_touch, origin_holders, origin_sources, origin_witnesses, sole_release,
};
use briarrail_model::HostName;

use crate::fixtures::{LIMITS, at, prompt, request, target};

fn release(version: &str) -> ServiceRelease {
    ServiceRelease {
        service: "model".into(),
        version: version.into(),
    }
}

fn entry(version: &str, is_guarded: bool) -> ReleaseEntry {
    ReleaseEntry {
        release: release(version),
        is_guarded,
    }
}

fn target_of(id: &str, version: &str) -> TargetRecord {
    TargetRecord {
        version: version.into(),
        ..target(id)
    }
}

fn stream(index: u32) -> StreamKey {
    StreamKey::new(format!("attempt-{index}").as_bytes())
}

fn routers(count: usize) -> Vec<HostName> {
    let names = (0..count).map(|index| format!("router-{index}"));
    names.map(|name| name.as_str().into()).collect()
}

/// Returns the versions at which prompts are placed that only targets of a release can continue.
fn placed_versions(registry: &TargetRegistry, key: ReleaseKey) -> BTreeSet<String> {
    let placed = (0..200).filter_map(|index| {
        let prompt = prompt(index, 10_000);
        let pinned = PlacementRequest {
            need: SendNeed {
                release: Some(key),
                ..SendNeed::ANY
            },
            ..request(&prompt)
        };
        let placement = registry.place(&pinned, &LIMITS, at(0))?;
        Some(registry.get(placement.target)?.record.version.clone())
    });
    placed.collect()
}

#[test]
fn a_stream_is_placed_only_at_its_release() {
    let mut registry = TargetRegistry::default();
    for index in 0..4 {
        registry.upsert(target_of(&format!("old-{index}"), "1"), at(0));
        registry.upsert(target_of(&format!("new-{index}"), "2"), at(0));
    }
    let only = |version: &str| BTreeSet::from([version.to_owned()]);
    assert_eq!(placed_versions(&registry, release("1").key()), only("1"));
    assert_eq!(placed_versions(&registry, release("2").key()), only("2"));
    assert_eq!(
        placed_versions(&registry, release("3").key()),
        BTreeSet::new()
    );
}

/// Ejection lets requests go to any target rather than to none; that must not widen the release.
#[test]
fn a_stream_stays_at_its_release_while_its_targets_are_ejected_or_leave() {
    let mut registry = TargetRegistry::default();
    let old = registry.upsert(target_of("old", "1"), at(0));
    for index in 0..3 {
        registry.upsert(target_of(&format!("new-{index}"), "2"), at(0));
    }
    registry.record_outcome(old, SendOutcome::Unreachable, at(0));
    let only_old = BTreeSet::from(["1".to_owned()]);
    assert_eq!(placed_versions(&registry, release("1").key()), only_old);
    let leaving = TargetRecord {
        phase: TargetPhase::Draining,
        ..target_of("old", "1")
    };
    registry.upsert(leaving, at(0));
    assert_eq!(
        placed_versions(&registry, release("1").key()),
        BTreeSet::new()
    );
}

#[test]
fn a_target_that_starts_again_can_be_of_another_release() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target_of("one", "1"), at(0));
    let restarted = TargetRecord {
        started_unix_ms: 2,
        ..target_of("one", "2")
    };
    registry.upsert(restarted, at(10));
    assert_eq!(
        placed_versions(&registry, release("1").key()),
        BTreeSet::new()
    );
}

/// A target that refused a connection may be another one when it is back, until a newer view lists it.
#[test]
fn a_target_that_refused_a_connection_gets_no_resumable_stream_until_the_view_is_newer() {
    let resumable = SendNeed {
        is_resumable: true,
        ..SendNeed::ANY
    };
    let mut registry = TargetRegistry::default();
    let key = registry.upsert(target_of("one", "1"), at(0));
    registry.record_view(at(1_000));
    let denial =
        |registry: &TargetRegistry, need: &SendNeed<'_>| registry.denial(key, need, at(9_000));
    assert_eq!(denial(&registry, &resumable), None);
    registry.record_refused(key, at(2_000));
    assert_eq!(
        denial(&registry, &resumable),
        Some(SendDenial::UncertainRelease)
    );
    assert_eq!(denial(&registry, &SendNeed::ANY), None);
    registry.record_view(at(1_900));
    assert!(denial(&registry, &resumable).is_some());
    registry.record_view(at(2_001));
    assert_eq!(denial(&registry, &resumable), None);
    registry.record_refused(key, at(3_000));
    let restarted = TargetRecord {
        started_unix_ms: 2,
        ..target_of("one", "2")
    };
    registry.upsert(restarted, at(3_500));
    assert_eq!(denial(&registry, &resumable), None);
}

#[test]
fn versions_of_two_services_are_different_releases() {
    let other = ReleaseKey::new("other", "1");
    assert_ne!(release("1").key(), other);
}

/// A router that takes a stream up asks all holders, whoever told them.
#[test]
fn every_holder_of_an_origin_is_asked_at_fleets_of_any_size() {
    for count in [2, 3, 7, 9, 90, 300] {
        let routers = routers(count);
        for index in 0..300 {
            let teller = &routers[index as usize % count];
            let asker = &routers[(index as usize + 1) % count];
            let others = |name| routers.iter().filter(move |other| *other != name);
            let holders = origin_holders(stream(index), others(teller));
            let sources = origin_sources(stream(index), others(asker));
            let is_asked = |holder: &&HostName| *holder == asker || sources.contains(holder);
            assert!(holders.iter().all(is_asked), "{count} routers, {index}");
        }
    }
}

/// Shares of streams whose origin one of the surviving routers holds, after the router of the stream
/// and a share of the others were lost.
#[test]
fn origins_survive_the_loss_of_many_routers() {
    for count in [7, 9, 90, 300] {
        for lost_share in [0.2, 0.5] {
            let routers = routers(count);
            let lost = (count as f64 * lost_share).ceil() as usize;
            let known = (0..2_000).filter(|&index| {
                let teller = &routers[index as usize % lost];
                let others = routers.iter().filter(|other| *other != teller);
                let holders = origin_holders(stream(index), others);
                holders
                    .into_iter()
                    .any(|name| !routers[..lost].contains(name))
            });
            let share = known.count() as f64 / 2_000.0;
            // The router of the stream is one of those that are lost.
            let holder_loss = (lost - 1) as f64 / (count - 1) as f64;
            let expected = 1.0 - holder_loss * holder_loss;
            assert!(
                share > expected - 0.05,
                "{count} routers, {lost} lost: {share}"
            );
        }
    }
}

#[test]
fn origins_are_remembered_longer_than_callers_wait_and_bounded() {
    let mut origins = StreamOrigins::default();
    assert!(origins.record(stream(0), release("1").key(), at(0)));
    assert!(!origins.record(stream(0), release("2").key(), at(10)));
    assert_eq!(
        origins.find(stream(0), at(29_000)),
        Some(release("1").key())
    );
    assert_eq!(origins.find(stream(0), at(31_000)), None);
    for index in 0..50_000 {
        origins.record(stream(index), release("1").key(), at(40_000));
    }
    assert_eq!(origins.find(stream(0), at(40_000)), None);
    assert!(origins.find(stream(49_999), at(40_000)).is_some());
    let known = (0..50_000).filter(|&index| origins.find(stream(index), at(40_000)).is_some());
    assert!(known.count() <= 16_384);
}

#[test]
fn a_stream_of_unknown_origin_goes_on_only_if_one_release_can_have_begun_it() {
    let in_use = |versions: &[&str]| versions.iter().map(|version| release(version)).collect();
    let sole = |stored: &[&str], used: &[&str]| {
        sole_release("model", &in_use(stored), &in_use(used)).map(|found| {
            let all = ["1", "2"].map(release);
            let name = all.into_iter().find(|other| other.key() == found);
            name.map(|name| name.version)
        })
    };
    let one = Some(Some("1".to_owned()));
    assert_eq!(sole(&["1"], &["1"]), one);
    assert_eq!(sole(&["1"], &[]), one);
    // The second one has just left, or just come.
    assert_eq!(sole(&["1", "2"], &["1"]), None);
    assert_eq!(sole(&["1"], &["1", "2"]), None);
    assert_eq!(sole(&["1"], &["2"]), None);
    // The store holds nothing yet.
    assert_eq!(sole(&[], &["1"]), one);
    assert_eq!(sole(&[], &["1", "2"]), None);
    assert_eq!(sole(&[], &[]), None);
    let other = ServiceRelease {
        service: "other".into(),
        version: "2".into(),
    };
    let both = BTreeSet::from([release("1"), other]);
    assert_eq!(
        sole_release("model", &both, &in_use(&["1"])),
        Some(release("1").key())
    );
}

#[test]
fn a_release_stays_listed_until_no_stream_of_it_is_under_way() {
    let set = |versions: &[&str]| -> BTreeSet<ServiceRelease> {
        versions.iter().map(|version| release(version)).collect()
    };
    let mut ledger = ReleaseLedger::default();
    ledger.replace_listed([entry("1", false)]);
    assert_eq!(ledger.unlisted(set(&["1", "2"])), set(&["2"]));
    let both = BTreeSet::from([release("1").key(), release("2").key()]);
    assert_eq!(ledger.ambiguous(&set(&["1"])), BTreeSet::new());
    assert_eq!(ledger.ambiguous(&set(&["2"])), both);
    ledger.record_listed(entry("2", true));
    assert_eq!(ledger.ambiguous(&set(&["2"])), both);
    assert_eq!(ledger.expired(&set(&["1", "2"]), at(0)), []);
    assert_eq!(ledger.expired(&set(&["2"]), at(1_000)), []);
    assert_eq!(ledger.expired(&set(&["2"]), at(15_000)), []);
    // A target of the release is back for a moment, which begins the time again.
    assert_eq!(ledger.expired(&set(&["1", "2"]), at(15_500)), []);
    assert_eq!(ledger.expired(&set(&["2"]), at(17_000)), []);
    assert_eq!(ledger.expired(&set(&["2"]), at(32_000)), [release("1")]);
    ledger.record_removed(&release("1"));
    assert_eq!(ledger.ambiguous(&set(&["2"])), BTreeSet::new());
}

#[test]
fn a_page_is_written_again_until_the_store_has_it() {
    let (old, new) = (release("1").key(), release("2").key());
    let mut live = LiveOrigins::default();
    assert_eq!(live.next_page(), None);
    assert!(live.record_begin(stream(1), old, at(0)));
    assert!(!live.record_begin(stream(1), new, at(10)));
    let first = BTreeMap::from([(old, vec![stream(1)])]);
    assert_eq!(live.next_page(), Some(first.clone()));
    // The call failed.
    assert_eq!(live.next_page(), Some(first));
    live.confirm_page();
    assert_eq!(live.next_page(), None);
    live.record_begin(stream(2), new, at(200));
    let both = BTreeMap::from([(old, vec![stream(1)]), (new, vec![stream(2)])]);
    assert_eq!(live.next_page(), Some(both));
    live.confirm_page();
    // An end alone is not worth a call.
    live.record_end(stream(1));
    assert_eq!(live.next_page(), None);
    live.record_begin(stream(3), new, at(400));
    live.retain(|release| release == new, at(400));
    let page = live.next_page().unwrap();
    assert_eq!(page.keys().collect::<Vec<_>>(), [&new]);
    assert_eq!(page[&new].len(), 2);
    live.retain(|_| true, at(40_000));
    assert_eq!(live.of_release(new).count(), 0);
}

/// All routers are lost at a moment while 30 streams of 600 ms begin each second at either of two
/// releases, and the page is written each 200 ms in a store that answers after 4, 200 or 400 ms.
#[test]
fn streams_go_on_after_the_loss_of_all_routers_at_no_other_release() {
    const STREAM_MS: u64 = 600;
    let mut shares = BTreeMap::new();
    for answer_ms in [4, 200, 400] {
        let (mut known, mut under_way, mut largest) = (0, 0, 0);
        for lost_at in (20_000..24_000).step_by(37) {
            let mut live = LiveOrigins::default();
            let mut stored: BTreeMap<ReleaseKey, Vec<StreamKey>> = BTreeMap::new();
            let mut writing: Option<(u64, BTreeMap<ReleaseKey, Vec<StreamKey>>)> = None;
            let mut begun: Vec<(u64, StreamKey, ReleaseKey)> = Vec::new();
            for now in 15_000..lost_at {
                if now % 33 == 0 {
                    let index = begun.len() as u32;
                    let version = if index.is_multiple_of(3) { "1" } else { "2" };
                    begun.push((now, stream(index), release(version).key()));
                    live.record_begin(stream(index), release(version).key(), at(now));
                }
                let ended = begun.iter().filter(|(at, ..)| at + STREAM_MS == now);
                ended.for_each(|(_, stream, _)| live.record_end(*stream));
                if let Some((_, page)) = writing.take_if(|(done_at, _)| *done_at == now) {
                    stored = page;
                    live.confirm_page();
                }
                if now % 200 == 0 && writing.is_none() {
                    let page = live.next_page();
                    writing = page.map(|page| (now + answer_ms, page));
                }
            }
            largest = largest.max(stored.values().map(Vec::len).sum());
            let origins: HashMap<StreamKey, ReleaseKey> = stored
                .iter()
                .flat_map(|(key, streams)| streams.iter().map(|stream| (*stream, *key)))
                .collect();
            for (began_at, stream, key) in begun {
                if lost_at - began_at < STREAM_MS {
                    under_way += 1;
                    let found = origins.get(&stream);
                    assert!(found.is_none_or(|found| *found == key));
                    known += usize::from(found.is_some());
                }
            }
        }
        assert!(largest <= 25, "{largest} streams on a page");
        shares.insert(answer_ms, known * 100 / under_way);
    }
    insta::assert_debug_snapshot!(shares);
}

/// Replays routers that are cut off from the rest alone or as a part of a data centre, and routers
/// beside others that are lost, while none reads the store.
#[test]
fn a_router_trusts_what_it_followed_only_beside_most_of_the_fleet() {
    for count in [2, 3, 7, 9, 90, 300, 3_600] {
        let routers = routers(count);
        let (asker, others) = routers.split_first().unwrap();
        // Number of the others that the asker reaches, and whether it may trust its own view.
        let cases = [
            (0, false),
            (count / 4, false),
            (count * 3 / 4, true),
            (count - 1, true),
        ];
        for (reached_count, may_trust) in cases {
            if count < 7 && reached_count != 0 && reached_count != count - 1 {
                continue;
            }
            let reached = &others[..reached_count.min(others.len())];
            let mut trusted = 0;
            for index in 0..100 {
                let witnesses = origin_witnesses(stream(index), others);
                assert!(!witnesses.contains(&asker));
                let answered = witnesses.iter().filter(|name| reached.contains(name));
                trusted += u32::from(is_in_touch(witnesses.len(), answered.count()));
            }
            // In large fleets the witnesses are a sample.
            let is_as_expected = if may_trust {
                trusted >= 90
            } else {
                trusted <= 10
            };
            assert!(
                is_as_expected,
                "{count} routers, {reached_count} reached: {trusted}"
            );
        }
    }
    // A router that knows no other one has nobody to miss.
    assert!(is_in_touch(0, 0));
}
