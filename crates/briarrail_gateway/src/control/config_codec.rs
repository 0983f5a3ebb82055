//! Encoding in which routers pass configurations to each other.
//!
//! A configuration has hundreds of similar routes, and one host with a narrow link sends it to many
//! routers at once, so it is compressed.

use std::io::{Read, Write};

use briarrail_dispatch::SiteConfig;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;

/// Maximum size of a decompressed configuration, in bytes; the store accepts values of up to one
/// megabyte.
const MAX_CONFIG_BYTES: u64 = 8 << 20;

/// Why a configuration could not be encoded or decoded.
#[derive(Debug, Error)]
pub(crate) enum ConfigCodecError {
    #[error("cannot encode the configuration: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("cannot decode the configuration: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("cannot compress or decompress the configuration: {0}")]
    Deflate(#[from] std::io::Error),
}

/// Encodes and compresses a configuration.
pub(crate) fn encode_config(config: &SiteConfig) -> Result<Bytes, ConfigCodecError> {
    let encoded = rmp_serde::to_vec_named(config)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&encoded)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses and decodes a configuration.
pub(crate) fn decode_config(body: &[u8]) -> Result<SiteConfig, ConfigCodecError> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MAX_CONFIG_BYTES);
    decoder.read_to_end(&mut encoded)?;
    Ok(rmp_serde::from_slice(&encoded)?)
}
