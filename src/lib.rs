//! Request routing with session affinity for chats, configured by two tables: routes and pools.
//!
//! This crate re-exports the decision logic and the interfaces of the workspace under short paths,
//! for programs that use them without a network. The daemon is `briarraild`, and the command-line
//! tool is `briarctl`.
//!
//! ```
//! use briarrail::model::TableSet;
//!
//! let tables = TableSet::default();
//! assert!(tables.validate().is_ok());
//! ```

pub use briarrail_config as config;
pub use briarrail_fleet as fleet;
pub use briarrail_model as model;
pub use briarrail_outcome as outcome;
pub use briarrail_peer as peer;
pub use briarrail_platform as platform;
pub use briarrail_policy as policy;
pub use briarrail_settings as settings;
