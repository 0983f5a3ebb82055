//! Verification of answers.

use briarload::{AnswerDefect, AnswerVerifier};
use briarrail_standin::token_text;

const SEED: u64 = 7;

fn event(index: u64) -> String {
    let content = token_text(SEED, index);
    format!("id: {index}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}}}}]}}\n\n")
}

fn read(text: &str) -> Result<(), AnswerDefect> {
    let mut reader = AnswerVerifier::new(SEED, 3);
    for piece in text.as_bytes().chunks(5) {
        reader.push(piece)?;
    }
    reader.finish()
}

#[test]
fn a_whole_answer_is_accepted_however_it_is_cut_into_pieces() {
    let text = [event(0), event(1), event(2), "data: [DONE]\n\n".to_owned()].concat();
    assert_eq!(read(&text), Ok(()));
}

#[test]
fn missing_doubled_and_foreign_events_are_found() {
    let done = "data: [DONE]\n\n".to_owned();
    let cases = [
        ("missing", [event(0), event(2), done.clone()].concat()),
        (
            "doubled",
            [event(0), event(0), event(1), event(2), done.clone()].concat(),
        ),
        ("short", [event(0), event(1), done.clone()].concat()),
        (
            "long",
            [event(0), event(1), event(2), event(3), done.clone()].concat(),
        ),
        ("not ended", [event(0), event(1), event(2)].concat()),
        (
            "trailing",
            [event(0), event(1), event(2), done, event(2)].concat(),
        ),
        (
            "error event",
            [event(0), "event: error\ndata: {}\n\n".to_owned()].concat(),
        ),
        ("malformed", "data: {}\n".to_owned()),
    ];
    let found = cases.map(|(name, text)| format!("{name}: {}", read(&text).unwrap_err()));
    insta::assert_snapshot!(found.join("\n"));
}
