//! Replays of silent streams whose other targets answer or refuse late.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{OverlapEnd, OverlapPolicy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Gap between events after which another target is asked.
const MAX_GAP_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 12_000;

/// A silent target that goes on after a pause, if it is sound, and the answer of the other one.
#[derive(Debug, Clone, Copy)]
struct Silence {
    pause_ms: Option<u64>,
    answer_ms: u64,
    refuses: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Continued,
    Moved,
    /// Both targets are lost to the stream.
    Cut,
    Stuck,
}

/// What happens at the end of an overlap that began when the silent target had paused for long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndRule {
    /// The silent target is left, whether or not the other one has answered.
    LeaveSilent,
    KeepBoth,
}

fn play(policy: &OverlapPolicy, rule: EndRule, silence: Silence) -> StreamEnd {
    let mut search_ms = MAX_GAP_MS;
    let goes_on_ms = silence.pause_ms.unwrap_or(u64::MAX);
    while search_ms < DEADLINE_MS {
        let answered_ms = search_ms + silence.answer_ms;
        let end = policy.end_at(MilliTime::from_millis(search_ms));
        let end_ms = end.since(MilliTime::default()).as_millis();
        let keeps_both = policy.decide(MilliTime::default(), end) == OverlapEnd::KeepBoth;
        let wait_ms = if keeps_both && rule == EndRule::KeepBoth {
            answered_ms
        } else {
            answered_ms.min(end_ms)
        };
        if goes_on_ms <= wait_ms {
            return StreamEnd::Continued;
        }
        if wait_ms == answered_ms && !silence.refuses {
            return StreamEnd::Moved;
        }
        if wait_ms == answered_ms {
            search_ms = answered_ms + MAX_GAP_MS;
            continue;
        }
        if keeps_both {
            return if silence.refuses {
                StreamEnd::Cut
            } else {
                StreamEnd::Moved
            };
        }
        let next = policy.next_search_at(MilliTime::default(), end);
        search_ms = next.since(MilliTime::default()).as_millis();
    }
    StreamEnd::Stuck
}

fn random_silence(rng: &mut SmallRng) -> Silence {
    Silence {
        pause_ms: rng.random_bool(0.7).then(|| rng.random_range(900..=2_600)),
        answer_ms: rng.random_range(1..=900),
        refuses: rng.random(),
    }
}

const fn policy(max_pause_ms: u64) -> OverlapPolicy {
    OverlapPolicy {
        max_overlap: MilliDuration::from_millis(250),
        max_pause: MilliDuration::from_millis(max_pause_ms),
    }
}

/// Guards against streams of sound targets that are cut because another target refuses late.
#[test]
fn streams_of_sound_targets_are_not_cut_and_those_of_lost_ones_move() {
    let (mut cut_at_once, mut cut_late, mut moved) = (0, 0, 0);
    for seed in 0..20_000 {
        let silence = random_silence(&mut SmallRng::seed_from_u64(seed));
        let end = play(&policy(2_000), EndRule::KeepBoth, silence);
        match silence.pause_ms {
            Some(_) => assert!(
                matches!(end, StreamEnd::Continued | StreamEnd::Moved),
                "seed {seed}: {silence:?} {end:?}"
            ),
            None if !silence.refuses => {
                assert_eq!(end, StreamEnd::Moved, "seed {seed}: {silence:?}");
                moved += 1;
            }
            None => {}
        }
        let is_sound = silence.pause_ms.is_some();
        for (max_pause_ms, cut) in [(0, &mut cut_at_once), (2_000, &mut cut_late)] {
            let end = play(&policy(max_pause_ms), EndRule::LeaveSilent, silence);
            *cut += u32::from(is_sound && end == StreamEnd::Cut);
        }
    }
    assert!(cut_at_once > 1_000, "{cut_at_once}");
    assert!(cut_late > 300, "{cut_late}");
    assert!(moved > 2_000, "{moved}");
}

#[test]
fn another_target_is_asked_again_after_the_longest_pause_but_not_at_once() {
    let policy = policy(2_000);
    let time = MilliTime::from_millis;
    assert_eq!(policy.next_search_at(time(100), time(1_350)), time(2_100));
    assert_eq!(policy.next_search_at(time(100), time(2_000)), time(2_250));
    assert_eq!(
        policy.decide(time(100), time(2_099)),
        OverlapEnd::WithdrawOther
    );
    assert_eq!(policy.decide(time(100), time(2_100)), OverlapEnd::KeepBoth);
}
