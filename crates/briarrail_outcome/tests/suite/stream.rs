//! Stream integrity, checked against the text that the target sends.

use briarrail_outcome::{StreamChecker, StreamError, StreamState};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 3_000;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn complete_response(events: u64) -> String {
    let body: String = (0..events).map(event).collect();
    format!("{body}id: {events}\ndata: [DONE]\n\n")
}

fn push_text(
    checker: &mut StreamChecker,
    text: &str,
) -> (Result<StreamState, StreamError>, String) {
    let mut out = Vec::new();
    let state = checker.push(Bytes::copy_from_slice(text.as_bytes()), &mut out);
    (state, concat_text(&out))
}

fn concat_text(out: &[Bytes]) -> String {
    String::from_utf8(out.concat()).unwrap()
}

#[test]
fn a_complete_response_is_relayed_without_a_copy() {
    let mut checker = StreamChecker::new();
    let response = complete_response(20);
    let mut out = Vec::new();
    let chunk = Bytes::from(response.clone());
    assert_eq!(
        checker.push(chunk.clone(), &mut out),
        Ok(StreamState::Complete)
    );
    assert_eq!(out.len(), 1);
    assert_eq!(out[0].as_ptr(), chunk.as_ptr(), "the response was copied");
    assert_eq!(checker.finish(), Ok(()));
}

#[test]
fn an_end_without_the_terminal_event_is_an_error() {
    let mut checker = StreamChecker::new();
    let (state, _) = push_text(&mut checker, &event(0));
    assert_eq!(state, Ok(StreamState::Open));
    assert_eq!(checker.finish(), Err(StreamError::Unfinished));
    assert_eq!(checker.resume_offset(), Some(1));
}

#[test]
fn done_among_other_data_lines_does_not_end_the_response() {
    let mut checker = StreamChecker::new();
    let (state, _) = push_text(&mut checker, "id: 0\ndata: [DONE]\ndata: more\n\n");
    assert_eq!(state, Ok(StreamState::Open));
}

#[test]
fn events_before_an_error_are_relayed() {
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
            "large partial event",
        ),
    ];
    let lines = cases.map(|(text, name)| {
        let mut checker = StreamChecker::new().with_event_limit(200);
        let (state, relayed) = push_text(&mut checker, &text);
        let offset = checker.resume_offset();
        format!("{name}: {state:?}, relayed {relayed:?}, resume at {offset:?}\n")
    });
    insta::assert_snapshot!(lines.concat());
}

#[test]
fn the_echoed_request_id_must_match() {
    assert_eq!(StreamChecker::check_request_id("a", Some("a")), Ok(()));
    for echoed in [None, Some("b")] {
        let check = StreamChecker::check_request_id("a", echoed);
        assert_eq!(check, Err(StreamError::WrongRequest));
    }
}

/// Splits the stream at random places, interrupts it at random and resumes with an overlap.
fn simulate_stream(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let events = rng.random_range(0..30);
    let ending = if rng.random::<bool>() { "\n" } else { "\r\n" };
    let expected = complete_response(events);
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
    let relayed = concat_text(&out).replace("\r\n", "\n");
    assert_eq!(relayed, expected, "seed {seed}");
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
fn interrupted_streams_are_relayed_completely() {
    (0..SEEDS).for_each(simulate_stream);
    println!("stream: {SEEDS} fixed seeds");
}

#[test]
fn a_response_without_a_terminal_event_ends_with_its_body() {
    let mut checker = StreamChecker::without_terminal_event(None);
    let (state, relayed) = push_text(&mut checker, &format!("{}id: 6\nda", event(5)));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(5)));
    assert_eq!(checker.finish(), Err(StreamError::Unfinished));
    let (_, relayed) = push_text(&mut checker, "ta: [DONE]\n\n");
    assert_eq!(relayed, "id: 6\ndata: [DONE]\n\n");
    assert_eq!(checker.finish(), Ok(()));
    assert_eq!(checker.resume_offset(), Some(7));
}

#[test]
fn a_resumed_body_must_continue_after_the_last_event() {
    let mut checker = StreamChecker::without_terminal_event(Some(11));
    let (state, relayed) = push_text(&mut checker, &format!("{}{}", event(11), event(12)));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(12)));
    assert_eq!(checker.duplicate_events(), 1);
    let (state, _) = push_text(&mut checker, &event(14));
    let gap = StreamError::MissingEvents {
        expected: 13,
        found: 14,
    };
    assert_eq!(state, Err(gap));
}

/// Interrupts a body at random places and resumes after the last complete event; every event must
/// be relayed once and in order, however the bytes are split into chunks.
#[test]
fn events_of_a_resumed_body_are_relayed_once_and_in_order() {
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
            relayed.push_str(&concat_text(&out));
            next = checker.resume_offset().unwrap_or(first);
            checker.discard_partial();
        }
        let expected: String = (first..last).map(event).collect();
        assert_eq!(relayed, expected, "seed {seed}");
    }
}

#[test]
fn a_continuation_must_begin_with_the_next_event() {
    let not_continued = Err(StreamError::NotContinued { expected: 12 });
    let gap = StreamError::MissingEvents {
        expected: 12,
        found: 13,
    };
    let cases = [
        (event(11), not_continued),
        (event(13), Err(gap)),
        ("upstream error\n\n".to_owned(), not_continued),
        ("data: x\n\n".to_owned(), not_continued),
        ("id: 12\n\n".to_owned(), not_continued),
        (": ping\n\n".to_owned(), Ok(StreamState::Open)),
        (event(12), Ok(StreamState::Open)),
    ];
    for (text, expected) in cases {
        let mut checker = StreamChecker::without_terminal_event(Some(11));
        checker.begin_continuation();
        let (state, relayed) = push_text(&mut checker, &text);
        assert_eq!(state, expected, "{text:?}");
        assert_eq!(relayed.is_empty(), expected.is_err(), "{text:?}");
        assert_eq!(checker.awaits_continuation(), text != event(12), "{text:?}");
        assert_eq!(
            checker.resume_offset(),
            Some(12 + u64::from(text == event(12)))
        );
    }
}

#[test]
fn a_block_without_an_id_is_no_part_of_a_stream_with_ids() {
    let texts = [
        "HTTP/1.1 503 upstream\r\nContent-Length: 0\r\n\r\n",
        "upstream error\n\n",
        "data: x\n\n",
    ];
    for text in texts {
        let mut checker = StreamChecker::without_terminal_event(None);
        let chunk = format!("{}: ping\n\n{text}{}", event(0), event(1));
        let (state, relayed) = push_text(&mut checker, &chunk);
        let expected = format!("{}: ping\n\n", event(0));
        assert_eq!((state, relayed), (Err(StreamError::MixedIds), expected));
    }
}

#[test]
fn the_last_possible_id_has_no_successor() {
    let mut checker = StreamChecker::without_terminal_event(Some(u64::MAX));
    assert!(push_text(&mut checker, &event(0)).1.is_empty());
    let mut checker = StreamChecker::without_terminal_event(None);
    let (state, relayed) = push_text(&mut checker, &event(u64::MAX));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(u64::MAX)));
}

#[test]
fn a_continuation_discards_the_incomplete_event_before_it() {
    let mut checker = StreamChecker::without_terminal_event(None);
    push_text(&mut checker, &format!("{}id: 6\nda", event(5)))
        .0
        .unwrap();
    checker.begin_continuation();
    let (state, relayed) = push_text(&mut checker, &event(6));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(6)));
}

#[test]
fn an_invalid_event_ends_its_body() {
    let mut checker = StreamChecker::without_terminal_event(None);
    let gap = StreamError::MissingEvents {
        expected: 1,
        found: 2,
    };
    let (state, relayed) = push_text(&mut checker, &format!("{}{}", event(0), event(2)));
    assert_eq!((state, relayed), (Err(gap), event(0)));
    assert_eq!(checker.finish(), Err(gap));
    let (state, relayed) = push_text(&mut checker, &event(1));
    assert_eq!((state, relayed), (Err(gap), String::new()));
    checker.discard_partial();
    let (state, relayed) = push_text(&mut checker, &event(1));
    assert_eq!((state, relayed), (Ok(StreamState::Open), event(1)));
}
