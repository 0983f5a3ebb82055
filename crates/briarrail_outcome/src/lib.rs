//! Request outcomes, retries, idempotency claims and stream integrity.
//!
//! All of it decides on values: no I/O, no clock.

mod request_outcome;

pub use request_outcome::{NotRunReason, RequestOutcome, UnknownReason};
