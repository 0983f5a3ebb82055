//! Tests of the operators' tool.

mod check;
mod fake_router;
mod garbled;
mod help;
mod outages;
mod routers;
mod site;
mod tables;
mod trace;
