//! Logs and metrics.

mod gateway_metrics;
mod line_queue;

pub use gateway_metrics::GatewayMetrics;
pub use line_queue::init_json_logs;
