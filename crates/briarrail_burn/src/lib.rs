//! Service-level objectives, multi-window burn rates and their report.
