//! Verification of streamed answers.

use briarrail_standin::token_text;
use serde::Deserialize;
use thiserror::Error;

/// What is wrong with an answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerDefect {
    /// An event is not the one that has to come next.
    #[error("event {expected} was expected, and {found:?} came")]
    WrongEvent {
        /// Position of the expected event.
        expected: u64,
        /// Text that came in its place.
        found: String,
    },
    /// An event is malformed.
    #[error("malformed event {0:?}")]
    Malformed(String),
    /// The answer ended before its terminal event.
    #[error("the answer ended after {0} events")]
    Incomplete(u64),
    /// The answer says itself that it is not whole.
    #[error("the answer ended with an error event")]
    ErrorEvent,
    /// Something came after the terminal event.
    #[error("an event came after the terminal one")]
    Trailing,
}

/// Reads a streamed answer in pieces, and compares each event with the one that has to come.
///
/// ```
/// use briarload::{AnswerDefect, AnswerVerifier};
///
/// let mut reader = AnswerVerifier::new(7, 1);
/// assert_eq!(reader.push(b"data: [DO"), Ok(0));
/// assert_eq!(reader.push(b"NE]\n\n"), Err(AnswerDefect::Incomplete(0)));
/// ```
#[derive(Debug)]
pub struct AnswerVerifier {
    seed: u64,
    expected: u64,
    seen: u64,
    is_ended: bool,
    rest: Vec<u8>,
}

#[derive(Deserialize)]
struct EventChunk {
    choices: Vec<EventChoice>,
}

#[derive(Deserialize)]
struct EventChoice {
    delta: EventDelta,
}

#[derive(Deserialize)]
struct EventDelta {
    content: String,
}

impl AnswerVerifier {
    /// Makes a reader for an answer of so many tokens to a request body with this seed.
    #[must_use]
    pub fn new(seed: u64, tokens: u64) -> Self {
        Self {
            seed,
            expected: tokens,
            seen: 0,
            is_ended: false,
            rest: Vec::new(),
        }
    }

    /// Takes a piece of the answer, and returns how many tokens it completed.
    ///
    /// # Errors
    ///
    /// Fails at the first event that is not the one that has to come.
    pub fn push(&mut self, piece: &[u8]) -> Result<u64, AnswerDefect> {
        let before = self.seen;
        self.rest.extend_from_slice(piece);
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|&byte| byte == b'\n') {
            let line = self.rest[start..start + length].to_vec();
            start += length + 1;
            self.take_line(&line)?;
        }
        self.rest.drain(..start);
        Ok(self.seen - before)
    }

    /// Returns whether the answer is whole by now.
    ///
    /// # Errors
    ///
    /// Fails when the terminal event has not come.
    pub fn finish(&self) -> Result<(), AnswerDefect> {
        if self.is_ended {
            Ok(())
        } else {
            Err(AnswerDefect::Incomplete(self.seen))
        }
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), AnswerDefect> {
        if line == b"event: error" {
            return Err(AnswerDefect::ErrorEvent);
        }
        let Some(data) = line.strip_prefix(b"data: ") else {
            return Ok(());
        };
        if self.is_ended {
            return Err(AnswerDefect::Trailing);
        }
        if data == b"[DONE]" {
            self.is_ended = self.seen == self.expected;
            return self.finish();
        }
        self.take_data(data)
    }

    fn take_data(&mut self, data: &[u8]) -> Result<(), AnswerDefect> {
        let malformed = || AnswerDefect::Malformed(String::from_utf8_lossy(data).into_owned());
        let chunk: EventChunk = serde_json::from_slice(data).map_err(|_| malformed())?;
        let choice = chunk.choices.into_iter().next().ok_or_else(malformed)?;
        let found = choice.delta.content;
        if self.seen >= self.expected || found != token_text(self.seed, self.seen) {
            let expected = self.seen;
            return Err(AnswerDefect::WrongEvent { expected, found });
        }
        self.seen += 1;
        Ok(())
    }
}
