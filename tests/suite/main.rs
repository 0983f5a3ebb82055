//! Tests of whole processes: routers are killed, paused and stopped, and the ledger decides.
//!
//! The routers are processes of their own; the stand-ins run in the process of the test. Waiting
//! ends with a failure only after a limit far above what is expected.

mod claim_faults;
mod rolling_stop;
mod store_outage;
mod support;
mod wide_fleet;
