//! Chats that return.

use std::collections::BTreeMap;
use std::time::Duration;

use briarload::{ChatPlan, RoundRobinUrls, run_chats};

use crate::demo_site::DemoSite;

const CHATS: usize = 300;
const TURNS: u64 = 3_000;
const STREAMS: usize = 120;
/// Chats whose places are printed.
const SHOWN_CHATS: usize = 12;

/// Sends returning chats through all routers, and prints where each landed.
pub(crate) async fn run(site: &DemoSite) {
    let plan = ChatPlan {
        urls: RoundRobinUrls::new(site.urls()),
        streams: STREAMS,
        limit: Some(TURNS),
        duration: Duration::from_secs(600),
        chats: CHATS,
        ..ChatPlan::default()
    };
    println!("\nChats: {TURNS} turns of {CHATS} chats, each turn through another router");
    let report = run_chats(&site.client, &plan).await;
    println!("  outcomes: {:?}", report.outcomes);
    for defect in &report.defects {
        println!("  defect: {defect}");
    }
    println!("  answers by engine: {}", list(&report.targets));
    println!("  where the first {SHOWN_CHATS} chats landed, with their turns there:");
    for (chat, targets) in report.placements.iter().take(SHOWN_CHATS) {
        println!("    {chat:<9} {}", list(targets));
    }
    let at_home = report
        .placements
        .values()
        .filter(|targets| targets.len() == 1)
        .count();
    println!(
        "  {at_home} of {} chats stayed at one engine",
        report.placements.len()
    );
    println!(
        "  cache reuse {:.1} % of prompt tokens, skew {:.2} (busiest engine over the mean)",
        report.cache_reuse * 100.0,
        report.skew,
    );
    println!(
        "  first event p50 {:.1} ms, p99 {:.1} ms; {:.0} events a second",
        report.first_event.p50_ms, report.first_event.p99_ms, report.events_per_s,
    );
}

fn list(targets: &BTreeMap<String, u64>) -> String {
    let counted = targets
        .iter()
        .map(|(target, count)| format!("{target} ({count})"));
    counted.collect::<Vec<_>>().join(", ")
}
