//! All routers of a site are stopped and replaced under load.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use briarload::{
    CallOutcome, ChatPlan, RoundRobinUrls, TicketPlan, TicketReport, run_chats, run_tickets,
};
use briarrail_standin::{EngineSettings, SiteSettings};
use rustix::process::Signal;

use crate::support::{SiteBalancer, TestSite, audit_tickets, eventually, within_limit};

const STREAMS: usize = 200;

/// Replaces three routers one by one under 200 streams and ticket posts. A balancer takes a router
/// out some time after it has stopped being ready. Nothing may be cut or refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_stop_cuts_nothing() {
    let settings = SiteSettings {
        engine: EngineSettings {
            token_interval: Duration::from_millis(20),
            ..EngineSettings::default()
        },
        ..SiteSettings::default()
    };
    let mut site = TestSite::start(settings, 3).await;
    let balancer = SiteBalancer::start(&site);
    let chats = ChatPlan {
        urls: balancer.ring(),
        streams: STREAMS,
        duration: Duration::from_secs(3_600),
        tokens: 100,
        turn_bytes: 40,
        ..ChatPlan::default()
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let client = site.client.clone();
    let streams = tokio::spawn(async move { run_chats(&client, &chats).await });
    let tickets = tokio::spawn(post_until_told(
        site.client.clone(),
        balancer.ring(),
        is_over.clone(),
    ));
    let all_open = || async {
        let engines = site.standins.engines.iter();
        let runs: u64 = engines.map(|engine| engine.counts().runs).sum();
        (runs >= STREAMS as u64).then_some(())
    };
    eventually("the streams are open", all_open).await;

    for number in 0..3 {
        site.routers[number].signal(Signal::TERM);
        let status = site.routers[number].wait_exit().await;
        assert!(
            status.success(),
            "{} ended with {status}",
            site.routers[number].name()
        );
        site.standins.hosts.remove(site.routers[number].name());
        site.routers[number] = site.start_router(number);
        site.routers[number].wait_ready(&site.client).await;
        balancer.follow(&site);
        let url = site.routers[number].url();
        let is_taken_in = || async { balancer.lists(&url).then_some(()) };
        eventually("the balancer has taken the new router in", is_taken_in).await;
    }
    is_over.store(true, Ordering::Relaxed);
    let tickets = within_limit("the tickets", tickets).await;
    let tickets = tickets.expect("the load has not panicked");
    balancer.empty();
    let report = within_limit("the streams", streams).await;
    let report = report.expect("the load has not panicked");
    eprintln!("streams: {:?}, tickets: {}", report.outcomes, tickets.len(),);
    let outcomes: Vec<_> = report.outcomes.keys().copied().collect();
    assert_eq!(
        outcomes,
        [CallOutcome::Answered],
        "{:?} {:?}",
        report.outcomes,
        report.defects
    );
    assert!(report.requests > STREAMS as u64 * 3, "{report:?}");
    let told = tickets
        .iter()
        .flat_map(|report| report.totals().into_keys());
    let told: BTreeSet<_> = told.collect();
    assert_eq!(told, [CallOutcome::Answered].into());
    assert_eq!(
        audit_tickets(&tickets, &site.standins.ledger()),
        Vec::<String>::new()
    );
}

/// Posts tickets, a few at once, until it is over.
async fn post_until_told(
    client: reqwest::Client,
    ring: RoundRobinUrls,
    is_over: Arc<AtomicBool>,
) -> Vec<TicketReport> {
    let mut reports = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let plan = TicketPlan {
            urls: ring.clone(),
            keys: TicketPlan::generate_keys(4),
            calls: 4,
            ..TicketPlan::default()
        };
        reports.push(run_tickets(&client, &plan).await);
    }
    reports
}
