//! Deterministic completion text.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the seed of the completion for a request body.
#[must_use]
pub fn completion_seed(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Returns a token of a completion, determined by the seed and the position of the token.
///
/// ```
/// use briarrail_standin::{completion_seed, token_text};
///
/// let seed = completion_seed(b"{}");
/// assert_eq!(token_text(seed, 3), token_text(seed, 3));
/// assert_ne!(token_text(seed, 3), token_text(seed, 4));
/// ```
#[must_use]
pub fn token_text(seed: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!("{:06x} ", hash & 0xff_ffff)
}

/// Returns the first `count` tokens of the completion for a request body.
#[must_use]
pub fn completion_text(body: &[u8], count: u64) -> String {
    let seed = completion_seed(body);
    (0..count).map(|index| token_text(seed, index)).collect()
}
