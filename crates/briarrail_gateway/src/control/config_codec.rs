//! Encoding in which routers pass configurations to each other.
//!
//! A configuration has hundreds of similar routes, and one host with a narrow link sends it to many
//! routers at once, so it is compressed.

use briarrail_dispatch::SiteConfig;
use bytes::Bytes;
use thiserror::Error;

use super::deflate_codec::{deflate, inflate};

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
    Ok(deflate(&encoded)?)
}

/// Decompresses and decodes a configuration.
pub(crate) fn decode_config(body: &[u8]) -> Result<SiteConfig, ConfigCodecError> {
    let encoded = inflate(body, MAX_CONFIG_BYTES)?;
    Ok(rmp_serde::from_slice(&encoded)?)
}
