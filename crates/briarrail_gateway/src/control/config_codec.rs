//! The form in which routers hand on configurations.
//!
//! A configuration has hundreds of routes that differ little, and a narrow link feeds many
//! routers at once, so it travels deflated.

use std::io::{Read, Write};

use briarrail_dispatch::SiteConfig;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;

/// Largest configuration once inflated, in bytes; the store holds values of a megabyte.
const MAX_CONFIG_BYTES: u64 = 8 << 20;

/// A configuration that could not be encoded or decoded.
#[derive(Debug, Error)]
pub(crate) enum ConfigCodecError {
    #[error("not encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("not decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("not compressed or expanded: {0}")]
    Deflate(#[from] std::io::Error),
}

/// Encodes a configuration.
pub(crate) fn encode_config(config: &SiteConfig) -> Result<Bytes, ConfigCodecError> {
    let plain = rmp_serde::to_vec_named(config)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decodes a configuration.
pub(crate) fn decode_config(body: &[u8]) -> Result<SiteConfig, ConfigCodecError> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MAX_CONFIG_BYTES);
    decoder.read_to_end(&mut plain)?;
    Ok(rmp_serde::from_slice(&plain)?)
}
