//! Logs and metrics.

mod log_setup;
mod metric_set;

pub use log_setup::init_logs;
pub(crate) use metric_set::MetricSet;
