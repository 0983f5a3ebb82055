//! Helpers shared by the tests.

mod load_balancer;
mod outcome_violations;
mod router_binary;
mod router_process;
mod test_harness;
mod wait;

pub(crate) use load_balancer::LoadBalancer;
pub(crate) use outcome_violations::outcome_violations;
pub(crate) use router_process::RouterProcess;
pub(crate) use test_harness::TestHarness;
pub(crate) use wait::{wait_for, with_timeout};
