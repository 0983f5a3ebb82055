//! Holds an answer until it is complete.

use bytes::Bytes;

use super::caller_memory::{AnswerCharge, MemoryHold, UNCHARGED_BYTES};

/// Collects the body of an answer, as long as there is room for it.
#[derive(Debug)]
pub(super) struct AnswerBuffer<'a> {
    hold: &'a MemoryHold,
    /// Maximum size, in bytes.
    limit: usize,
    bytes: Vec<u8>,
    charge: Option<AnswerCharge>,
}

impl<'a> AnswerBuffer<'a> {
    pub(super) const fn new(hold: &'a MemoryHold, limit: usize) -> Self {
        Self {
            hold,
            limit,
            bytes: Vec::new(),
            charge: None,
        }
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a chunk, or returns `false` if the answer is too large to be held.
    pub(super) fn try_append(&mut self, chunk: &[u8]) -> bool {
        let needed = self.bytes.len() + chunk.len();
        if needed > self.limit {
            return false;
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = (2 * capacity).max(needed).min(self.limit);
            if grown > UNCHARGED_BYTES && !self.try_charge(grown) {
                return false;
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    /// Returns what was appended, which stays charged while any part of it is held.
    pub(super) fn finish(self) -> Bytes {
        match self.charge {
            Some(charge) => charge.attach(self.bytes),
            None => self.bytes.into(),
        }
    }

    fn try_charge(&mut self, capacity: usize) -> bool {
        let charged = self.charge.as_ref().map_or(0, AnswerCharge::bytes);
        let Some(added) = self.hold.try_buffer_answer(capacity - charged) else {
            return false;
        };
        match &mut self.charge {
            Some(charge) => charge.merge(added),
            None => self.charge = Some(added),
        }
        true
    }
}
