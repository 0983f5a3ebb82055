//! Logs and metrics.

mod gateway_metrics;
mod line_queue;

pub use gateway_metrics::GatewayMetrics;
pub(crate) use line_queue::flush_logs;
pub use line_queue::init_json_logs;
