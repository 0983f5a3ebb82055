//! Tests of outcomes, retries, streams and claims.

mod claims;
mod overlap;
mod reply;
mod retry;
mod stream;
