//! The shared parts of one prompt.

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;

use briarrail_dispatch::PromptParts;
use briarrail_model::StableHash;

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Hashes of the shared parts of a prompt, in prompt order; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartList(Rc<[StableHash]>);

impl PartList {
    /// Returns the parts of a prompt that other requests can have too.
    ///
    /// The only part of a prompt counts as its last one, which belongs to the request itself.
    pub(crate) fn new(prompt: &PromptParts) -> Self {
        let shared = match prompt.parts.len() {
            0 | 1 => &[],
            _ => prompt.shared_parts(),
        };
        Self(shared.iter().map(|part| part.0).collect())
    }

    pub(crate) fn as_slice(&self) -> &[StableHash] {
        &self.0
    }
}

impl Display for PartList {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().take(MAX_LOGGED_PARTS).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{:016x}", part.0)?;
        }
        Ok(())
    }
}
