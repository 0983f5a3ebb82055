//! Multi-turn chats through all routers.

use std::collections::BTreeMap;
use std::time::Duration;

use briarload::{ChatPlan, RoundRobinUrls, run_chats};

use crate::demo_site::DemoSite;

const CHATS: usize = 300;
const TURNS: u64 = 3_000;
const STREAMS: usize = 120;
/// Number of chats whose targets are printed.
const LISTED_CHATS: usize = 12;

/// Sends multi-turn chats through all routers, and prints the engines that answered them.
pub(crate) async fn run(site: &DemoSite) {
    let plan = ChatPlan {
        urls: RoundRobinUrls::new(site.urls()),
        streams: STREAMS,
        limit: Some(TURNS),
        duration: Duration::from_secs(600),
        chats: CHATS,
        ..ChatPlan::default()
    };
    println!("\nChats: {TURNS} turns of {CHATS} chats, with the routers in round-robin order");
    let report = run_chats(&site.client, &plan).await;
    println!("  outcomes: {:?}", report.outcomes);
    for defect in &report.defects {
        println!("  defect: {defect}");
    }
    println!("  answers by engine: {}", format_counts(&report.targets));
    println!("  engines of the first {LISTED_CHATS} chats, with the number of turns on each:");
    for (chat, targets) in report.placements.iter().take(LISTED_CHATS) {
        println!("    {chat:<9} {}", format_counts(targets));
    }
    let single_engine_chats = report
        .placements
        .values()
        .filter(|targets| targets.len() == 1)
        .count();
    println!(
        "  {single_engine_chats} of {} chats were answered by a single engine",
        report.placements.len()
    );
    println!(
        "  cache reuse {:.1} % of prompt tokens, skew {:.2} (busiest engine relative to the mean)",
        report.cache_reuse * 100.0,
        report.skew,
    );
    println!(
        "  first event p50 {:.1} ms, p99 {:.1} ms; {:.0} events per second",
        report.first_event.p50_ms, report.first_event.p99_ms, report.events_per_s,
    );
}

fn format_counts(targets: &BTreeMap<String, u64>) -> String {
    let formatted = targets
        .iter()
        .map(|(target, count)| format!("{target} ({count})"));
    formatted.collect::<Vec<_>>().join(", ")
}
