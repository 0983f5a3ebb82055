//! Frames that wait for a reply.

use briarrail_model::MilliTime;
use briarrail_peer::{ExchangeMessage, LoadItem, NoticeItem};
use bytes::Bytes;

use crate::HostKey;

/// Attempts to deliver a frame before its receiver counts as unresponsive.
const MAX_ATTEMPTS: u8 = 3;
/// Attempts at a probe. They are more because the result of a failed probe is spread through the
/// whole region.
const MAX_PROBE_ATTEMPTS: u8 = 5;

/// Purpose of a frame, which decides what happens when its receiver is unresponsive.
#[derive(Debug, Clone)]
pub(crate) enum SendPurpose {
    /// A periodic exchange; on failure the records are sent to the receiver's successor.
    Round {
        distance: usize,
        loads: Vec<LoadItem>,
        notices: Vec<NoticeItem>,
    },
    /// A part of a broadcast; on failure this router forwards it to the receiver's share of the
    /// data centre ring.
    Broadcast {
        distance: usize,
        message: Box<ExchangeMessage>,
    },
    /// A probe of a host that another router could not reach.
    Probe,
    /// A request to probe a suspect.
    ProbeRequest { suspect: HostKey },
}

impl SendPurpose {
    /// Returns the number of attempts before the receiver counts as unresponsive.
    pub(crate) fn max_attempts(&self, is_suspect: bool) -> u8 {
        match self {
            Self::Probe => MAX_PROBE_ATTEMPTS,
            _ if is_suspect => 1,
            _ => MAX_ATTEMPTS,
        }
    }
}

/// A frame that waits for a reply.
#[derive(Debug, Clone)]
pub(crate) struct PendingSend {
    pub(crate) to: HostKey,
    pub(crate) frame: Bytes,
    pub(crate) purpose: SendPurpose,
    pub(crate) attempt: u8,
    /// Time of the next attempt; `None` while an attempt is in flight.
    pub(crate) retry_at: Option<MilliTime>,
    pub(crate) sent_at: MilliTime,
}
