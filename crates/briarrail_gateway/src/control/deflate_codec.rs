//! Compression of what routers pass to each other.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Compresses bytes, for little processor time.
///
/// # Errors
///
/// Fails if the compressed bytes cannot be stored.
pub(crate) fn deflate(bytes: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses bytes, up to `max_bytes` of the result.
///
/// # Errors
///
/// Fails if the bytes are malformed.
pub(crate) fn inflate(bytes: &[u8], max_bytes: u64) -> std::io::Result<Vec<u8>> {
    let mut inflated = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(max_bytes);
    decoder.read_to_end(&mut inflated)?;
    Ok(inflated)
}
