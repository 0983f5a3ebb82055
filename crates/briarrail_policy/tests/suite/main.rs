//! Tests of the decisions, on fixed seeds and in virtual time.

mod admission;
mod budget;
mod fakes;
mod placement;
mod publish;
mod sequences;
