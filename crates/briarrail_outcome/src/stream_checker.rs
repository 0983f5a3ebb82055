//! The check of a target's event stream.

use bytes::{Bytes, BytesMut};

use crate::StreamError;
use crate::stream_event::StreamEvent;

/// Default limit on one event, in bytes.
pub const DEFAULT_EVENT_LIMIT: usize = 256 * 1024;

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// More events are due.
    Open,
    /// The terminal event was seen; the answer is whole.
    Complete,
}

/// Checks a `text/event-stream` answer and yields the whole events to relay.
///
/// Events carry ids that count from 0; the terminal event may go without. After a resumption, events that were relayed before are
/// dropped, and a gap is a fault. What is relayed are slices of what came, not copies, unless an
/// event spans chunks. Memory is bounded by the limit on one event.
///
/// ```
/// use briarrail_outcome::{StreamChecker, StreamState};
/// use bytes::Bytes;
///
/// let mut checker = StreamChecker::new();
/// let mut out = Vec::new();
/// checker.push(Bytes::from_static(b"id: 0\ndata: a\n\nid: 1\nda"), &mut out).unwrap();
/// assert_eq!(out, ["id: 0\ndata: a\n\n"]);
/// assert_eq!(checker.resume_offset(), Some(1));
/// let state = checker.push(Bytes::from_static(b"ta: [DONE]\n\n"), &mut out);
/// assert_eq!(state, Ok(StreamState::Complete));
/// ```
#[derive(Debug, Clone)]
pub struct StreamChecker {
    limit: usize,
    /// Start of an event whose end has not come.
    partial: BytesMut,
    next_id: u64,
    /// Whether events carry ids; unknown before the first.
    has_ids: Option<bool>,
    is_complete: bool,
    /// Events that were dropped since the start.
    dropped: u64,
    /// Whether the end of the body, and no event, ends the answer.
    ends_with_body: bool,
    /// Whether the first event sets where the ids begin.
    learns_start: bool,
}

impl Default for StreamChecker {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamChecker {
    /// Makes the checker of a new answer.
    #[must_use]
    pub fn new() -> Self {
        Self {
            limit: DEFAULT_EVENT_LIMIT,
            partial: BytesMut::new(),
            next_id: 0,
            has_ids: None,
            is_complete: false,
            dropped: 0,
            ends_with_body: false,
            learns_start: false,
        }
    }

    /// Makes the checker of an answer that ends with its body, without a terminal event.
    ///
    /// Ids count from after `last_id`, or from the first event's when the request names none. No
    /// event is read for its meaning: whatever it holds is the answer's.
    #[must_use]
    pub fn without_terminal_event(last_id: Option<u64>) -> Self {
        Self {
            next_id: last_id.map_or(0, |id| id + 1),
            ends_with_body: true,
            learns_start: last_id.is_none(),
            ..Self::new()
        }
    }

    /// Sets the limit on one event, in bytes.
    #[must_use]
    pub fn with_event_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Compares the echoed request id of an answer's head with that of the request.
    ///
    /// # Errors
    ///
    /// Fails with [`StreamError::WrongRequest`] when it is missing or another one.
    pub fn check_request_id(expected: &str, echoed: Option<&str>) -> Result<(), StreamError> {
        if echoed == Some(expected) {
            Ok(())
        } else {
            Err(StreamError::WrongRequest)
        }
    }

    /// Takes a chunk and appends the whole events to relay to `out`.
    ///
    /// What was appended may be relayed even when the call fails. What comes after the terminal
    /// event is dropped.
    ///
    /// # Errors
    ///
    /// Fails when an event breaks the rules of the stream; the caller then treats the body as
    /// broken at [`resume_offset`](Self::resume_offset).
    pub fn push(&mut self, chunk: Bytes, out: &mut Vec<Bytes>) -> Result<StreamState, StreamError> {
        let mut chunk = chunk;
        if !self.partial.is_empty() {
            chunk = self.complete_partial(chunk, out)?;
        }
        self.push_whole(chunk, out)?;
        Ok(self.state())
    }

    /// Returns how far the stream has come.
    #[must_use]
    pub const fn state(&self) -> StreamState {
        if self.is_complete {
            StreamState::Complete
        } else {
            StreamState::Open
        }
    }

    /// Takes the end of the body.
    ///
    /// # Errors
    ///
    /// Fails with [`StreamError::Unfinished`] when the terminal event was not seen.
    pub fn finish(&self) -> Result<(), StreamError> {
        let ended = self.ends_with_body && self.partial.is_empty();
        if self.is_complete || ended {
            Ok(())
        } else {
            Err(StreamError::Unfinished)
        }
    }

    /// Returns the id of the first event that is missing, if the stream can be resumed.
    #[must_use]
    pub const fn resume_offset(&self) -> Option<u64> {
        match self.has_ids {
            Some(true) => Some(self.next_id),
            _ => None,
        }
    }

    /// Prepares for the answer to a resumption: forgets the part of an event that came.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of events that were dropped as duplicates.
    #[must_use]
    pub const fn duplicate_events(&self) -> u64 {
        self.dropped
    }

    /// Adds bytes to the partial event until it is whole, and returns the rest of the chunk.
    fn complete_partial(
        &mut self,
        mut chunk: Bytes,
        out: &mut Vec<Bytes>,
    ) -> Result<Bytes, StreamError> {
        while !chunk.is_empty() {
            // The blank line may span the chunks, so line by line is enough and no more.
            let line_end = find_newline(&chunk, 0).map_or(chunk.len(), |at| at + 1);
            let line = chunk.split_to(line_end);
            self.partial.extend_from_slice(&line);
            if self.partial.len() > self.limit {
                return Err(self.too_large());
            }
            if ends_event(&self.partial) {
                let event = self.partial.split().freeze();
                self.push_whole(event, out)?;
                break;
            }
        }
        Ok(chunk)
    }

    /// Relays runs of accepted events of a chunk as one slice each.
    fn push_whole(&mut self, chunk: Bytes, out: &mut Vec<Bytes>) -> Result<(), StreamError> {
        let mut run_start = 0;
        let mut event_start = 0;
        while !self.is_complete {
            let Some(event_end) = find_event_end(&chunk, event_start) else {
                break;
            };
            let accepted = self.accept(&chunk[event_start..event_end]);
            if accepted != Ok(true) {
                push_run(&chunk, run_start, event_start, out);
                run_start = event_end;
            }
            accepted?;
            event_start = event_end;
        }
        push_run(&chunk, run_start, event_start, out);
        if !self.is_complete {
            self.keep_partial(&chunk[event_start..])?;
        }
        Ok(())
    }

    fn keep_partial(&mut self, rest: &[u8]) -> Result<(), StreamError> {
        if rest.len() > self.limit {
            return Err(self.too_large());
        }
        self.partial.extend_from_slice(rest);
        Ok(())
    }

    /// Returns whether an event is to be relayed.
    fn accept(&mut self, text: &[u8]) -> Result<bool, StreamError> {
        if text.len() > self.limit {
            return Err(self.too_large());
        }
        let event = StreamEvent::parse(text)?;
        if self.ends_with_body {
            let is_new = event.id.is_none() || self.accept_id(event.id)?;
            self.dropped += u64::from(!is_new);
            return Ok(is_new);
        }
        if event.is_error {
            return Err(StreamError::TargetError);
        }
        if !event.has_data {
            // Comments keep the connection alive and belong to no answer.
            return Ok(event.id.is_none());
        }
        if event.is_terminal && event.id.is_none() {
            self.is_complete = true;
            return Ok(true);
        }
        let is_new = self.accept_id(event.id)?;
        self.is_complete |= is_new && event.is_terminal;
        self.dropped += u64::from(!is_new);
        Ok(is_new)
    }

    fn accept_id(&mut self, id: Option<u64>) -> Result<bool, StreamError> {
        let has_ids = *self.has_ids.get_or_insert(id.is_some());
        if has_ids != id.is_some() {
            return Err(StreamError::MixedIds);
        }
        let Some(found) = id else {
            return Ok(true);
        };
        if std::mem::take(&mut self.learns_start) {
            self.next_id = found;
        }
        let expected = self.next_id;
        if found > expected {
            return Err(StreamError::MissingEvents { expected, found });
        }
        if found == expected {
            self.next_id += 1;
        }
        Ok(found == expected)
    }

    const fn too_large(&self) -> StreamError {
        StreamError::EventTooLarge { limit: self.limit }
    }
}

fn push_run(chunk: &Bytes, start: usize, end: usize, out: &mut Vec<Bytes>) {
    if start < end {
        out.push(chunk.slice(start..end));
    }
}

fn find_newline(bytes: &[u8], from: usize) -> Option<usize> {
    let found = bytes[from..].iter().position(|&byte| byte == b'\n');
    found.map(|at| from + at)
}

/// Returns the end of the event that starts at `start`, after its blank line.
fn find_event_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut line_start = start;
    loop {
        let newline = find_newline(bytes, line_start)?;
        let line = &bytes[line_start..newline];
        if line.is_empty() || line == b"\r" {
            return Some(newline + 1);
        }
        line_start = newline + 1;
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n") || bytes == b"\n" || bytes == b"\r\n"
}
