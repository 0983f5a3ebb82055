//! Events of the control thread.

use briarrail_fleet::{ConfigRead, HostChange, SendId, WatchOutcome};
use briarrail_model::{HostName, LoadRecord};
use briarrail_outcome::{StoreCallId, StoreReply};
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};
use bytes::Bytes;
use tokio::sync::oneshot;

/// An event that the control thread handles.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A peer sent a frame.
    FrameReceived {
        /// URL path that the frame was posted to.
        path: PeerPath,
        /// The sealed frame.
        frame: Bytes,
        /// Takes the reply frame; `None` if the frame was dropped.
        reply: oneshot::Sender<Option<Bytes>>,
    },
    /// A frame was sent: its reply, or `None` if sending failed.
    SendCompleted(SendId, Option<Bytes>),
    /// The host list was read; `None` if the platform did not answer.
    HostListRead(Option<HostChange>),
    /// The configuration was read.
    ConfigRead(ConfigRead),
    /// A watch of the configuration ended.
    ConfigWatchEnded(WatchOutcome),
    /// The load of a target was read; `None` if the target did not answer.
    LoadRead(HostName, Option<LoadRecord>),
    /// A store call for the claims completed.
    StoreReplied(StoreCallId, StoreReply),
    /// A traffic thread requests a claim in a bucket of this router.
    Claim(ClaimRequest, oneshot::Sender<ClaimReply>),
    /// A traffic thread reports the outcome of a claim in a bucket of this router.
    Report(ClaimReport, oneshot::Sender<ReportReply>),
    /// A graceful stop started.
    Leave,
    /// The last request of a graceful stop ended: hand over the claim buckets, then reply.
    HandOver(oneshot::Sender<()>),
}

/// URL path that a peer posts a frame to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerPath {
    /// The periodic or urgent exchange of membership, load and configuration.
    Exchange,
    /// A claim on an idempotency key.
    Claim,
    /// The outcome of a claim.
    Report,
}

impl PeerPath {
    /// All paths.
    pub(crate) const ALL: [Self; 3] = [Self::Exchange, Self::Claim, Self::Report];

    /// Returns the path without a leading slash.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Exchange => "v1/exchange",
            Self::Claim => "v1/claim",
            Self::Report => "v1/report",
        }
    }
}
