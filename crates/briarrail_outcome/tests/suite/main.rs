//! Tests of outcomes, retries, streams and claims.

mod reply;
mod retry;
mod stream;
