//! The same load on an engine directly and through a router.

use reqwest::Client;
use serde::{Deserialize, Serialize};

use crate::{ChatPlan, LoadReport, ProcessCpuTime, RoundRobinUrls, run_chats};

/// What to compare.
#[derive(Debug, Clone)]
pub struct ComparisonPlan {
    /// Base URL of the engine.
    pub direct_url: String,
    /// Base URL of the router before it.
    pub routed_url: String,
    /// Process of the router, whose processor time is read.
    pub router_process: Option<u32>,
    /// Numbers of streams, one row each.
    pub streams: Vec<usize>,
    /// Load of each run; its URLs and its number of streams are replaced.
    pub load: ChatPlan,
}

/// One row of a comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ComparisonRow {
    /// Streams open at once.
    pub streams: usize,
    /// The load on the engine itself.
    pub direct: LoadReport,
    /// The load through the router.
    pub routed: LoadReport,
    /// What the router adds to the median time to the first event, in milliseconds.
    pub added_p50_ms: f64,
    /// What the router adds to the 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
    /// Part of a core that the router used, if its process is known.
    pub router_cores: Option<f64>,
    /// Events that the router relays for each second of processor time.
    pub events_per_core_s: Option<f64>,
}

/// Runs the comparison, direct and routed in turn for each number of streams.
pub async fn run_comparison(client: &Client, plan: &ComparisonPlan) -> Vec<ComparisonRow> {
    let mut rows = Vec::new();
    for &streams in &plan.streams {
        let load = |url: &str| ChatPlan {
            urls: RoundRobinUrls::new([url]),
            streams,
            ..plan.load.clone()
        };
        let direct = run_chats(client, &load(&plan.direct_url)).await;
        let before = plan.router_process.and_then(ProcessCpuTime::read);
        let routed = run_chats(client, &load(&plan.routed_url)).await;
        let after = plan.router_process.and_then(ProcessCpuTime::read);
        let used = after.zip(before).map(|(after, before)| after.since(before));
        rows.push(compare(
            streams,
            direct,
            routed,
            used.map(|used| used.as_secs_f64()),
        ));
    }
    rows
}

fn compare(
    streams: usize,
    direct: LoadReport,
    routed: LoadReport,
    used_s: Option<f64>,
) -> ComparisonRow {
    let events = routed.events_per_s * routed.elapsed_s;
    ComparisonRow {
        streams,
        added_p50_ms: routed.first_event.p50_ms - direct.first_event.p50_ms,
        added_p99_ms: routed.first_event.p99_ms - direct.first_event.p99_ms,
        router_cores: used_s.map(|used| used / routed.elapsed_s),
        events_per_core_s: used_s.filter(|&used| used > 0.0).map(|used| events / used),
        direct,
        routed,
    }
}
