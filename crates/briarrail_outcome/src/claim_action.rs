//! Actions requested by a [`ClaimCoordinator`](crate::ClaimCoordinator).

use briarrail_peer::{ClaimReply, ReportReply};

use crate::{StoreCall, StoreCallId};

/// Identifies a received claim request or report until its reply.
///
/// The caller of [`ClaimCoordinator`](crate::ClaimCoordinator) assigns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimMessageId(pub u64);

/// An action that a [`ClaimCoordinator`](crate::ClaimCoordinator) requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Make a store call and pass its result back with the same id.
    Call {
        /// Id of the call.
        id: StoreCallId,
        /// The call.
        call: StoreCall,
    },
    /// Reply to a claim request.
    Reply {
        /// Id of the request.
        message_id: ClaimMessageId,
        /// The reply.
        reply: ClaimReply,
    },
    /// Reply to a report.
    Acknowledge {
        /// Id of the report.
        message_id: ClaimMessageId,
        /// The reply.
        reply: ReportReply,
    },
}
