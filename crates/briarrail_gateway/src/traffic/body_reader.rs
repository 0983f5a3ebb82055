//! Reads the body of a request into one buffer.

use briarrail_dispatch::ReclaimCause;
use briarrail_model::StableHash;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::caller_memory::{MemoryHold, UNCHARGED_BYTES};

/// Why a body was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    TooLarge,
    BrokenOff,
    /// The body gave way to others.
    Reclaimed(ReclaimCause),
}

/// Reads one body.
///
/// Its bytes are copied into a buffer that grows with what has arrived, so that a body in small
/// chunks takes no more memory than in one piece.
#[derive(Debug)]
pub(super) struct BodyReader<'a> {
    hold: &'a MemoryHold,
    customer: Option<StableHash>,
    /// Maximum length, in bytes.
    limit: usize,
    /// Announced length, or the limit for a body without one, in bytes.
    expected: usize,
    /// The first frame, which is not copied if it is the only one.
    first: Option<Bytes>,
    buffer: Vec<u8>,
    received: usize,
    /// Whether the account has the body.
    is_listed: bool,
    is_charged: bool,
}

impl<'a> BodyReader<'a> {
    pub(super) const fn new(
        hold: &'a MemoryHold,
        customer: Option<StableHash>,
        limit: usize,
    ) -> Self {
        Self {
            hold,
            customer,
            limit,
            expected: limit,
            first: None,
            buffer: Vec::new(),
            received: 0,
            is_listed: false,
            is_charged: false,
        }
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large, breaks off or gives way to others.
    pub(super) async fn read(mut self, body: &mut Incoming) -> Result<Bytes, BodyError> {
        let announced = body.size_hint();
        if announced.lower() > self.limit as u64 {
            return Err(BodyError::TooLarge);
        }
        if let Some(length) = announced.exact() {
            self.expected = length as usize;
        }
        if !body.is_end_stream() {
            self.is_listed = true;
            self.hold.start_body(self.customer, self.expected);
        }
        loop {
            let frame = tokio::select! {
                biased;
                cause = self.hold.signal().body_reclaimed(), if self.is_charged => {
                    return Err(BodyError::Reclaimed(cause));
                }
                frame = body.frame() => frame,
            };
            match frame {
                None => return Ok(self.finish()),
                Some(Err(_)) => return Err(BodyError::BrokenOff),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.push(data)?;
                    }
                }
            }
        }
    }

    fn push(&mut self, data: Bytes) -> Result<(), BodyError> {
        let is_first = self.received == 0;
        self.received += data.len();
        if self.received > self.limit {
            return Err(BodyError::TooLarge);
        }
        if self.received < self.expected {
            self.hold.record_arrival(self.received);
        }
        if is_first {
            self.first = Some(data);
            return Ok(());
        }
        if let Some(first) = self.first.take() {
            self.append(&first)?;
        }
        self.append(&data)
    }

    fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let needed = self.buffer.len() + data.len();
        if needed > self.buffer.capacity() {
            let doubled = (2 * self.buffer.capacity()).max(UNCHARGED_BYTES);
            let capacity = doubled.min(self.expected).max(needed);
            if capacity > UNCHARGED_BYTES {
                self.charge(capacity)?;
            }
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn charge(&mut self, capacity: usize) -> Result<(), BodyError> {
        self.is_charged = true;
        self.hold.grow_body(capacity).map_err(BodyError::Reclaimed)
    }

    fn finish(mut self) -> Bytes {
        if let Some(first) = self.first.take() {
            return first;
        }
        let buffer = std::mem::take(&mut self.buffer);
        if self.is_charged {
            self.is_listed = false;
            self.hold.finish_body(buffer, self.customer)
        } else {
            buffer.into()
        }
    }
}

impl Drop for BodyReader<'_> {
    fn drop(&mut self) {
        if self.is_listed {
            self.hold.abandon_body();
        }
    }
}
