//! Tests of the HTTP clients against the stand-ins.

mod directory;
mod store;
