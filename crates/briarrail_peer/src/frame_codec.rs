//! Encoding, authentication and decoding of frames.

use briarrail_model::HostName;
use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key_ring::TAG_BYTES;
use crate::{Envelope, FrameError, FrameErrorKind, KeyRing, MessageKind};

/// Version of the protocol between routers.
pub const PROTOCOL_VERSION: u8 = 1;
/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

const PREFIX_BYTES: usize = 2;
const HEADER_BYTES: usize = PREFIX_BYTES + TAG_BYTES;

/// Encodes and decodes frames that are authenticated with the keys of a [`KeyRing`].
///
/// ```
/// use briarrail_peer::{Envelope, FrameCodec, KeyRing, MessageKind, SharedKey};
///
/// let codec = FrameCodec::new(KeyRing::new(SharedKey::new(b"secret")));
/// let envelope = Envelope {
///     from: "entry-1".into(),
///     incarnation: 1,
///     to: "entry-2".into(),
///     body: 7_u32,
/// };
/// let frame = codec.seal(MessageKind::Exchange, &envelope)?;
/// let opened = codec.open::<u32>(MessageKind::Exchange, &"entry-2".into(), &frame)?;
/// assert_eq!(opened, envelope);
/// # Ok::<(), briarrail_peer::FrameError>(())
/// ```
#[derive(Debug, Clone)]
pub struct FrameCodec {
    keys: KeyRing,
}

impl FrameCodec {
    /// Creates a codec.
    #[must_use]
    pub fn new(keys: KeyRing) -> Self {
        Self { keys }
    }

    /// Encodes and authenticates a message.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded or the frame is too large.
    pub fn seal<T>(&self, kind: MessageKind, envelope: &Envelope<T>) -> Result<Bytes, FrameError>
    where
        T: Serialize,
    {
        let payload = encode(envelope)?;
        let prefix = [PROTOCOL_VERSION, kind.code()];
        let tag = self.keys.sign([&prefix, &payload]);
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        frame.put_slice(&prefix);
        frame.put_slice(&tag);
        frame.put_slice(&payload);
        check_size(&frame)?;
        Ok(frame.freeze())
    }

    /// Verifies and decodes a frame that is addressed to `receiver`.
    ///
    /// # Errors
    ///
    /// Rejects frames that are too large, truncated, of another version or kind, not authentic,
    /// malformed or addressed to another host.
    pub fn open<T>(
        &self,
        kind: MessageKind,
        receiver: &HostName,
        frame: &[u8],
    ) -> Result<Envelope<T>, FrameError>
    where
        T: DeserializeOwned,
    {
        check_size(frame)?;
        let Some((prefix, rest)) = frame.split_first_chunk::<PREFIX_BYTES>() else {
            return Err(truncated(frame));
        };
        let Some((tag, payload)) = rest.split_first_chunk::<TAG_BYTES>() else {
            return Err(truncated(frame));
        };
        check_prefix(*prefix, kind)?;
        if !self.keys.verify([prefix, payload], tag) {
            let hint = "compare the peer keys in the settings of both routers";
            return Err(FrameError::new(
                FrameErrorKind::InvalidTag,
                payload.len(),
                hint,
            ));
        }
        let envelope: Envelope<T> = rmp_serde::from_slice(payload).map_err(malformed)?;
        if envelope.to != *receiver {
            let hint = "two hosts have the same address in the host list";
            return Err(FrameError::new(
                FrameErrorKind::Misdirected,
                &envelope.to,
                hint,
            ));
        }
        Ok(envelope)
    }
}

fn encode<T>(envelope: &Envelope<T>) -> Result<Vec<u8>, FrameError>
where
    T: Serialize,
{
    let encode_error =
        |error| FrameError::new(FrameErrorKind::Encode, error, "report this as a bug");
    rmp_serde::to_vec_named(envelope).map_err(encode_error)
}

fn malformed(error: rmp_serde::decode::Error) -> FrameError {
    let hint = "the sender runs an incompatible release";
    FrameError::new(FrameErrorKind::Malformed, error, hint)
}

fn truncated(frame: &[u8]) -> FrameError {
    let hint = "the minimum is 18 bytes";
    FrameError::new(FrameErrorKind::Truncated, frame.len(), hint)
}

fn check_size(frame: &[u8]) -> Result<(), FrameError> {
    if frame.len() <= MAX_FRAME_BYTES {
        return Ok(());
    }
    let hint = "the maximum is 1 MiB";
    Err(FrameError::new(FrameErrorKind::TooLarge, frame.len(), hint))
}

fn check_prefix(prefix: [u8; PREFIX_BYTES], kind: MessageKind) -> Result<(), FrameError> {
    let [version, code] = prefix;
    if version != PROTOCOL_VERSION {
        let hint = "upgrade the router with the older protocol version";
        return Err(FrameError::new(
            FrameErrorKind::UnsupportedVersion,
            version,
            hint,
        ));
    }
    if code != kind.code() {
        let hint = "the sender used the path of another message kind";
        return Err(FrameError::new(FrameErrorKind::UnexpectedKind, code, hint));
    }
    Ok(())
}
