//! Rolling restart of all routers under load.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use briarload::{
    CallOutcome, ChatPlan, RoundRobinUrls, TicketPlan, TicketReport, run_chats, run_tickets,
};
use briarrail_standin::{EngineSettings, SiteSettings};
use rustix::process::Signal;

use crate::support::{LoadBalancer, TestHarness, outcome_violations, wait_for, with_timeout};

const STREAM_COUNT: usize = 200;

/// Guards against interrupted streams and rejected requests during a rolling restart.
///
/// Three routers are replaced one by one under 200 streams and ticket posts. The load balancer
/// still sends requests to a stopping router until its next readiness check.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_interrupts_no_requests() {
    let settings = SiteSettings {
        engine: EngineSettings {
            token_interval: Duration::from_millis(20),
            ..EngineSettings::default()
        },
        ..SiteSettings::default()
    };
    let mut harness = TestHarness::start(settings, 3).await;
    let load_balancer = LoadBalancer::start(&harness);
    let chats = ChatPlan {
        urls: load_balancer.urls(),
        streams: STREAM_COUNT,
        duration: Duration::from_secs(3_600),
        tokens: 100,
        turn_bytes: 40,
        ..ChatPlan::default()
    };
    let is_restart_done = Arc::new(AtomicBool::new(false));
    let client = harness.client.clone();
    let stream_load = tokio::spawn(async move { run_chats(&client, &chats).await });
    let ticket_load = tokio::spawn(post_tickets_until(
        harness.client.clone(),
        load_balancer.urls(),
        is_restart_done.clone(),
    ));
    let are_streams_open = || async {
        let engines = harness.standins.engines.iter();
        let runs: u64 = engines.map(|engine| engine.counts().runs).sum();
        (runs >= STREAM_COUNT as u64).then_some(())
    };
    wait_for("all streams are open", are_streams_open).await;

    for index in 0..3 {
        harness.routers[index].send_signal(Signal::TERM);
        let status = harness.routers[index].wait_for_exit().await;
        assert!(
            status.success(),
            "{} exited with {status}",
            harness.routers[index].name()
        );
        harness.standins.hosts.remove(harness.routers[index].name());
        harness.routers[index] = harness.start_router(index);
        harness.routers[index]
            .wait_until_ready(&harness.client)
            .await;
        load_balancer.update_routers(&harness);
        let url = harness.routers[index].url();
        let is_in_rotation = || async { load_balancer.contains(&url).then_some(()) };
        wait_for("the load balancer has added the new router", is_in_rotation).await;
    }
    is_restart_done.store(true, Ordering::Relaxed);
    let ticket_reports = with_timeout("tickets", ticket_load).await;
    let ticket_reports = ticket_reports.expect("load task panicked");
    load_balancer.close();
    let report = with_timeout("streams", stream_load).await;
    let report = report.expect("load task panicked");
    eprintln!(
        "stream outcomes: {:?}, ticket reports: {}",
        report.outcomes,
        ticket_reports.len(),
    );
    let outcomes: Vec<_> = report.outcomes.keys().copied().collect();
    assert_eq!(
        outcomes,
        [CallOutcome::Answered],
        "{:?} {:?}",
        report.outcomes,
        report.defects
    );
    assert!(report.requests > STREAM_COUNT as u64 * 3, "{report:?}");
    let ticket_outcomes = ticket_reports
        .iter()
        .flat_map(|report| report.totals().into_keys());
    let ticket_outcomes: BTreeSet<_> = ticket_outcomes.collect();
    assert_eq!(ticket_outcomes, [CallOutcome::Answered].into());
    assert_eq!(
        outcome_violations(&ticket_reports, &harness.standins.ledger()),
        Vec::<String>::new()
    );
}

/// Posts batches of tickets until a flag is set, and returns their reports.
async fn post_tickets_until(
    client: reqwest::Client,
    urls: RoundRobinUrls,
    is_restart_done: Arc<AtomicBool>,
) -> Vec<TicketReport> {
    let mut reports = Vec::new();
    while !is_restart_done.load(Ordering::Relaxed) {
        let plan = TicketPlan {
            urls: urls.clone(),
            keys: TicketPlan::generate_keys(4),
            calls: 4,
            ..TicketPlan::default()
        };
        reports.push(run_tickets(&client, &plan).await);
    }
    reports
}
