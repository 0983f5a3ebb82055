//! Tests of the command-line tool for operators.

mod check;
mod fake_router;
mod help;
mod mutated_tables;
mod outages;
mod routers;
mod tables;
mod test_harness;
mod trace;
