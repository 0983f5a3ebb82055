//! Object API and host list of the platform: traits and HTTP clients.
//!
//! The rest of the workspace depends on the traits [`ObjectStore`] and [`HostDirectory`];
//! [`HttpStore`] and [`HttpDirectory`] implement them with the platform's published HTTP protocol.

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

/// Response header that carries the version of an object.
pub const VERSION_HEADER: &str = "x-object-version";
/// Maximum size of a value in the object API, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
