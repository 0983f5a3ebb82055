//! Tests of outcomes, retries, streams and claims.

mod claims;
mod reply;
mod retry;
mod stream;
