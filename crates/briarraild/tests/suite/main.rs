//! Integration tests of the daemon against stand-in targets and platform services.

mod broken_targets;
mod callers;
mod claims;
mod load;
mod operators;
mod peers;
mod refusals;
mod responses;
mod shutdown;
mod test_harness;
