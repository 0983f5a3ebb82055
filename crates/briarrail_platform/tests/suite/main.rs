//! Tests the HTTP clients against in-process stand-ins of the platform.

mod directory;
mod store;
