//! Targets that may receive new requests.

use briarrail_model::StableHash;

use crate::TargetIndex;

/// A target that may receive new requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EligibleTarget {
    /// Hash of the target's name.
    pub(crate) name: StableHash,
    /// Index of the target in its view.
    pub(crate) index: TargetIndex,
}
