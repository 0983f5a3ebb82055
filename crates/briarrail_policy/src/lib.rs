//! Placement, load, admission and retry-budget decisions.
//!
//! All of it decides on values: the present time is an argument, there is no I/O.
//!
//! The control thread keeps one [`LoadLedger`] a pool and publishes the [`PlacementView`] that it
//! returns; traffic threads call [`place`] on the view. [`AdmissionGate`] and [`RetryBudget`]
//! limit what is sent at all.

mod admission_choice;
mod admission_gate;
mod candidate_list;
mod customer_shares;
mod flap_damper;
mod load_forecast;
mod load_ledger;
mod load_sum;
mod own_counts;
mod peer_count;
mod place;
mod placement_choice;
mod placement_request;
mod placement_settings;
mod placement_view;
mod publish_rule;
mod rendezvous_order;
mod retry_budget;
mod router_site;
mod shed_limits;
mod target_history;
mod target_input;
mod target_state;
mod tier_room;
mod view_builder;
mod view_target;

pub use admission_choice::AdmissionChoice;
pub use admission_gate::{AdmissionGate, AdmissionRequest};
pub use candidate_list::CandidateList;
pub use customer_shares::CustomerShares;
pub use load_ledger::LoadLedger;
pub use own_counts::OwnCounts;
pub use peer_count::PeerCount;
pub use place::place;
pub use placement_choice::PlacementChoice;
pub use placement_request::PlacementRequest;
pub use placement_settings::PlacementSettings;
pub use placement_view::{PlacementView, TargetIndex};
pub use publish_rule::PublishRule;
pub use rendezvous_order::best_candidate;
pub use retry_budget::RetryBudget;
pub use router_site::RouterSite;
pub use target_input::TargetInput;
