//! Frames that were refused.

use thiserror::Error;

/// Why a frame was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
#[non_exhaustive]
pub enum FrameErrorKind {
    /// The frame is larger than the protocol allows.
    #[error("the frame is too large")]
    TooLarge,
    /// The frame is shorter than its header.
    #[error("the frame is cut short")]
    Truncated,
    /// The sender speaks another version of the protocol.
    #[error("the protocol version is not supported")]
    UnsupportedVersion,
    /// The frame carries another kind of message.
    #[error("the kind of message is not expected here")]
    UnexpectedKind,
    /// No valid key made the tag.
    #[error("the frame is not authentic")]
    InvalidTag,
    /// The content is not a message of its kind.
    #[error("the message is malformed")]
    Malformed,
    /// The message is meant for another host.
    #[error("the message is meant for another host")]
    Misdirected,
    /// The message could not be encoded.
    #[error("the message could not be encoded")]
    Encode,
}

/// A refused frame, with the offending value and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind}: {value} (hint: {hint})")]
pub struct FrameError {
    /// Why the frame was refused.
    pub kind: FrameErrorKind,
    /// Offending value.
    pub value: String,
    /// What to do about it.
    pub hint: &'static str,
}

impl FrameError {
    pub(crate) fn new<V>(kind: FrameErrorKind, value: V, hint: &'static str) -> Self
    where
        V: ToString,
    {
        let value = value.to_string();
        Self { kind, value, hint }
    }
}
