//! Calls to the object API, as values.

use bytes::Bytes;

/// Identifies one call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// Version of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion(pub u64);

/// A call to the object API that the owner of a bucket wants made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Writes an object on a condition.
    Put {
        /// Key of the object.
        key: String,
        /// Value to write.
        value: Bytes,
        /// Version that the object must have; none when it must not exist.
        expected: Option<StoreVersion>,
    },
    /// Deletes an object, whatever its version.
    Delete {
        /// Key of the object.
        key: String,
    },
}

/// What came of a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was read.
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
    /// The condition did not hold, so the write had no effect.
    Conflict,
    /// The call was not carried out.
    Unavailable,
    /// The call was sent and no reply came; a write may have taken effect or may do so later.
    Unknown,
}
