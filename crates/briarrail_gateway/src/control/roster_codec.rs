//! Encoding in which routers pass the records of targets to each other.

use briarrail_dispatch::TargetRecord;
use briarrail_peer::{MAX_FRAME_BYTES, RosterUpdate};
use bytes::Bytes;
use thiserror::Error;

use super::deflate_codec::{deflate, inflate};

/// Size of encoded records above which they are compressed; the rest of a frame is for the counts of
/// requests.
const MAX_PLAIN_BYTES: usize = MAX_FRAME_BYTES / 4 * 3;
/// Maximum size of decompressed records, in bytes.
const MAX_ROSTER_BYTES: u64 = 32 << 20;

/// Why records could not be encoded or decoded.
#[derive(Debug, Error)]
pub(crate) enum RosterCodecError {
    #[error("cannot encode the records: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("cannot decode the records: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("cannot compress or decompress the records: {0}")]
    Deflate(#[from] std::io::Error),
}

/// Encodes records, and returns them with whether they are compressed.
pub(crate) fn encode_records(records: &[&TargetRecord]) -> Result<(Bytes, bool), RosterCodecError> {
    let encoded = rmp_serde::to_vec_named(records)?;
    if encoded.len() <= MAX_PLAIN_BYTES {
        return Ok((Bytes::from(encoded), false));
    }
    Ok((deflate(&encoded)?, true))
}

/// Decodes the records of an update.
pub(crate) fn decode_records(update: &RosterUpdate) -> Result<Vec<TargetRecord>, RosterCodecError> {
    if !update.is_compressed {
        return Ok(rmp_serde::from_slice(&update.rows)?);
    }
    let encoded = inflate(&update.rows, MAX_ROSTER_BYTES)?;
    Ok(rmp_serde::from_slice(&encoded)?)
}
