//! Releases of streams whose routers were lost are inferred, and never another one than that which
//! began the stream.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use briarrail_dispatch::{
    FleetEvidence, ReleaseEntry, ReleaseGate, ReleaseKey, ReleaseLedger, ReleaseUser, ReleaseUsers,
    ServiceRelease, StreamKey, can_infer, can_precede_process, infer_release, users_to_ask,
};
use briarrail_model::MilliDuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

const SERVICE: &str = "model";

fn release(version: &str) -> ServiceRelease {
    ServiceRelease {
        service: SERVICE.into(),
        version: version.into(),
    }
}

fn entry(version: &str, is_guarded: bool) -> ReleaseEntry {
    ReleaseEntry {
        release: release(version),
        is_guarded,
    }
}

fn set(versions: &[&str]) -> BTreeSet<ServiceRelease> {
    versions.iter().map(|version| release(version)).collect()
}

fn user(router: usize, incarnation: u64) -> ReleaseUser {
    ReleaseUser {
        router: format!("edge-{router}").as_str().into(),
        incarnation,
    }
}

fn versions<'r, R>(releases: R) -> Vec<&'r str>
where
    R: IntoIterator<Item = &'r ServiceRelease>,
{
    let releases = releases.into_iter();
    releases.map(|release| release.version.as_str()).collect()
}

/// Names the inferred release among `1`, `2` and `3`.
fn infer(
    listed: &[ReleaseEntry],
    in_use: &[&str],
    users: &ReleaseUsers,
    live: &[ReleaseUser],
) -> Option<&'static str> {
    let evidence = FleetEvidence {
        live: live.iter().cloned().collect(),
        has_lost_router: true,
    };
    let found = infer_release(SERVICE, listed, &set(in_use), users, &evidence)?;
    ["1", "2", "3"]
        .into_iter()
        .find(|version| release(version).key() == found)
}

#[test]
fn a_stream_that_nobody_knows_began_at_the_only_release_of_lost_routers() {
    let listed = [entry("1", false), entry("2", true), entry("3", true)];
    let users_of = |groups: &[(&str, &[ReleaseUser])]| -> ReleaseUsers {
        let groups = groups.iter();
        let groups = groups.map(|(version, users)| {
            let users = users.iter().cloned().collect();
            (release(version).key(), users)
        });
        groups.collect()
    };
    let (one, two) = (user(1, 10), user(2, 20));
    let both = [one.clone(), two.clone()];
    let one_again = [one.clone(), user(2, 21)];
    let second = users_of(&[("2", &both)]);
    let second_and_third = users_of(&[("2", &both), ("3", &both)]);
    let (none, two_listed) = (ReleaseUsers::new(), &listed[..2]);
    let results = [
        (
            "no user of the new release",
            infer(two_listed, &["1", "2"], &none, &[]),
        ),
        (
            "its users live",
            infer(two_listed, &["1", "2"], &second, &both),
        ),
        (
            "a user is lost",
            infer(two_listed, &["1", "2"], &second, &both[..1]),
        ),
        (
            "a user started again",
            infer(two_listed, &["1", "2"], &second, &one_again),
        ),
        (
            "the users of three live",
            infer(&listed, &["1", "2", "3"], &second_and_third, &both),
        ),
        (
            "a user of three is lost",
            infer(&listed, &["1", "2", "3"], &second_and_third, &both[..1]),
        ),
        (
            "the third is not listed yet",
            infer(two_listed, &["1", "3"], &second, &both),
        ),
        (
            "the old one has left",
            infer(&listed[1..2], &["2"], &second, &[]),
        ),
    ];
    insta::assert_debug_snapshot!(results);
}

#[test]
fn nothing_is_inferred_without_a_lost_router_or_for_long_streams() {
    let listed = [entry("1", false), entry("2", true)];
    let users = ReleaseUsers::new();
    let whole = FleetEvidence::default();
    assert_eq!(
        infer_release(SERVICE, &listed, &set(&["1"]), &users, &whole),
        None
    );
    assert!(users_to_ask(SERVICE, &listed, &users).is_empty());
    assert!(can_infer(MilliDuration::from_secs(15)));
    assert!(!can_infer(MilliDuration::from_secs(25)));
    assert!(can_precede_process(MilliDuration::from_secs(29)));
    assert!(!can_precede_process(MilliDuration::from_secs(31)));
}

#[test]
fn a_release_is_used_once_admitted_or_where_no_other_one_is_ready() {
    let mut gate = ReleaseGate::default();
    let mut steps = Vec::new();
    let both = set(&["1", "2"]);
    let opened = gate.admit_unguarded(&[entry("1", false), entry("2", true)], &both);
    steps.push(("the store lists both", versions(&opened).join(",")));
    let opened = gate.open_overdue(&both, &both, at(10_000));
    steps.push(("the old one is ready", versions(&opened).join(",")));
    let only = set(&["2"]);
    let opened = gate.open_overdue(&both, &only, at(10_400));
    steps.push(("it drains, early", versions(&opened).join(",")));
    let opened = gate.open_overdue(&both, &only, at(10_500));
    steps.push(("it drains", versions(&opened).join(",")));
    let pending = gate.pending(&both);
    steps.push(("pending", versions(&pending).join(",")));
    let opened = gate.admit(&BTreeSet::from([release("2").key()]), &both);
    steps.push(("admitted while in use", versions(&opened).join(",")));
    gate.drop_unused(&only, at(20_000));
    steps.push(("gone", gate.is_open(&release("1")).to_string()));
    gate.drop_unused(&only, at(25_000));
    steps.push(("gone for long", gate.is_open(&release("1")).to_string()));
    let mut fresh = ReleaseGate::default();
    let opened = fresh.admit_unguarded(&[], &both);
    steps.push(("two of a new service", versions(&opened).join(",")));
    let opened = fresh.admit_unguarded(&[], &only);
    steps.push(("the first of a new service", versions(&opened).join(",")));
    insta::assert_debug_snapshot!(steps);
}

#[test]
fn a_release_is_guarded_until_it_is_the_only_one() {
    let mut ledger = ReleaseLedger::default();
    assert_eq!(ledger.new_entry(release("1")), entry("1", false));
    ledger.record_listed(entry("1", false));
    assert_eq!(ledger.new_entry(release("2")), entry("2", true));
    ledger.record_listed(entry("2", true));
    assert_eq!(ledger.sole_guarded(), []);
    ledger.record_removed(&release("1"));
    assert_eq!(ledger.sole_guarded(), [release("2")]);
    ledger.record_listed(entry("2", false));
    assert_eq!(ledger.sole_guarded(), []);
}

/// A router process of the replay.
struct Router {
    user: ReleaseUser,
    gate: ReleaseGate,
    /// Releases whose targets the router knows, with the time from which on.
    learns_at: BTreeMap<&'static str, u64>,
    /// Time at which the store has the admission that is on its way.
    admitted_at: Option<u64>,
    streams: HashMap<StreamKey, ReleaseKey>,
}

impl Router {
    fn in_use(&self, now: u64) -> BTreeSet<ServiceRelease> {
        let known = self.learns_at.iter().filter(|(_, at)| **at <= now);
        known.map(|(version, _)| release(version)).collect()
    }
}

/// The part of the platform's store that the routers use.
#[derive(Default)]
struct Store {
    listed: Vec<ReleaseEntry>,
    users: ReleaseUsers,
    streams: HashMap<StreamKey, ReleaseKey>,
}

/// What came of the streams of lost routers.
#[derive(Debug, Default)]
struct Tally {
    stored: u32,
    inferred: u32,
    refused: u32,
}

/// Replays routers that begin streams, learn late of releases, are admitted late and are lost at any
/// moment, alone or all at once. Streams are lost with their router unless the store has them.
fn replay(seed: u64, router_count: usize) -> Tally {
    const END_MS: u64 = 6_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut store = Store::default();
    store.listed.push(entry("1", false));
    let begins = [
        ("2", rng.random_range(1_000..4_000)),
        ("3", rng.random_range(2_000..6_000)),
    ];
    let total_loss = rng.random_bool(0.3).then(|| rng.random_range(500..END_MS));
    let mut incarnation = 0;
    let mut start = |now: u64, rng: &mut SmallRng, index: usize, store: &Store| {
        incarnation += 1;
        let mut learns_at = BTreeMap::from([("1", now)]);
        for (version, at) in begins {
            learns_at.insert(version, at.max(now) + rng.random_range(0..300));
        }
        let mut gate = ReleaseGate::default();
        gate.admit_unguarded(&store.listed, &set(&["1"]));
        Router {
            user: user(index, incarnation),
            gate,
            learns_at,
            admitted_at: None,
            streams: HashMap::new(),
        }
    };
    let mut routers: Vec<Router> = (0..router_count)
        .map(|index| start(0, &mut rng, index, &store))
        .collect();
    let mut tally = Tally::default();
    let mut stream_count = 0_u32;
    for now in (0..END_MS).step_by(10) {
        for (version, at) in begins {
            if at / 10 == now / 10 {
                store.listed.push(entry(version, true));
            }
        }
        for router in &mut routers {
            let in_use = router.in_use(now);
            if router.admitted_at.take_if(|at| *at <= now).is_some() {
                let keys: BTreeSet<ReleaseKey> = in_use.iter().map(ServiceRelease::key).collect();
                for key in keys.iter().filter(|key| **key != release("1").key()) {
                    let users = store.users.entry(*key).or_default();
                    users.insert(router.user.clone());
                }
                store.streams.extend(&router.streams);
                router.gate.admit(&keys, &in_use);
            }
            if router.admitted_at.is_none() && !router.gate.pending(&in_use).is_empty() {
                router.admitted_at = Some(now + rng.random_range(10..200));
            }
            if rng.random_bool(0.2) {
                let open: Vec<&ServiceRelease> = in_use
                    .iter()
                    .filter(|release| router.gate.is_open(release))
                    .collect();
                let origin = open[rng.random_range(0..open.len())].key();
                stream_count += 1;
                let stream = StreamKey::new(format!("attempt-{stream_count}").as_bytes());
                router.streams.insert(stream, origin);
            }
            // The page is written now and then, and not with the newest streams.
            if in_use.len() > 1 && rng.random_bool(0.05) {
                store.streams.extend(&router.streams);
            }
        }
        let is_total = total_loss.is_some_and(|at| at / 10 == now / 10);
        let lost: Vec<usize> = (0..router_count)
            .filter(|_| is_total || rng.random_bool(0.000_5))
            .collect();
        let mut lost_streams = Vec::new();
        for index in lost {
            let successor = start(now, &mut rng, index, &store);
            let router = std::mem::replace(&mut routers[index], successor);
            lost_streams.extend(router.streams);
        }
        let evidence = FleetEvidence {
            live: routers.iter().map(|router| router.user.clone()).collect(),
            has_lost_router: true,
        };
        let taker = rng.random_range(0..router_count);
        let in_use = routers[taker].in_use(now);
        for (stream, origin) in lost_streams {
            if let Some(stored) = store.streams.get(&stream) {
                assert_eq!(*stored, origin);
                tally.stored += 1;
                continue;
            }
            let found = infer_release(SERVICE, &store.listed, &in_use, &store.users, &evidence);
            assert!(
                found.is_none_or(|found| found == origin),
                "seed {seed} at {now}"
            );
            if found.is_some() {
                tally.inferred += 1;
            } else {
                tally.refused += 1;
            }
        }
    }
    tally
}

#[test]
fn no_stream_of_a_lost_router_goes_on_at_another_release() {
    let mut shares = BTreeMap::new();
    for router_count in [2, 9, 90] {
        let mut sum = Tally::default();
        for seed in 0..100 {
            let tally = replay(seed, router_count);
            sum.stored += tally.stored;
            sum.inferred += tally.inferred;
            sum.refused += tally.refused;
        }
        let total = sum.stored + sum.inferred + sum.refused;
        shares.insert(
            router_count,
            (100 - sum.refused * 100 / total, sum.inferred > 0),
        );
    }
    insta::assert_debug_snapshot!(shares);
}
