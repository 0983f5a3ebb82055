//! Requests and prompt parts that crash targets, at fleets of several sizes.

use std::collections::BTreeSet;

use briarrail_dispatch::{CrashQuarantine, CrashSuspect, LostSuspect, SuspectChange};
use briarrail_model::MilliDuration;

use crate::crash_replay::{BadSuspect, Conditions, Replay, SMALL_SITE, part};
use crate::fixtures::at;

/// Time for which a suspect is blocked.
const BLOCK_TIME: MilliDuration = MilliDuration::from_secs(600);
/// Number of such requests that may still be sent after that (BUDGET).
const MAX_LATE_REQUESTS: usize = 3;

/// Fleets and exchanges under which a bad part must be found.
fn fleets() -> Vec<Conditions> {
    let sizes = [
        (1, 4, 60, 2),
        (3, 4, 60, 3),
        (9, 12, 130, 3),
        (89, 90, 800, 8),
        (300, 160, 1_500, 12),
    ];
    let mut fleets = Vec::new();
    for (routers, targets, sound_per_s, bad_per_s) in sizes {
        for (sync_period_ms, sync_delay_ms) in [(200, 5), (600, 50), (600, 400)] {
            for bad_suspect in [BadSuspect::First, BadSuspect::Second] {
                for seed in 1..=2 {
                    fleets.push(Conditions {
                        routers,
                        targets,
                        sync_period_ms,
                        sync_delay_ms,
                        sound_per_s,
                        bad_per_s,
                        bad_suspect,
                        seed,
                        ..SMALL_SITE
                    });
                }
            }
        }
    }
    fleets
}

fn assert_only_the_bad_suspect_is_blocked(conditions: Conditions) {
    let totals = Replay::new(conditions).run(20_000);
    let late = totals.late_sends(&conditions);
    assert!(late <= MAX_LATE_REQUESTS, "{late} late: {conditions:?}");
    let bad = match conditions.bad_suspect {
        BadSuspect::Request => CrashSuspect::request(part("bad")),
        BadSuspect::First | BadSuspect::Second | BadSuspect::None => {
            CrashSuspect::prompt_part(part("bad"))
        }
    };
    assert_eq!(
        totals.blocked,
        BTreeSet::from([bad]),
        "{conditions:?} {totals:?}"
    );
    assert_eq!(totals.sound_refusals, 0, "{conditions:?}");
    assert_eq!(totals.released, 0, "{conditions:?}");
}

/// Guards against a prompt part that crashes one target after the other
/// (docs/incidents/saltlog-ke-inc1.md).
#[test]
fn a_part_that_crashes_targets_is_blocked_at_fleets_of_any_size() {
    for conditions in fleets() {
        assert_only_the_bad_suspect_is_blocked(conditions);
    }
}

/// Guards against blocked sound parts while answers wait long at overloaded targets.
#[test]
fn only_the_part_that_crashes_targets_is_blocked_under_overload() {
    for conditions in fleets() {
        assert_only_the_bad_suspect_is_blocked(Conditions {
            wait_ms: 600,
            ..conditions
        });
    }
}

/// Guards against evidence that restarts discard: nine routers that restart in turn.
#[test]
fn restarting_routers_learn_the_blocked_parts() {
    for seed in 1..=5 {
        assert_only_the_bad_suspect_is_blocked(Conditions {
            restart_period_ms: 700,
            seed,
            ..SMALL_SITE
        });
    }
}

/// Guards against blocked sound parts when targets crash for other reasons, alone or together.
#[test]
fn crashes_with_another_cause_block_nothing() {
    // The bad part does not appear, so one of its places is enough.
    let has_own_conditions =
        |fleet: &Conditions| fleet.seed == 2 && fleet.bad_suspect == BadSuspect::First;
    for conditions in fleets().into_iter().filter(has_own_conditions) {
        for (crash_share, crash_period_ms) in [(0.15, 1_000), (0.5, 2_000), (1.0, 5_000)] {
            for (resends, hot_share) in [(0, 0.0), (3, 0.0), (0, 0.5), (3, 0.5)] {
                let conditions = Conditions {
                    bad_suspect: BadSuspect::None,
                    crash_share,
                    crash_period_ms,
                    resends,
                    hot_share,
                    ..conditions
                };
                let totals = Replay::new(conditions).run(20_000);
                assert_eq!(totals.blocked, BTreeSet::new(), "{conditions:?} {totals:?}");
            }
        }
    }
}

/// Fleets and exchanges under which a bad request must be found.
fn fleets_with_a_bad_request(resends: u32) -> Vec<Conditions> {
    let has_own_conditions = |fleet: &Conditions| fleet.bad_suspect == BadSuspect::First;
    let fleets = fleets().into_iter().filter(has_own_conditions);
    let with_request = |fleet: Conditions| Conditions {
        bad_suspect: BadSuspect::Request,
        bad_per_s: fleet.bad_per_s * 2,
        resends,
        ..fleet
    };
    fleets.map(with_request).collect()
}

/// Guards against a request that crashes one target after the other
/// (docs/incidents/saltlog-ke-second1.md).
#[test]
fn a_request_that_crashes_targets_is_blocked_at_fleets_of_any_size() {
    for conditions in fleets_with_a_bad_request(0) {
        assert_only_the_bad_suspect_is_blocked(conditions);
    }
}

/// Guards against the same while routers and callers send lost requests again, up to four times.
#[test]
fn a_request_that_crashes_targets_is_blocked_while_lost_ones_are_sent_again() {
    for conditions in fleets_with_a_bad_request(3) {
        let totals = Replay::new(conditions).run(20_000);
        let late = totals.late_sends(&conditions);
        assert!(late <= MAX_LATE_REQUESTS, "{late} late: {conditions:?}");
        let bad = CrashSuspect::request(part("bad"));
        assert!(totals.blocked.contains(&bad), "{conditions:?}");
        assert_eq!(totals.sound_refusals, 0, "{conditions:?}");
    }
}

#[test]
fn restarting_routers_learn_the_blocked_requests() {
    for seed in 1..=5 {
        assert_only_the_bad_suspect_is_blocked(Conditions {
            bad_suspect: BadSuspect::Request,
            restart_period_ms: 700,
            seed,
            ..SMALL_SITE
        });
    }
}

/// Returns a suspect that was sent to a target 50 ms before the target crashed; the targets crash
/// 100 ms apart.
fn lost(suspect: CrashSuspect, target: u32) -> LostSuspect {
    LostSuspect {
        suspect,
        sent_at: at(950 + u64::from(target) * 100),
    }
}

/// A sound request that many callers send was at all targets of a service when they lost power.
#[test]
fn a_request_at_targets_that_crash_together_is_not_blocked() {
    let hot = CrashSuspect::request(part("hot"));
    let mut router = CrashQuarantine::default();
    for target in 0..12 {
        let lost = LostSuspect {
            suspect: hot,
            sent_at: at(970 + u64::from(target)),
        };
        let crashed_at = at(1_000 + u64::from(target));
        let changes = router.record_crash(target, [lost], crashed_at, crashed_at);
        assert_eq!(changes, []);
    }
}

/// Four servers ended within 0.28 s, one after the other (docs/incidents/saltlog-ke-second1.md).
#[test]
fn a_request_that_is_sent_on_after_each_crash_is_blocked_however_fast() {
    let bad = CrashSuspect::request(part("bad"));
    let mut router = CrashQuarantine::default();
    let mut blocked_after = None;
    for target in 0..4_u32 {
        let crashed_at = at(1_010 + u64::from(target) * 10);
        let lost = LostSuspect {
            suspect: bad,
            sent_at: at(1_000 + u64::from(target) * 10),
        };
        let changes = router.record_crash(target, [lost], crashed_at, crashed_at);
        if !changes.is_empty() {
            blocked_after = Some(target + 1);
        }
    }
    assert_eq!(blocked_after, Some(3));
}

/// A sound request was at three targets that another request crashed, of which its router heard
/// later; it must not stay blocked.
#[test]
fn a_request_is_released_when_another_explains_its_crashes() {
    let sound = CrashSuspect::request(part("sound"));
    let bad = CrashSuspect::request(part("bad"));
    let mut router = CrashQuarantine::default();
    let mut other = CrashQuarantine::default();
    for target in 0..3 {
        let now = at(1_000 + u64::from(target) * 100);
        let changes = router.record_crash(target, [lost(sound, target)], now, now);
        let is_blocked = changes.contains(&SuspectChange::Blocked(sound, now + BLOCK_TIME));
        assert_eq!(is_blocked, target == 2);
    }
    for target in 0..4 {
        let now = at(1_000 + u64::from(target) * 100);
        let _changes = other.record_crash(target, [lost(bad, target)], now, now);
    }
    let changes = router.merge(&other.reports(at(1_400)), at(1_400));
    assert!(changes.contains(&SuspectChange::Released(sound)));
    assert_eq!(router.blocked_until([sound], at(1_400)), None);
    assert!(router.blocked_until([bad], at(1_400)).is_some());
}

/// A router that learns of both at once keeps the one released.
#[test]
fn a_released_request_stays_released_while_others_still_report_its_block() {
    let sound = CrashSuspect::request(part("sound"));
    let bad = CrashSuspect::request(part("bad"));
    let mut late = CrashQuarantine::default();
    let mut router = CrashQuarantine::default();
    for target in 0..4 {
        let now = at(1_000 + u64::from(target) * 100);
        let _changes = router.record_crash(target, [lost(bad, target)], now, now);
        if target < 3 {
            let _changes = late.record_crash(target, [lost(sound, target)], now, now);
        }
    }
    let reports = late.reports(at(1_400));
    assert!(reports.requests.iter().any(|report| report.block.is_some()));
    for now in [1_400, 1_600, 1_800] {
        let changes = router.merge(&reports, at(now));
        assert_eq!(changes, []);
        assert_eq!(router.blocked_until([sound], at(now)), None);
    }
}

/// Guards against blocked sound parts beside a bad one while answers wait long; the seeds failed when
/// more of them were played.
#[test]
fn sound_parts_beside_a_bad_one_stay_unblocked_at_seeds_that_failed() {
    for (routers, targets, sound_per_s, bad_per_s, seed) in
        [(3, 4, 60, 3, 7), (3, 4, 60, 3, 11), (9, 12, 130, 3, 5)]
    {
        assert_only_the_bad_suspect_is_blocked(Conditions {
            routers,
            targets,
            sync_period_ms: 600,
            sync_delay_ms: 400,
            wait_ms: 600,
            sound_per_s,
            bad_per_s,
            bad_suspect: BadSuspect::First,
            seed,
            ..SMALL_SITE
        });
    }
}

/// Guards against a refused repeat of a sound request that the bad one took along at three targets;
/// the seed failed when more of them were played.
#[test]
fn lost_sound_requests_are_not_refused_at_a_seed_that_failed() {
    let totals = Replay::new(Conditions {
        routers: 3,
        targets: 4,
        sound_per_s: 60,
        bad_per_s: 6,
        bad_suspect: BadSuspect::Request,
        resends: 3,
        seed: 8,
        ..SMALL_SITE
    })
    .run(20_000);
    assert_eq!(totals.sound_refusals, 0);
}
