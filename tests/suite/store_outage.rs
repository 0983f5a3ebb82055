//! The object API is away while tickets are posted.

use std::collections::BTreeSet;
use std::time::Duration;

use briarload::{CallOutcome, RoundRobinUrls, TicketPlan, TicketReport, run_tickets};
use briarrail_standin::{OutageKind, SiteSettings};

use crate::support::{TestSite, audit_tickets, eventually, within_limit};

/// Time that each outage lasts, longer than a claim may wait for the store.
const OUTAGE_SPAN: Duration = Duration::from_secs(3);

/// Takes the object API away in each of its ways during a burst, and loses replies besides. Then
/// every ticket that was told not to be run has to go through.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_through_an_outage_runs_nothing_twice_and_loses_nothing() {
    let settings = SiteSettings {
        engines: 1,
        ..SiteSettings::default()
    };
    let site = TestSite::start(settings, 3).await;
    let mut reports = Vec::new();
    for outage in [OutageKind::Refuse, OutageKind::Close, OutageKind::Hang] {
        let plan = TicketPlan {
            urls: RoundRobinUrls::new(site.urls()),
            keys: TicketPlan::generate_keys(300),
            calls: 24,
            attempts: 2,
            ..TicketPlan::default()
        };
        let before = site.standins.ledger().len();
        let client = site.client.clone();
        let burst = tokio::spawn(async move { run_tickets(&client, &plan).await });
        let some_ran = || async { (site.standins.ledger().len() >= before + 40).then_some(()) };
        eventually("some tickets ran", some_ran).await;
        let faults = site.standins.objects.faults();
        faults.update(|faults| {
            faults.lose_replies_next = 5;
            faults.outage = Some(outage);
        });
        let refused = site.standins.objects.counts().refused;
        let some_refused =
            || async { (site.standins.objects.counts().refused >= refused + 5).then_some(()) };
        eventually("the outage was met", some_refused).await;
        tokio::time::sleep(OUTAGE_SPAN).await;
        faults.update(|faults| faults.outage = None);
        let report = within_limit("the burst", burst).await;
        reports.push(report.expect("the load has not panicked"));
    }
    let totals: Vec<_> = reports.iter().map(TicketReport::totals).collect();
    eprintln!("told in the bursts: {totals:?}");
    let ledger = site.standins.ledger();
    assert_eq!(audit_tickets(&reports, &ledger), Vec::<String>::new());

    let outcomes = reports.iter().flat_map(|report| &report.outcomes);
    let in_doubt = outcomes.filter(|(_, told)| told.contains(&CallOutcome::Unknown));
    let needless = in_doubt.filter(|(key, _)| !ledger.contains_key(*key));
    eprintln!("keys in doubt that never ran: {}", needless.count());
    let was_felt = totals
        .iter()
        .any(|told| told.contains_key(&CallOutcome::NotRun));
    assert!(was_felt, "no call met an outage: {totals:?}");

    let told = reports.iter().flat_map(|report| &report.outcomes);
    let not_run = told.filter(|(_, told)| told.iter().all(|&told| told == CallOutcome::NotRun));
    let mut left: BTreeSet<String> = not_run.map(|(key, _)| key.clone()).collect();
    let mut rounds = 0;
    while !left.is_empty() {
        let plan = TicketPlan {
            urls: RoundRobinUrls::new(site.urls()),
            keys: left.iter().cloned().collect(),
            ..TicketPlan::default()
        };
        let report = within_limit("the retries", run_tickets(&site.client, &plan)).await;
        let answered = report
            .outcomes
            .iter()
            .filter(|(_, told)| told[0] != CallOutcome::NotRun);
        for (key, told) in answered {
            assert_eq!(told[0], CallOutcome::Answered, "{key} was never run before");
            left.remove(key);
        }
        reports.push(report);
        rounds += 1;
        assert!(rounds < 200, "{} tickets never go through", left.len());
    }
    assert_eq!(
        audit_tickets(&reports, &site.standins.ledger()),
        Vec::<String>::new()
    );
}
