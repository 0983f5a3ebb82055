//! Placement, load, admission and retry-budget decisions.
//!
//! The crate performs no I/O and reads no clock; callers pass the current time as an argument.
//!
//! The control thread keeps one [`LoadTracker`] per pool and publishes the [`PlacementView`] that
//! it returns; traffic threads call [`place()`] on the view. [`AdmissionController`] and
//! [`RetryBudget`] limit how many requests are sent.
//!
//! Loads are measured in streams, that is in requests in progress at a target. The targets of a
//! chat are ranked by rendezvous hashing; its home is the target with the highest score.

mod admission_controller;
mod admission_decision;
mod candidate_list;
mod customer_usage;
mod eligible_target;
mod flap_damper;
mod in_flight_counts;
mod load_forecast;
mod load_limits;
mod load_sum;
mod load_tracker;
mod peer_in_flight;
mod place;
mod placement_decision;
mod placement_request;
mod placement_settings;
mod placement_view;
mod publish_policy;
mod rendezvous;
mod retry_budget;
mod router_topology;
mod target_estimate;
mod target_history;
mod target_input;
mod target_state;
mod tier_capacity;
mod view_builder;

pub use admission_controller::{AdmissionController, AdmissionRequest};
pub use admission_decision::AdmissionDecision;
pub use candidate_list::CandidateList;
pub use customer_usage::CustomerUsage;
pub use in_flight_counts::InFlightCounts;
pub use load_tracker::LoadTracker;
pub use peer_in_flight::PeerInFlight;
pub use place::place;
pub use placement_decision::PlacementDecision;
pub use placement_request::PlacementRequest;
pub use placement_settings::PlacementSettings;
pub use placement_view::{PlacementView, TargetIndex};
pub use publish_policy::PublishPolicy;
pub use rendezvous::best_candidate;
pub use retry_budget::RetryBudget;
pub use router_topology::RouterTopology;
pub use target_input::TargetInput;
