//! Object API and host list of the platform: traits and HTTP clients.
//!
//! [`ObjectStore`] and [`HostDirectory`] are what the rest of the workspace depends on;
//! [`HttpStore`] and [`HttpDirectory`] speak the platform's published protocol.

mod host_delta;
mod host_directory;
mod http_directory;
mod http_store;
mod object_store;
mod store_error;
mod stored_object;
mod watch_batch;
mod write_condition;

pub use host_delta::HostDelta;
pub use host_directory::HostDirectory;
pub use http_directory::HttpDirectory;
pub use http_store::HttpStore;
pub use object_store::ObjectStore;
pub use store_error::{StoreError, StoreErrorKind};
pub use stored_object::{ListedObject, ObjectListing, ObjectVersion, StoredObject};
pub use watch_batch::{WatchBatch, WatchEvent};
pub use write_condition::WriteCondition;

/// Response and request header that carries the version of an object.
pub const VERSION_HEADER: &str = "x-object-version";
/// Largest value that the object API holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
