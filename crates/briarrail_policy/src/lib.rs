//! Placement, load, admission and retry-budget decisions.
//!
//! All of it decides on values: the present time is an argument, there is no I/O.

mod rendezvous_order;

pub use rendezvous_order::best_candidate;
