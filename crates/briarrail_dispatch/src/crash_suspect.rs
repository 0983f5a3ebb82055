//! What requests that crash targets have in common.

use briarrail_model::StableHash;

/// Kind of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKind {
    /// A shared part of prompts.
    PromptPart,
    /// A request that is sent again, with the same path, caller and body.
    Request,
}

/// Something that requests have in common and that may crash each target that runs one of them.
///
/// The order prefers the more specific suspect: a request rather than a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashSuspect {
    /// Kind of the suspect.
    pub kind: SuspectKind,
    /// Hash of the part's identifier, or of the request.
    pub hash: StableHash,
}

impl CrashSuspect {
    /// Creates a suspect for a prompt part.
    #[must_use]
    pub const fn prompt_part(hash: StableHash) -> Self {
        Self {
            kind: SuspectKind::PromptPart,
            hash,
        }
    }

    /// Creates a suspect for a whole request.
    #[must_use]
    pub const fn request(hash: StableHash) -> Self {
        Self {
            kind: SuspectKind::Request,
            hash,
        }
    }
}
