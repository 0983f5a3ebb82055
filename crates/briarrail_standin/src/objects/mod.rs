//! Stand-in of the platform's object API.

mod object_map;
mod object_settings;
mod object_standin;
mod store_counts;
mod store_faults;

pub use object_settings::ObjectSettings;
pub use object_standin::{ObjectStandin, start_objects};
pub use store_counts::StoreCounts;
pub use store_faults::{OutageKind, StoreFaults};
