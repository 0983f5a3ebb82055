//! Membership, exchange and configuration adoption state machines.
//!
//! [`FleetNode`] implements one router's side of the protocol. It does no I/O: the caller passes in
//! frames, replies, results of platform reads and the current time, and executes the returned
//! [`FleetOutput`]s.

mod config_adopter;
mod config_read;
mod effective_phase;
mod fleet_counters;
mod fleet_node;
mod fleet_output;
mod fleet_settings;
mod fleet_view;
mod host_change;
mod host_slot;
mod host_table;
mod load_table;
mod node_broadcast;
mod node_frames;
mod node_observed_targets;
mod node_platform;
mod node_rounds;
mod node_sends;
mod peer_ring;
mod pending_send;

pub use config_adopter::{AdoptError, ConfigAdopter, encode_edit};
pub use config_read::{ConfigRead, WatchOutcome};
pub use effective_phase::EffectivePhase;
pub use fleet_counters::FleetCounters;
pub use fleet_node::FleetNode;
pub use fleet_output::{FleetOutput, SendId};
pub use fleet_settings::FleetSettings;
pub use fleet_view::{FleetView, HostView};
pub use host_change::HostChange;
pub use host_table::{HostKey, HostTable, host_code};
pub use load_table::LoadTable;
pub use peer_ring::PeerRing;
