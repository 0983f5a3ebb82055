//! Tests of the burn report.

mod recorder;
mod report;
mod traffic;
