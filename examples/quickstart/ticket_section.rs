//! Ticket posts, and the three outcomes.

use std::time::Duration;

use briarload::{RoundRobinUrls, TicketPlan, run_tickets};
use briarrail_standin::ServiceFaults;
use reqwest::Response;

use crate::demo_site::DemoSite;

const TICKETS: u64 = 40;

/// Posts tickets twice each, and then makes each outcome happen.
pub(crate) async fn run(site: &DemoSite) {
    let plan = TicketPlan {
        urls: RoundRobinUrls::new(site.urls()),
        keys: TicketPlan::generate_keys(TICKETS),
        attempts: 2,
        ..TicketPlan::default()
    };
    println!("\nTickets: {TICKETS} posts, each sent twice with its key, through two routers");
    let report = run_tickets(&site.client, &plan).await;
    println!("  outcomes: {:?}", report.totals());
    let ledger = site.standins.ledger();
    let runs: u32 = ledger.values().map(|entry| entry.runs).sum();
    println!("  runs in the ledgers: {runs} of {} keys", ledger.len());

    println!("\nThe three outcomes, each of one key that is sent and then repeated");
    let refuse = |faults: &mut ServiceFaults| faults.refuse_next = 1;
    let lose = |faults: &mut ServiceFaults| faults.drop_after_run_next = 1;
    show(site, "no fault", |_| {}).await;
    show(site, "the target refuses before running", refuse).await;
    show(site, "the target runs it and the answer is lost", lose).await;
}

/// Switches a fault on at all services, posts one ticket, switches it off and repeats the post once
/// the first reply says so.
async fn show<F>(site: &DemoSite, title: &str, fault: F)
where
    F: Fn(&mut ServiceFaults),
{
    println!("  {title}:");
    let key = TicketPlan::generate_keys(1).remove(0);
    for service in &site.standins.services {
        service.faults().update(&fault);
    }
    let wait = post(site, 0, &key).await;
    for service in &site.standins.services {
        service.faults().set(ServiceFaults::default());
    }
    tokio::time::sleep(wait).await;
    post(site, 1, &key).await;
    let ledger = site.standins.ledger();
    let runs = ledger.get(&key).map_or(0, |entry| entry.runs);
    println!("    runs in the ledgers: {runs}");
}

/// Posts a ticket through a router, prints what the caller sees, and returns its `Retry-After`.
async fn post(site: &DemoSite, router: usize, key: &str) -> Duration {
    let url = format!("{}/tickets", site.urls()[router]);
    let request = site.client.post(url).header("idempotency-key", key);
    let request = request.header("x-customer", "customer-0").body("12.5 t");
    match request.send().await {
        Ok(response) => {
            let wait = retry_after(&response);
            println!("    {}", describe(response).await);
            wait
        }
        Err(error) => {
            println!("    no answer: {error}");
            Duration::ZERO
        }
    }
}

fn retry_after(response: &Response) -> Duration {
    let value = response.headers().get("retry-after");
    let seconds = value.and_then(|value| value.to_str().ok()?.parse().ok());
    Duration::from_secs(seconds.unwrap_or(0))
}

async fn describe(response: Response) -> String {
    let status = response.status();
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let outcome = header("x-briarrail-outcome").unwrap_or("-").to_owned();
    let body = response.text().await.unwrap_or_default();
    format!("{status}, outcome {outcome}: {body}")
}
