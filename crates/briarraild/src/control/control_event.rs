//! Events of the control thread.

use briarrail_fleet::{ConfigRead, HostChange, SendId, WatchOutcome};
use briarrail_model::{HostName, LoadRecord};
use briarrail_outcome::{StoreCallId, StoreReply};
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};
use bytes::Bytes;
use tokio::sync::oneshot;

/// What the control thread reacts to.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A peer sent a frame.
    Frame {
        /// What the peer asks for.
        path: PeerPath,
        /// The sealed frame.
        frame: Bytes,
        /// Takes the reply frame; none when the frame was dropped.
        reply: oneshot::Sender<Option<Bytes>>,
    },
    /// A frame that this router sent was answered; none when it failed.
    Sent(SendId, Option<Bytes>),
    /// The host list was read; none when the platform did not answer.
    HostList(Option<HostChange>),
    /// The configuration was read.
    Config(ConfigRead),
    /// A watch of the configuration ended.
    Watch(WatchOutcome),
    /// A target's load was read; none when it did not answer.
    Load(HostName, Option<LoadRecord>),
    /// A call for the claims ended.
    Store(StoreCallId, StoreReply),
    /// This router asks for a claim on a bucket of its own.
    Claim(ClaimRequest, oneshot::Sender<ClaimReply>),
    /// This router reports the outcome of a claim on a bucket of its own.
    Report(ClaimReport, oneshot::Sender<ReportReply>),
    /// A planned stop was announced.
    Leave,
    /// The last request has ended: hand over the buckets, and tell when that is done.
    HandOver(oneshot::Sender<()>),
}

/// What a peer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerPath {
    /// The periodic or urgent exchange.
    Exchange,
    /// A claim on an idempotency key.
    Claim,
    /// The outcome of a claim.
    Report,
}

impl PeerPath {
    /// Every path.
    pub(crate) const ALL: [Self; 3] = [Self::Exchange, Self::Claim, Self::Report];

    /// Returns the path of the URL.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Exchange => "v1/exchange",
            Self::Claim => "v1/claim",
            Self::Report => "v1/report",
        }
    }
}
