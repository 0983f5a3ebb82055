//! Logs and metrics.

mod gateway_metrics;
mod held_gauges;
mod queue_writer;

pub use gateway_metrics::GatewayMetrics;
pub(crate) use queue_writer::flush_logs;
pub use queue_writer::init_json_logs;
