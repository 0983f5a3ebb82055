//! Verification of streamed answers.

use briarrail_standin::token_text;
use serde::Deserialize;
use thiserror::Error;

/// A defect of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerDefect {
    /// An event differs from the expected one.
    #[error("expected event {expected}, found {found:?}")]
    WrongEvent {
        /// Index of the expected event.
        expected: u64,
        /// Text of the received event.
        found: String,
    },
    /// An event can't be parsed.
    #[error("malformed event {0:?}")]
    Malformed(String),
    /// The answer ended before its terminal event.
    #[error("incomplete answer: it ended after {0} events")]
    Incomplete(u64),
    /// The answer ended with an error event.
    #[error("the answer ended with an error event")]
    ErrorEvent,
    /// An event follows the terminal event.
    #[error("an event follows the terminal event")]
    Trailing,
}

/// Parses a streamed answer incrementally, and compares each event with the expected one.
///
/// ```
/// use briarload::{AnswerDefect, AnswerVerifier};
///
/// let mut verifier = AnswerVerifier::new(7, 1);
/// assert_eq!(verifier.push(b"data: [DO"), Ok(0));
/// assert_eq!(verifier.push(b"NE]\n\n"), Err(AnswerDefect::Incomplete(0)));
/// ```
#[derive(Debug)]
pub struct AnswerVerifier {
    seed: u64,
    expected_tokens: u64,
    received_tokens: u64,
    is_finished: bool,
    buffer: Vec<u8>,
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
    /// Creates a verifier for an answer of `tokens` tokens to a request body with this seed.
    #[must_use]
    pub fn new(seed: u64, tokens: u64) -> Self {
        Self {
            seed,
            expected_tokens: tokens,
            received_tokens: 0,
            is_finished: false,
            buffer: Vec::new(),
        }
    }

    /// Adds a chunk of the answer, and returns the number of tokens that it completed.
    ///
    /// # Errors
    ///
    /// Fails at the first event that is not the expected one.
    pub fn push(&mut self, chunk: &[u8]) -> Result<u64, AnswerDefect> {
        let before = self.received_tokens;
        self.buffer.extend_from_slice(chunk);
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|&byte| byte == b'\n') {
            let line = self.buffer[start..start + length].to_vec();
            start += length + 1;
            self.parse_line(&line)?;
        }
        self.buffer.drain(..start);
        Ok(self.received_tokens - before)
    }

    /// Checks that the answer is complete.
    ///
    /// # Errors
    ///
    /// Fails if the terminal event has not been received.
    pub fn finish(&self) -> Result<(), AnswerDefect> {
        if self.is_finished {
            Ok(())
        } else {
            Err(AnswerDefect::Incomplete(self.received_tokens))
        }
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<(), AnswerDefect> {
        if line == b"event: error" {
            return Err(AnswerDefect::ErrorEvent);
        }
        let Some(data) = line.strip_prefix(b"data: ") else {
            return Ok(());
        };
        if self.is_finished {
            return Err(AnswerDefect::Trailing);
        }
        if data == b"[DONE]" {
            self.is_finished = self.received_tokens == self.expected_tokens;
            return self.finish();
        }
        self.parse_data(data)
    }

    fn parse_data(&mut self, data: &[u8]) -> Result<(), AnswerDefect> {
        let malformed = || AnswerDefect::Malformed(String::from_utf8_lossy(data).into_owned());
        let event: EventChunk = serde_json::from_slice(data).map_err(|_| malformed())?;
        let choice = event.choices.into_iter().next().ok_or_else(malformed)?;
        let found = choice.delta.content;
        if self.received_tokens >= self.expected_tokens
            || found != token_text(self.seed, self.received_tokens)
        {
            let expected = self.received_tokens;
            return Err(AnswerDefect::WrongEvent { expected, found });
        }
        self.received_tokens += 1;
        Ok(())
    }
}
