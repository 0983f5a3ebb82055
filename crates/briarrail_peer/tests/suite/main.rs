//! Tests of the protocol between routers.

mod budget;
mod frames;
mod items;
mod sync;
