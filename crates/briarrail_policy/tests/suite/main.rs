//! Tests of the decisions, with fixed seeds and simulated time.

mod admission;
mod budget;
mod fixtures;
mod placement;
mod publish;
mod sequences;
