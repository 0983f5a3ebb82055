//! Limit on the bytes that a peer sends before the head of its response is complete.
//!
//! The HTTP client skips interim responses. A peer that sends them without end would keep the thread
//! busy for as long as its bytes arrive faster than they are skipped.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of the head of a response with its interim responses, in bytes. Several reads fit
/// into it, so that the start of a body that arrives with the head does not exceed it.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes that may still be read before the head of a response; `None` if reads are not limited.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    /// Starts the limit for the response to a request.
    pub(super) fn start(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit when the head is complete.
    pub(super) fn end(&self) {
        self.0.set(None);
    }

    /// Returns whether nothing more may be read.
    pub(super) fn is_used_up(&self) -> bool {
        self.0.get() == Some(0)
    }

    /// Records that bytes were read.
    pub(super) fn record_read(&self, bytes: usize) {
        self.0
            .set(self.0.get().map(|left| left.saturating_sub(bytes)));
    }
}
