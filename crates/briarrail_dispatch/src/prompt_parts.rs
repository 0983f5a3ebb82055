//! What a request says of its prompt.

use briarrail_model::{StableHash, hash_pair};

/// The parts of a prompt and their sizes.
///
/// Requests share leading parts; the last part belongs to the request or its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Identifier and size in tokens of each part, in order.
    pub parts: Vec<(StableHash, u32)>,
}

impl PromptParts {
    /// Returns the key by which requests that share context are placed together.
    ///
    /// It covers all parts but the last; a prompt of one part is its own key.
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

    /// Returns the tokens that another request may have left in a cache.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        let tokens = self.shared_parts().iter().map(|part| part.1);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the tokens of the whole prompt.
    #[must_use]
    pub fn total_tokens(&self) -> u32 {
        let tokens = self.parts.iter().map(|part| part.1);
        tokens.fold(0, u32::saturating_add)
    }

    fn shared_parts(&self) -> &[(StableHash, u32)] {
        match self.parts.len() {
            0 => &[],
            1 => &self.parts,
            len => &self.parts[..len - 1],
        }
    }
}
