//! Verification of streamed answers.

use briarload::{AnswerDefect, AnswerVerifier};
use briarrail_standin::token_text;

const SEED: u64 = 7;

fn event(index: u64) -> String {
    let content = token_text(SEED, index);
    format!("id: {index}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}}}}]}}\n\n")
}

fn verify(text: &str) -> Result<(), AnswerDefect> {
    let mut verifier = AnswerVerifier::new(SEED, 3);
    for chunk in text.as_bytes().chunks(5) {
        verifier.push(chunk)?;
    }
    verifier.finish()
}

#[test]
fn complete_answer_is_accepted_in_small_chunks() {
    let text = [event(0), event(1), event(2), "data: [DONE]\n\n".to_owned()].concat();
    assert_eq!(verify(&text), Ok(()));
}

#[test]
fn defective_answers_are_rejected() {
    let done = "data: [DONE]\n\n".to_owned();
    let cases = [
        ("missing", [event(0), event(2), done.clone()].concat()),
        (
            "duplicate",
            [event(0), event(0), event(1), event(2), done.clone()].concat(),
        ),
        ("short", [event(0), event(1), done.clone()].concat()),
        (
            "long",
            [event(0), event(1), event(2), event(3), done.clone()].concat(),
        ),
        (
            "without terminal event",
            [event(0), event(1), event(2)].concat(),
        ),
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
    let defects = cases.map(|(name, text)| format!("{name}: {}", verify(&text).unwrap_err()));
    insta::assert_snapshot!(defects.join("\n"));
}
