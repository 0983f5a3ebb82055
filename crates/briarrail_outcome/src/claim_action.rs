//! What the owner of buckets wants done.

use briarrail_peer::{ClaimReply, ReportReply};

use crate::{StoreCall, StoreCallId};

/// Identifies a received message to which a reply is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimMessageId(pub u64);

/// What the owner of buckets wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Make a call to the object API and hand its result back under the id.
    Call {
        /// Identifies the call.
        id: StoreCallId,
        /// The call.
        call: StoreCall,
    },
    /// Answer a claim request.
    Reply {
        /// Ticket of the request.
        message_id: ClaimMessageId,
        /// The reply.
        reply: ClaimReply,
    },
    /// Answer a report.
    Acknowledge {
        /// Ticket of the report.
        message_id: ClaimMessageId,
        /// The reply.
        reply: ReportReply,
    },
}
