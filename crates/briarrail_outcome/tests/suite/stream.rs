//! Stream integrity, against the text that the target meant to send.

use briarrail_outcome::{StreamChecker, StreamError, StreamState};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 3_000;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn whole_answer(events: u64) -> String {
    let body: String = (0..events).map(event).collect();
    format!("{body}id: {events}\ndata: [DONE]\n\n")
}

fn push_all(checker: &mut StreamChecker, text: &str) -> (Result<StreamState, StreamError>, String) {
    let mut out = Vec::new();
    let state = checker.push(Bytes::copy_from_slice(text.as_bytes()), &mut out);
    (state, text_of(&out))
}

fn text_of(out: &[Bytes]) -> String {
    String::from_utf8(out.concat()).unwrap()
}

#[test]
fn a_whole_answer_is_relayed_in_one_piece() {
    let mut checker = StreamChecker::new();
    let answer = whole_answer(20);
    let mut out = Vec::new();
    let chunk = Bytes::from(answer.clone());
    assert_eq!(
        checker.push(chunk.clone(), &mut out),
        Ok(StreamState::Complete)
    );
    assert_eq!(out.len(), 1);
    assert_eq!(out[0].as_ptr(), chunk.as_ptr(), "the answer was copied");
    assert_eq!(checker.finish(), Ok(()));
}

#[test]
fn an_end_without_the_terminal_event_is_a_fault() {
    let mut checker = StreamChecker::new();
    let (state, _) = push_all(&mut checker, &event(0));
    assert_eq!(state, Ok(StreamState::Open));
    assert_eq!(checker.finish(), Err(StreamError::Unfinished));
    assert_eq!(checker.resume_offset(), Some(1));
}

#[test]
fn a_terminal_mark_inside_other_data_does_not_end_the_answer() {
    let mut checker = StreamChecker::new();
    let (state, _) = push_all(&mut checker, "id: 0\ndata: [DONE]\ndata: more\n\n");
    assert_eq!(state, Ok(StreamState::Open));
}

#[test]
fn faults_keep_what_came_before() {
    let cases = [
        (format!("{}{}", event(0), event(2)), "gap"),
        (format!("{}data: x\n\n", event(0)), "no id"),
        (format!("{}id: x\ndata: x\n\n", event(0)), "bad id"),
        (format!("{}event: error\ndata: x\n\n", event(0)), "error"),
        (
            format!("{}data: {}\n\n", event(0), "x".repeat(300)),
            "large",
        ),
        (
            format!("{}data: {}", event(0), "x".repeat(300)),
            "large part",
        ),
    ];
    let lines = cases.map(|(text, name)| {
        let mut checker = StreamChecker::new().with_event_limit(200);
        let (state, relayed) = push_all(&mut checker, &text);
        let offset = checker.resume_offset();
        format!("{name}: {state:?}, relayed {relayed:?}, resume at {offset:?}\n")
    });
    insta::assert_snapshot!(lines.concat());
}

#[test]
fn the_echoed_id_must_match() {
    assert_eq!(StreamChecker::check_request_id("a", Some("a")), Ok(()));
    for echoed in [None, Some("b")] {
        let check = StreamChecker::check_request_id("a", echoed);
        assert_eq!(check, Err(StreamError::WrongRequest));
    }
}

/// Cuts the text at random places, breaks off at random and resumes with an overlap.
fn play(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let events = rng.random_range(0..30);
    let ending = if rng.random::<bool>() { "\n" } else { "\r\n" };
    let meant = whole_answer(events);
    let mut checker = StreamChecker::new();
    let mut out = Vec::new();
    let mut from = 0;
    while checker.state() == StreamState::Open {
        let rest: String = (from..events).map(event).collect();
        let rest = format!("{rest}id: {events}\ndata: [DONE]\n\n").replace('\n', ending);
        let cut = rng.random_range(0..=rest.len() * 2).min(rest.len());
        push_in_chunks(&mut rng, &mut checker, &rest.as_bytes()[..cut], &mut out);
        checker.discard_partial();
        let offset = checker.resume_offset().unwrap_or(0);
        from = offset.saturating_sub(rng.random_range(0..3));
    }
    let relayed = text_of(&out).replace("\r\n", "\n");
    assert_eq!(relayed, meant, "seed {seed}");
}

fn push_in_chunks(
    rng: &mut SmallRng,
    checker: &mut StreamChecker,
    mut text: &[u8],
    out: &mut Vec<Bytes>,
) {
    while !text.is_empty() {
        let (chunk, rest) = text.split_at(rng.random_range(1..=text.len().min(40)));
        text = rest;
        checker.push(Bytes::copy_from_slice(chunk), out).unwrap();
    }
}

#[test]
fn answers_are_whole_for_all_seeds() {
    (0..SEEDS).for_each(play);
    println!("stream: {SEEDS} fixed seeds");
}

#[test]
fn an_answer_without_terminal_event_ends_with_its_body() {
    let mut checker = StreamChecker::without_terminal_event(None);
    let (state, relayed) = push_all(&mut checker, &format!("{}id: 6\nda", event(5)));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(5)));
    assert_eq!(checker.finish(), Err(StreamError::Unfinished));
    let (_, relayed) = push_all(&mut checker, "ta: [DONE]\n\n");
    assert_eq!(relayed, "id: 6\ndata: [DONE]\n\n");
    assert_eq!(checker.finish(), Ok(()));
    assert_eq!(checker.resume_offset(), Some(7));
}

#[test]
fn a_resumed_body_must_follow_the_last_event() {
    let mut checker = StreamChecker::without_terminal_event(Some(11));
    let (state, relayed) = push_all(&mut checker, &format!("{}{}", event(11), event(12)));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(12)));
    assert_eq!(checker.duplicate_events(), 1);
    let (state, _) = push_all(&mut checker, &event(14));
    let gap = StreamError::MissingEvents {
        expected: 13,
        found: 14,
    };
    assert_eq!(state, Err(gap));
}

/// Breaks a body at random places and goes on after the last whole event; what is relayed must be
/// every event once, in order, however the bytes came.
#[test]
fn a_body_that_breaks_and_goes_on_is_relayed_once_and_in_order() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first: u64 = rng.random_range(0..3);
        let last = first + rng.random_range(1..12);
        let mut checker = StreamChecker::without_terminal_event(first.checked_sub(1));
        let mut relayed = String::new();
        let mut next = first;
        while next < last {
            let text: String = (next..last).map(event).collect();
            let cut = rng.random_range(0..=text.len());
            let mut rest = &text.as_bytes()[..cut];
            let mut out = Vec::new();
            while !rest.is_empty() {
                let (chunk, later) = rest.split_at(rng.random_range(1..=rest.len()));
                checker
                    .push(Bytes::copy_from_slice(chunk), &mut out)
                    .unwrap();
                rest = later;
            }
            relayed.push_str(&text_of(&out));
            next = checker.resume_offset().unwrap_or(first);
            checker.discard_partial();
        }
        let expected: String = (first..last).map(event).collect();
        assert_eq!(relayed, expected, "seed {seed}");
    }
}
