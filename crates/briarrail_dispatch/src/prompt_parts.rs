//! The parts of a prompt, from which the affinity of a request is derived.

use briarrail_model::{StableHash, hash_pair};

/// The parts of a prompt and their sizes.
///
/// Requests can share leading parts; the last part is specific to the request or its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Identifier and size in tokens of each part, in prompt order.
    pub parts: Vec<(StableHash, u32)>,
}

impl PromptParts {
    /// Returns the key that places requests with the same context at the same target.
    ///
    /// The key covers all parts except the last; a prompt with a single part is covered whole.
    #[must_use]
    pub fn affinity_key(&self) -> Option<StableHash> {
        let shared = self.shared_parts();
        let start = shared.first()?.0;
        Some(
            shared[1..]
                .iter()
                .fold(start, |key, part| hash_pair(key, part.0)),
        )
    }

    /// Returns the number of tokens that an earlier request may have left in a target's cache.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let tokens = self.shared_parts().iter().map(|part| part.1);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the number of tokens of the whole prompt.
    #[must_use]
    pub fn total_tokens(&self) -> u32 {
        let tokens = self.parts.iter().map(|part| part.1);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the parts that other requests can have too: all but the last, or the only one.
    #[must_use]
    pub fn shared_parts(&self) -> &[(StableHash, u32)] {
        match self.parts.len() {
            0 => &[],
            1 => &self.parts,
            len => &self.parts[..len - 1],
        }
    }
}
