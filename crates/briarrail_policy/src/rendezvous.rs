//! Rendezvous hashing.

use briarrail_model::{StableHash, hash_pair};

/// Returns the index of the candidate with the highest score for a key.
///
/// When a candidate joins or leaves, only the keys that map to it change their candidate.
#[must_use]
pub fn best_candidate<I>(key: StableHash, candidates: I) -> Option<usize>
where
    I: IntoIterator<Item = StableHash>,
{
    let scores = candidates
        .into_iter()
        .map(|candidate| hash_pair(key, candidate));
    scores
        .enumerate()
        .max_by_key(|&(_, score)| score)
        .map(|(index, _)| index)
}
