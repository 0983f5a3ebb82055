//! Kinds of messages between routers.

/// Kind of the message in a frame.
///
/// It is part of the authenticated header, so a frame can't be accepted as another kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum MessageKind {
    /// A periodic or urgent [`ExchangeMessage`](crate::ExchangeMessage).
    Exchange,
    /// The reply to an exchange.
    ExchangeReply,
    /// A [`ClaimRequest`](crate::ClaimRequest).
    ClaimRequest,
    /// A [`ClaimReply`](crate::ClaimReply).
    ClaimReply,
    /// A [`ClaimReport`](crate::ClaimReport).
    ClaimReport,
    /// A [`ReportReply`](crate::ReportReply).
    ReportReply,
    /// A [`SyncRequest`](crate::SyncRequest).
    SyncRequest,
    /// A [`SyncReply`](crate::SyncReply).
    SyncReply,
    /// An [`OriginMessage`](crate::OriginMessage).
    Origin,
    /// An [`AdmissionRequest`](crate::AdmissionRequest).
    AdmissionRequest,
    /// An [`AdmissionReply`](crate::AdmissionReply).
    AdmissionReply,
}

impl MessageKind {
    /// Returns the code of the kind in the frame header.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Exchange => 1,
            Self::ExchangeReply => 2,
            Self::ClaimRequest => 3,
            Self::ClaimReply => 4,
            Self::ClaimReport => 5,
            Self::ReportReply => 6,
            Self::SyncRequest => 7,
            Self::SyncReply => 8,
            Self::Origin => 9,
            Self::AdmissionRequest => 10,
            Self::AdmissionReply => 11,
        }
    }
}
