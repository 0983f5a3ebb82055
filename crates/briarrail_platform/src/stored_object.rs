//! Objects and listings returned by the object API.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The version of an object: the revision of the store at which it was last written.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// One object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value of the object.
    pub value: Bytes,
}

/// Key and version of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: ObjectVersion,
}

/// Keys and versions of the objects under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectListing {
    /// Revision of the store at which the listing was made.
    pub revision: ObjectVersion,
    /// The objects, sorted by key.
    pub objects: Vec<ListedObject>,
}
