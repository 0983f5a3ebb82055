//! Routers that hold claims and are killed or paused.

use std::collections::BTreeMap;

use briarload::{CallOutcome, RoundRobinUrls, TicketPlan, TicketReport, run_tickets};
use briarrail_standin::SiteSettings;
use rustix::process::Signal;

use crate::support::{TestSite, audit_tickets, eventually, within_limit};

fn small_site() -> SiteSettings {
    SiteSettings {
        engines: 1,
        services: 2,
        ..SiteSettings::default()
    }
}

fn plan(urls: &[String], keys: Vec<String>) -> TicketPlan {
    TicketPlan {
        urls: RoundRobinUrls::new(urls),
        keys,
        calls: 16,
        ..TicketPlan::default()
    }
}

fn all_are(report: &TicketReport, outcome: CallOutcome) -> bool {
    report.totals().into_keys().eq([outcome])
}

/// Kills the router that sent eight tickets and waits for their answers. Each was run, and its
/// claim has no outcome: a retry elsewhere may only be told that it is unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_holder_leaves_its_claims_unknown() {
    let mut site = TestSite::start(small_site(), 3).await;
    for service in &site.standins.services {
        service
            .faults()
            .update(|faults| faults.hang_after_run_next = 8);
    }
    let urls = site.urls();
    let keys = TicketPlan::generate_keys(8);
    let (client, first) = (site.client.clone(), plan(&urls[..1], keys.clone()));
    let posts = tokio::spawn(async move { run_tickets(&client, &first).await });
    let all_ran = || async { (site.standins.ledger().len() == keys.len()).then_some(()) };
    eventually("all tickets ran", all_ran).await;
    site.routers[0].kill();
    let told = within_limit("the callers of the killed router", posts).await;
    let told = told.expect("the load has not panicked");
    assert!(all_are(&told, CallOutcome::Cut), "{:?}", told.totals());
    site.standins.hosts.remove(site.routers[0].name());

    let mut reports = vec![told];
    let retry = plan(&urls[1..], keys.clone());
    loop {
        let report = run_tickets(&site.client, &retry);
        let report = within_limit("a retry", report).await;
        let is_settled = all_are(&report, CallOutcome::Unknown);
        let is_waiting = report.totals().contains_key(&CallOutcome::NotRun);
        reports.push(report);
        assert!(is_settled || is_waiting, "{:?}", reports.last());
        if is_settled {
            break;
        }
        assert!(reports.len() < 500, "the claims are never taken over");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    let runs: BTreeMap<_, _> = site.standins.ledger();
    assert!(runs.values().all(|entry| entry.runs == 1), "{runs:?}");
}

/// Pauses a router in the middle of its calls, lets the others take its buckets over, and lets it
/// go on. What it still believes to own must not run a key a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_owner_that_wakes_runs_nothing_twice() {
    let site = TestSite::start(small_site(), 3).await;
    let urls = site.urls();
    let keys = TicketPlan::generate_keys(400);
    let (client, first) = (site.client.clone(), plan(&urls[2..], keys.clone()));
    let posts = tokio::spawn(async move { run_tickets(&client, &first).await });
    let some_ran = || async { (site.standins.ledger().len() >= 40).then_some(()) };
    eventually("some tickets ran", some_ran).await;
    site.routers[2].signal(Signal::STOP);
    site.standins.hosts.remove(site.routers[2].name());

    let mut reports = Vec::new();
    let mut waves = 0;
    loop {
        let wave = TicketPlan {
            attempts: 2,
            ..plan(&urls[..2], TicketPlan::generate_keys(64))
        };
        let report = run_tickets(&site.client, &wave);
        reports.push(within_limit("a wave", report).await);
        waves += 1;
        if all_are(&reports[waves - 1], CallOutcome::Answered) {
            break;
        }
        assert!(waves < 200, "the buckets are never taken over");
    }
    // The keys of the paused router are tried elsewhere while it sleeps.
    let retry = plan(&urls[..2], keys.clone());
    let retry = run_tickets(&site.client, &retry);
    reports.push(within_limit("the retries", retry).await);
    site.routers[2].signal(Signal::CONT);
    site.standins.hosts.put(site.routers[2].entry().clone());
    let told = within_limit("the callers of the paused router", posts).await;
    reports.push(told.expect("the load has not panicked"));
    let again = TicketPlan {
        attempts: 3,
        ..plan(&urls, keys)
    };
    let again = run_tickets(&site.client, &again);
    reports.push(within_limit("the last retries", again).await);
    assert_eq!(
        audit_tickets(&reports, &site.standins.ledger()),
        Vec::<String>::new()
    );
}
