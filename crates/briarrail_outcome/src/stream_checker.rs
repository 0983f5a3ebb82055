//! Validation of a target's event stream.

use bytes::{Bytes, BytesMut};

use crate::StreamError;
use crate::stream_event::StreamEvent;

/// Default size limit of one event, in bytes.
pub const DEFAULT_EVENT_LIMIT: usize = 256 * 1024;

/// Progress of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamState {
    /// More events are expected.
    Open,
    /// The terminal event arrived; the response is complete.
    Complete,
}

/// Validates a `text/event-stream` response and returns the complete events to relay.
///
/// If events carry ids, they count from 0; the terminal event may have none. After a resumption,
/// events that were already relayed are dropped, and a gap in the ids is an error. Relayed events
/// are slices of the received chunks, not copies, unless an event spans chunks. The size limit of
/// one event bounds the memory.
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
    event_limit: usize,
    /// Start of an event whose end has not arrived.
    partial: BytesMut,
    next_id: u64,
    /// Whether events carry ids; `None` before the first event.
    has_ids: Option<bool>,
    is_complete: bool,
    /// Events that were dropped as duplicates since the start.
    duplicate_events: u64,
    /// Accepted events with data since the start.
    data_events: u64,
    /// Whether the response ends with its body instead of a terminal event.
    ends_with_body: bool,
    /// Whether the id of the next event with one is accepted as the first id.
    accepts_any_first_id: bool,
    /// Whether a response to a resumption has not sent an event yet.
    awaits_continuation: bool,
    /// Error of the current body, after which nothing of it is accepted.
    error: Option<StreamError>,
}

impl Default for StreamChecker {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamChecker {
    /// Creates the checker of a new response.
    #[must_use]
    pub fn new() -> Self {
        Self {
            event_limit: DEFAULT_EVENT_LIMIT,
            partial: BytesMut::new(),
            next_id: 0,
            has_ids: None,
            is_complete: false,
            duplicate_events: 0,
            data_events: 0,
            ends_with_body: false,
            accepts_any_first_id: false,
            awaits_continuation: false,
            error: None,
        }
    }

    /// Creates the checker of a response that ends with its body, without a terminal event.
    ///
    /// Ids count from `last_id + 1`, or from the id of the first event if `last_id` is `None`. The
    /// names and data of events are not interpreted: error events and `[DONE]` are relayed like
    /// any other event.
    #[must_use]
    pub fn without_terminal_event(last_id: Option<u64>) -> Self {
        Self {
            next_id: last_id.map_or(0, |id| id.saturating_add(1)),
            ends_with_body: true,
            accepts_any_first_id: last_id.is_none(),
            ..Self::new()
        }
    }

    /// Sets the size limit of one event, in bytes.
    #[must_use]
    pub fn with_event_limit(mut self, limit: usize) -> Self {
        self.event_limit = limit;
        self
    }

    /// Compares the request id that a response echoes with that of the request.
    ///
    /// # Errors
    ///
    /// Fails with [`StreamError::WrongRequest`] if the echoed id is missing or differs.
    pub fn check_request_id(expected: &str, echoed: Option<&str>) -> Result<(), StreamError> {
        if echoed == Some(expected) {
            Ok(())
        } else {
            Err(StreamError::WrongRequest)
        }
    }

    /// Parses a chunk and appends the complete events to relay to `out`.
    ///
    /// The appended events may be relayed even if the call fails. Bytes after the terminal event
    /// are dropped.
    ///
    /// # Errors
    ///
    /// Fails if an event is invalid; the caller then treats the body as interrupted at
    /// [`resume_offset`](Self::resume_offset). Each later call fails again, until
    /// [`discard_partial`](Self::discard_partial) begins another body.
    pub fn push(&mut self, chunk: Bytes, out: &mut Vec<Bytes>) -> Result<StreamState, StreamError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let result = self.push_chunk(chunk, out);
        self.error = result.err();
        result
    }

    fn push_chunk(
        &mut self,
        chunk: Bytes,
        out: &mut Vec<Bytes>,
    ) -> Result<StreamState, StreamError> {
        let mut chunk = chunk;
        if !self.partial.is_empty() {
            chunk = self.complete_partial(chunk, out)?;
        }
        self.push_events(chunk, out)?;
        Ok(self.state())
    }

    /// Returns the progress of the stream.
    #[must_use]
    pub const fn state(&self) -> StreamState {
        if self.is_complete {
            StreamState::Complete
        } else {
            StreamState::Open
        }
    }

    /// Handles the end of the body.
    ///
    /// # Errors
    ///
    /// Fails with [`StreamError::Unfinished`] if the response is incomplete, or with the error of an
    /// invalid event.
    pub fn finish(&self) -> Result<(), StreamError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let body_complete = self.ends_with_body && self.partial.is_empty();
        if self.is_complete || body_complete {
            Ok(())
        } else {
            Err(StreamError::Unfinished)
        }
    }

    /// Returns the id of the first missing event, if the stream can be resumed.
    #[must_use]
    pub const fn resume_offset(&self) -> Option<u64> {
        match self.has_ids {
            Some(true) => Some(self.next_id),
            _ => None,
        }
    }

    /// Returns the error of an invalid event of the current body.
    #[must_use]
    pub const fn error(&self) -> Option<StreamError> {
        self.error
    }

    /// Discards an incomplete event and the error of the body, before the response to a resumption is
    /// parsed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.error = None;
    }

    /// Expects the response to a resumption, which must begin with the next event.
    ///
    /// Only comments and reconnection times may precede that event. An incomplete event of the
    /// response before is discarded.
    pub fn begin_continuation(&mut self) {
        self.discard_partial();
        self.has_ids = Some(true);
        self.awaits_continuation = true;
    }

    /// Returns whether a response to a resumption has not sent an event yet.
    #[must_use]
    pub const fn awaits_continuation(&self) -> bool {
        self.awaits_continuation
    }

    /// Returns the number of events that were dropped as duplicates.
    #[must_use]
    pub const fn duplicate_events(&self) -> u64 {
        self.duplicate_events
    }

    /// Returns the number of accepted events with data; comments are not progress of the stream.
    #[must_use]
    pub const fn data_events(&self) -> u64 {
        self.data_events
    }

    /// Appends bytes to the partial event until it is complete, and returns the rest of the chunk.
    fn complete_partial(
        &mut self,
        mut chunk: Bytes,
        out: &mut Vec<Bytes>,
    ) -> Result<Bytes, StreamError> {
        while !chunk.is_empty() {
            // The blank line may span chunks, so the end is checked after each appended line.
            let line_end = find_newline(&chunk, 0).map_or(chunk.len(), |at| at + 1);
            let line = chunk.split_to(line_end);
            self.partial.extend_from_slice(&line);
            if self.partial.len() > self.event_limit {
                return Err(self.too_large());
            }
            if ends_with_blank_line(&self.partial) {
                let event = self.partial.split().freeze();
                self.push_events(event, out)?;
                break;
            }
        }
        Ok(chunk)
    }

    /// Appends each run of consecutive accepted events in a chunk as one slice.
    fn push_events(&mut self, chunk: Bytes, out: &mut Vec<Bytes>) -> Result<(), StreamError> {
        let mut run_start = 0;
        let mut event_start = 0;
        while !self.is_complete {
            let Some(event_end) = find_event_end(&chunk, event_start) else {
                break;
            };
            let accepted = self.accept_event(&chunk[event_start..event_end]);
            if accepted != Ok(true) {
                push_run(&chunk, run_start, event_start, out);
                run_start = event_end;
            }
            accepted?;
            event_start = event_end;
        }
        push_run(&chunk, run_start, event_start, out);
        if !self.is_complete {
            self.store_partial(&chunk[event_start..])?;
        }
        Ok(())
    }

    fn store_partial(&mut self, rest: &[u8]) -> Result<(), StreamError> {
        if rest.len() > self.event_limit {
            return Err(self.too_large());
        }
        self.partial.extend_from_slice(rest);
        Ok(())
    }

    /// Validates an event and returns whether to relay it.
    fn accept_event(&mut self, text: &[u8]) -> Result<bool, StreamError> {
        if text.len() > self.event_limit {
            return Err(self.too_large());
        }
        let event = StreamEvent::parse(text)?;
        if self.awaits_continuation && !event.is_preamble {
            self.check_continuation(event)?;
        }
        if self.ends_with_body {
            // The text of another answer that a target writes into its stream has no ids.
            if self.has_ids == Some(true) && event.id.is_none() && !event.is_preamble {
                return Err(StreamError::MixedIds);
            }
            let is_new = event.id.is_none() || self.accept_id(event.id)?;
            self.duplicate_events += u64::from(!is_new);
            self.data_events += u64::from(is_new && event.has_data);
            return Ok(is_new);
        }
        if event.is_error {
            return Err(StreamError::TargetError);
        }
        if !event.has_data {
            // Comments only keep the connection alive and are not part of the response.
            return Ok(event.id.is_none());
        }
        if event.is_terminal && event.id.is_none() {
            self.is_complete = true;
            self.data_events += 1;
            return Ok(true);
        }
        let is_new = self.accept_id(event.id)?;
        self.is_complete |= is_new && event.is_terminal;
        self.duplicate_events += u64::from(!is_new);
        self.data_events += u64::from(is_new);
        Ok(is_new)
    }

    /// Validates the first event of a response to a resumption.
    fn check_continuation(&mut self, event: StreamEvent) -> Result<(), StreamError> {
        let expected = self.next_id;
        match event.id {
            Some(id) if id == expected && event.has_data => {
                self.awaits_continuation = false;
                Ok(())
            }
            Some(found) if found > expected => Err(StreamError::MissingEvents { expected, found }),
            _ => Err(StreamError::NotContinued { expected }),
        }
    }

    /// Validates an event id and returns whether the event is new.
    fn accept_id(&mut self, id: Option<u64>) -> Result<bool, StreamError> {
        let has_ids = *self.has_ids.get_or_insert(id.is_some());
        if has_ids != id.is_some() {
            return Err(StreamError::MixedIds);
        }
        let Some(found) = id else {
            return Ok(true);
        };
        if std::mem::take(&mut self.accepts_any_first_id) {
            self.next_id = found;
        }
        let expected = self.next_id;
        if found > expected {
            return Err(StreamError::MissingEvents { expected, found });
        }
        if found == expected {
            self.next_id = self.next_id.saturating_add(1);
        }
        Ok(found == expected)
    }

    const fn too_large(&self) -> StreamError {
        StreamError::EventTooLarge {
            limit: self.event_limit,
        }
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

/// Returns the index after the blank line that ends the event at `start`.
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

fn ends_with_blank_line(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n") || bytes == b"\n" || bytes == b"\r\n"
}
