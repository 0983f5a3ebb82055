//! Tests of the recorder and of the burn rate report.

mod recorder;
mod report;
mod traffic;
