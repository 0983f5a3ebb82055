//! Request outcomes, retries, idempotency claims and stream integrity.
