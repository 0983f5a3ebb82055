//! Hashes that are identical on all routers and in all releases.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A 64-bit hash that is the same in every process and release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StableHash(pub u64);

/// Hashes bytes with XXH3.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> StableHash {
    StableHash(xxh3_64(bytes))
}

/// Combines two hashes into one; the result depends on their order.
///
/// Rendezvous hashing uses it to score each candidate for a key.
#[must_use]
pub const fn hash_pair(left: StableHash, right: StableHash) -> StableHash {
    let mut mixed = left.0 ^ right.0.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    StableHash(mixed ^ (mixed >> 31))
}
