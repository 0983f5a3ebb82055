//! Failures of routers that hold claims or own claim buckets.

use std::collections::BTreeMap;

use briarload::{CallOutcome, RoundRobinUrls, TicketPlan, TicketReport, run_tickets};
use briarrail_standin::SiteSettings;
use rustix::process::Signal;

use crate::support::{TestHarness, outcome_violations, wait_for, with_timeout};

fn site_settings() -> SiteSettings {
    SiteSettings {
        engines: 1,
        services: 2,
        ..SiteSettings::default()
    }
}

fn ticket_plan(urls: &[String], keys: Vec<String>) -> TicketPlan {
    TicketPlan {
        urls: RoundRobinUrls::new(urls),
        keys,
        calls: 16,
        ..TicketPlan::default()
    }
}

fn has_only_outcome(report: &TicketReport, outcome: CallOutcome) -> bool {
    report.totals().into_keys().eq([outcome])
}

/// Guards against duplicate runs after a router crash.
///
/// The router is killed after eight tickets have run and before it got their answers, so that
/// their claims have no recorded outcome. Retries through other routers must end as unknown; until
/// the claims are taken over, they may be rejected as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_after_a_router_crash_have_an_unknown_outcome() {
    let mut harness = TestHarness::start(site_settings(), 3).await;
    for service in &harness.standins.services {
        service
            .faults()
            .update(|faults| faults.hang_after_run_next = 8);
    }
    let urls = harness.router_urls();
    let keys = TicketPlan::generate_keys(8);
    let (client, plan) = (
        harness.client.clone(),
        ticket_plan(&urls[..1], keys.clone()),
    );
    let load = tokio::spawn(async move { run_tickets(&client, &plan).await });
    let all_ran = || async { (harness.standins.ledger().len() == keys.len()).then_some(()) };
    wait_for("all tickets have run", all_ran).await;
    harness.routers[0].kill();
    let report = with_timeout("requests to the killed router", load).await;
    let report = report.expect("load task panicked");
    assert!(
        has_only_outcome(&report, CallOutcome::Cut),
        "{:?}",
        report.totals()
    );
    harness.standins.hosts.remove(harness.routers[0].name());

    let mut reports = vec![report];
    let retry = ticket_plan(&urls[1..], keys.clone());
    loop {
        let report = run_tickets(&harness.client, &retry);
        let report = with_timeout("retries", report).await;
        let is_taken_over = has_only_outcome(&report, CallOutcome::Unknown);
        let has_rejections = report.totals().contains_key(&CallOutcome::NotRun);
        reports.push(report);
        assert!(is_taken_over || has_rejections, "{:?}", reports.last());
        if is_taken_over {
            break;
        }
        assert!(reports.len() < 500, "no router takes over the claims");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    let runs: BTreeMap<_, _> = harness.standins.ledger();
    assert!(runs.values().all(|entry| entry.runs == 1), "{runs:?}");
}

/// Guards against duplicate runs by a router that resumes after it has lost its claim buckets.
///
/// The router is stopped with SIGSTOP during its calls and resumed once other routers have taken
/// over its buckets. It may still act as their owner, but must not run a key a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_router_that_lost_its_buckets_runs_no_ticket_twice() {
    let harness = TestHarness::start(site_settings(), 3).await;
    let urls = harness.router_urls();
    let keys = TicketPlan::generate_keys(400);
    let (client, plan) = (
        harness.client.clone(),
        ticket_plan(&urls[2..], keys.clone()),
    );
    let load = tokio::spawn(async move { run_tickets(&client, &plan).await });
    let some_ran = || async { (harness.standins.ledger().len() >= 40).then_some(()) };
    wait_for("some tickets have run", some_ran).await;
    harness.routers[2].send_signal(Signal::STOP);
    harness.standins.hosts.remove(harness.routers[2].name());

    let mut reports = Vec::new();
    let mut batch_count = 0;
    loop {
        let batch = TicketPlan {
            attempts: 2,
            ..ticket_plan(&urls[..2], TicketPlan::generate_keys(64))
        };
        let report = run_tickets(&harness.client, &batch);
        reports.push(with_timeout("a batch of tickets", report).await);
        batch_count += 1;
        if has_only_outcome(&reports[batch_count - 1], CallOutcome::Answered) {
            break;
        }
        assert!(batch_count < 200, "no router takes over the buckets");
    }
    // Retry the keys of the paused router through the other routers.
    let retry = ticket_plan(&urls[..2], keys.clone());
    let retry = run_tickets(&harness.client, &retry);
    reports.push(with_timeout("retries while the router is paused", retry).await);
    harness.routers[2].send_signal(Signal::CONT);
    harness
        .standins
        .hosts
        .put(harness.routers[2].entry().clone());
    let report = with_timeout("requests to the paused router", load).await;
    reports.push(report.expect("load task panicked"));
    let last_retry = TicketPlan {
        attempts: 3,
        ..ticket_plan(&urls, keys)
    };
    let last_retry = run_tickets(&harness.client, &last_retry);
    reports.push(with_timeout("retries after the router has resumed", last_retry).await);
    assert_eq!(
        outcome_violations(&reports, &harness.standins.ledger()),
        Vec::<String>::new()
    );
}
