//! Errors of encoding and decoding frames.

use thiserror::Error;

/// Why a frame could not be encoded or was rejected.
///
/// The texts are also the keys under which rejected frames are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
#[non_exhaustive]
pub enum FrameErrorKind {
    /// The frame exceeds the maximum size.
    #[error("the frame is too large")]
    TooLarge,
    /// The frame is shorter than its header.
    #[error("the frame is cut short")]
    Truncated,
    /// The sender uses another version of the protocol.
    #[error("the protocol version is not supported")]
    UnsupportedVersion,
    /// The frame contains another kind of message.
    #[error("the kind of message is not expected here")]
    UnexpectedKind,
    /// The authentication tag matches no accepted key.
    #[error("the frame is not authentic")]
    InvalidTag,
    /// The payload can't be decoded as a message of the expected kind.
    #[error("the message is malformed")]
    Malformed,
    /// The message is addressed to another host.
    #[error("the message is meant for another host")]
    Misdirected,
    /// The message could not be encoded.
    #[error("the message could not be encoded")]
    Encode,
}

/// An error of a frame, with the offending value and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind}: {value} (hint: {hint})")]
pub struct FrameError {
    /// Kind of the error.
    pub kind: FrameErrorKind,
    /// Offending value.
    pub value: String,
    /// Likely cause, or what the operator can do.
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
