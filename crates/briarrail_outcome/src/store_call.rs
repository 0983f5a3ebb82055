//! Store calls and their results as plain values.

use bytes::Bytes;

/// Identifies a store call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// Version of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion(pub u64);

/// A call to the object API that a bucket owner requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Writes an object if it has the expected version.
    Put {
        /// Key of the object.
        key: String,
        /// Value to write.
        value: Bytes,
        /// Version that the object must have; `None` if it must not exist.
        expected: Option<StoreVersion>,
    },
    /// Deletes an object regardless of its version.
    Delete {
        /// Key of the object.
        key: String,
    },
}

/// Result of a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The object was read.
    Found {
        /// Version of the object.
        version: StoreVersion,
        /// Value of the object.
        value: Bytes,
    },
    /// The object does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// New version of the object.
        version: StoreVersion,
    },
    /// The object was deleted.
    Deleted,
    /// The object had another version, so the write had no effect.
    Conflict,
    /// The call was not carried out.
    Unavailable,
    /// The call was sent, but no reply arrived; a write may have taken effect or may do so later.
    Unknown,
}
