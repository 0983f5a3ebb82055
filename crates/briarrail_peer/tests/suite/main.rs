//! Tests of the inner protocol.

mod budget;
mod frames;
mod items;
mod sync;
