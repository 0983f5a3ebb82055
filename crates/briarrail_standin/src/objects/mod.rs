//! Stand-in for the platform's object API.

mod object_api_counts;
mod object_api_faults;
mod object_api_settings;
mod object_api_standin;
mod object_map;

pub use object_api_counts::ObjectApiCounts;
pub use object_api_faults::{ObjectApiFaults, OutageKind};
pub use object_api_settings::ObjectApiSettings;
pub use object_api_standin::{ObjectApiStandin, start_object_api};
