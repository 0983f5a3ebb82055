//! Summary of a latency distribution.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Quantiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of observations.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl LatencySummary {
    /// Summarises a histogram of latencies in microseconds.
    #[must_use]
    pub fn from_micros(histogram: &Histogram<u64>) -> Self {
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50_ms: millis(0.5),
            p95_ms: millis(0.95),
            p99_ms: millis(0.99),
        }
    }
}
