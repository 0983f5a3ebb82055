//! Failure tests: router processes are killed, paused and restarted under load.
//!
//! Each router runs as a process of its own, and the stand-ins run in the test process. The tests
//! compare the outcomes that callers got with the ledger, which counts the runs of each idempotency
//! key at the stand-in services. Timeouts are far above the expected times.

mod config_propagation;
mod rolling_restart;
mod router_failures;
mod store_outage;
mod support;
