//! Comparison of the same load on an engine directly and through a router.

use reqwest::Client;
use serde::{Deserialize, Serialize};

use crate::{ChatPlan, LoadReport, ProcessCpuTime, RoundRobinUrls, run_chats};

/// Parameters of a comparison.
#[derive(Debug, Clone)]
pub struct ComparisonPlan {
    /// Base URL of the engine.
    pub direct_url: String,
    /// Base URL of the router in front of the engine.
    pub routed_url: String,
    /// Process id of the router, to measure its CPU time.
    pub router_pid: Option<u32>,
    /// Numbers of concurrent streams, one row each.
    pub streams: Vec<usize>,
    /// Load of each run; its URLs and number of streams are overridden.
    pub load: ChatPlan,
}

/// One row of a comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ComparisonRow {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Report of the load on the engine directly.
    pub direct: LoadReport,
    /// Report of the load through the router.
    pub routed: LoadReport,
    /// Increase of the median time to the first event through the router, in milliseconds.
    pub added_p50_ms: f64,
    /// Increase of the 99th percentile of the time to the first event, in milliseconds.
    pub added_p99_ms: f64,
    /// CPU cores that the router used on average, if its process is known.
    pub router_cores: Option<f64>,
    /// Events that the router relayed per second of CPU time.
    pub events_per_core_s: Option<f64>,
}

/// Runs the direct load and then the routed load for each number of streams.
pub async fn run_comparison(client: &Client, plan: &ComparisonPlan) -> Vec<ComparisonRow> {
    let mut rows = Vec::new();
    for &streams in &plan.streams {
        let load = |url: &str| ChatPlan {
            urls: RoundRobinUrls::new([url]),
            streams,
            ..plan.load.clone()
        };
        let direct = run_chats(client, &load(&plan.direct_url)).await;
        let before = plan.router_pid.and_then(ProcessCpuTime::read);
        let routed = run_chats(client, &load(&plan.routed_url)).await;
        let after = plan.router_pid.and_then(ProcessCpuTime::read);
        let cpu_time = after.zip(before).map(|(after, before)| after.since(before));
        rows.push(comparison_row(
            streams,
            direct,
            routed,
            cpu_time.map(|time| time.as_secs_f64()),
        ));
    }
    rows
}

fn comparison_row(
    streams: usize,
    direct: LoadReport,
    routed: LoadReport,
    cpu_seconds: Option<f64>,
) -> ComparisonRow {
    let events = routed.events_per_s * routed.elapsed_s;
    ComparisonRow {
        streams,
        added_p50_ms: routed.first_event.p50_ms - direct.first_event.p50_ms,
        added_p99_ms: routed.first_event.p99_ms - direct.first_event.p99_ms,
        router_cores: cpu_seconds.map(|seconds| seconds / routed.elapsed_s),
        events_per_core_s: cpu_seconds
            .filter(|&seconds| seconds > 0.0)
            .map(|seconds| events / seconds),
        direct,
        routed,
    }
}
