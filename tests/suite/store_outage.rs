//! Outages of the object API while tickets are posted.

use std::collections::BTreeSet;
use std::time::Duration;

use briarload::{CallOutcome, RoundRobinUrls, TicketPlan, TicketReport, run_tickets};
use briarrail_standin::{OutageKind, SiteSettings};

use crate::support::{TestHarness, outcome_violations, wait_for, with_timeout};

/// Longer than `claims.store_timeout_ms` in the settings of the routers.
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

/// Guards against duplicate runs and rejected retries caused by a store outage.
///
/// The object API fails in each way of [`OutageKind`] during a burst of tickets, and replies to
/// writes are lost as well. Afterwards, a retry of every ticket reported as not run must succeed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outages_cause_no_duplicate_runs_and_no_lost_tickets() {
    let settings = SiteSettings {
        engines: 1,
        ..SiteSettings::default()
    };
    let harness = TestHarness::start(settings, 3).await;
    let mut reports = Vec::new();
    for outage in [OutageKind::Refuse, OutageKind::Close, OutageKind::Hang] {
        let plan = TicketPlan {
            urls: RoundRobinUrls::new(harness.router_urls()),
            keys: TicketPlan::generate_keys(300),
            calls: 24,
            attempts: 2,
            ..TicketPlan::default()
        };
        let keys_before = harness.standins.ledger().len();
        let client = harness.client.clone();
        let burst = tokio::spawn(async move { run_tickets(&client, &plan).await });
        let some_ran =
            || async { (harness.standins.ledger().len() >= keys_before + 40).then_some(()) };
        wait_for("some tickets have run", some_ran).await;
        let faults = harness.standins.objects.faults();
        faults.update(|faults| {
            faults.lose_replies_next = 5;
            faults.outage = Some(outage);
        });
        let refused_before = harness.standins.objects.counts().refused;
        let some_refused = || async {
            (harness.standins.objects.counts().refused >= refused_before + 5).then_some(())
        };
        wait_for(
            "the outage has affected calls to the object API",
            some_refused,
        )
        .await;
        tokio::time::sleep(OUTAGE_DURATION).await;
        faults.update(|faults| faults.outage = None);
        let report = with_timeout("a burst of tickets", burst).await;
        reports.push(report.expect("load task panicked"));
    }
    let totals: Vec<_> = reports.iter().map(TicketReport::totals).collect();
    eprintln!("outcomes of each burst: {totals:?}");
    let ledger = harness.standins.ledger();
    assert_eq!(outcome_violations(&reports, &ledger), Vec::<String>::new());

    let outcomes = reports.iter().flat_map(|report| &report.outcomes);
    let unknown = outcomes.filter(|(_, outcomes)| outcomes.contains(&CallOutcome::Unknown));
    let unknown_not_run = unknown.filter(|(key, _)| !ledger.contains_key(*key));
    eprintln!(
        "keys with an unknown outcome that never ran: {}",
        unknown_not_run.count()
    );
    let has_rejections = totals
        .iter()
        .any(|totals| totals.contains_key(&CallOutcome::NotRun));
    assert!(has_rejections, "outages rejected no ticket: {totals:?}");

    let outcomes = reports.iter().flat_map(|report| &report.outcomes);
    let not_run = outcomes.filter(|(_, outcomes)| {
        outcomes
            .iter()
            .all(|&outcome| outcome == CallOutcome::NotRun)
    });
    let mut pending: BTreeSet<String> = not_run.map(|(key, _)| key.clone()).collect();
    let mut retry_count = 0;
    while !pending.is_empty() {
        let plan = TicketPlan {
            urls: RoundRobinUrls::new(harness.router_urls()),
            keys: pending.iter().cloned().collect(),
            ..TicketPlan::default()
        };
        let report = with_timeout(
            "retries after the outages",
            run_tickets(&harness.client, &plan),
        )
        .await;
        let completed = report
            .outcomes
            .iter()
            .filter(|(_, outcomes)| outcomes[0] != CallOutcome::NotRun);
        for (key, outcomes) in completed {
            assert_eq!(
                outcomes[0],
                CallOutcome::Answered,
                "retry of {key}, which was reported as not run"
            );
            pending.remove(key);
        }
        reports.push(report);
        retry_count += 1;
        assert!(
            retry_count < 200,
            "{} tickets are still not run after {retry_count} retries",
            pending.len()
        );
    }
    assert_eq!(
        outcome_violations(&reports, &harness.standins.ledger()),
        Vec::<String>::new()
    );
}
