//! Frames that have no reply yet.

use briarrail_model::MilliTime;
use briarrail_peer::{ExchangeMessage, LoadItem, NoticeItem};
use bytes::Bytes;

use crate::HostKey;

/// Attempts at one frame before its receiver counts as silent.
const MAX_ATTEMPTS: u8 = 3;
/// Attempts at a probe; more, since a failure is told to the whole region.
const MAX_PROBE_ATTEMPTS: u8 = 5;

/// What a frame was sent for, and what to do when its receiver is silent.
#[derive(Debug, Clone)]
pub(crate) enum SendPurpose {
    /// A periodic exchange; the records go to the receiver's successor instead.
    Round {
        distance: usize,
        loads: Vec<LoadItem>,
        notices: Vec<NoticeItem>,
    },
    /// A part of a broadcast; the receiver's successor in the data centre takes it over.
    Broadcast {
        distance: usize,
        message: Box<ExchangeMessage>,
    },
    /// A probe of a host that another router could not reach.
    Probe,
    /// A request to probe a host.
    ProbeRequest { suspect: HostKey },
}

impl SendPurpose {
    /// Returns the number of attempts before the receiver counts as silent.
    pub(crate) fn max_attempts(&self, is_suspect: bool) -> u8 {
        match self {
            Self::Probe => MAX_PROBE_ATTEMPTS,
            _ if is_suspect => 1,
            _ => MAX_ATTEMPTS,
        }
    }
}

/// One frame that has no reply yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingSend {
    pub(crate) to: HostKey,
    pub(crate) frame: Bytes,
    pub(crate) purpose: SendPurpose,
    pub(crate) attempt: u8,
    /// Time of the next attempt; none while one is under way.
    pub(crate) retry_at: Option<MilliTime>,
    pub(crate) sent_at: MilliTime,
}
