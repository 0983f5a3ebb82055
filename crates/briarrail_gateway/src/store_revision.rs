//! Position in the history of the platform's store.

/// A revision of the store and the history to which it belongs.
///
/// A store that was restored from a copy continues with the revisions of the copy, so revisions of
/// different epochs cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreRevision {
    /// Number of times the store was restored from a copy.
    pub epoch: u64,
    /// Revision within the epoch.
    pub number: u64,
}
