//! Ticket load: calls with idempotency keys, which must run at most once.

use briarrail_standin::{IDEMPOTENCY_KEY_HEADER, ServiceResponse, body_digest};
use futures_util::stream::{self, StreamExt};
use reqwest::Client;

use crate::{CallOutcome, TicketPlan, TicketReport};

/// Posts tickets according to the plan; each attempt with a key is sent to the next URL.
pub async fn run_tickets(client: &Client, plan: &TicketPlan) -> TicketReport {
    let keys = plan.keys.clone().into_iter();
    let posts = keys.map(|key| post_with_attempts(client, plan, key));
    let outcomes = stream::iter(posts).buffer_unordered(plan.calls.max(1));
    TicketReport {
        outcomes: outcomes.collect().await,
    }
}

async fn post_with_attempts(
    client: &Client,
    plan: &TicketPlan,
    key: String,
) -> (String, Vec<CallOutcome>) {
    let mut outcomes = Vec::new();
    for _ in 0..plan.attempts {
        let outcome = match plan.urls.next_url() {
            Some(url) => post_once(client, plan, &url, &key).await,
            None => CallOutcome::Unreachable,
        };
        outcomes.push(outcome);
    }
    (key, outcomes)
}

async fn post_once(client: &Client, plan: &TicketPlan, url: &str, key: &str) -> CallOutcome {
    let body = format!("{{\"ticket\":\"{key}\",\"tonnes\":12.5}}");
    let request = client.post(format!("{url}{}", plan.path));
    let request = request
        .header("content-type", "application/json")
        .header(IDEMPOTENCY_KEY_HEADER, key)
        .header(&plan.headers.customer, &plan.customer);
    let response = match request.body(body.clone()).send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return CallOutcome::Unreachable,
        Err(_) => return CallOutcome::Cut,
    };
    if !response.status().is_success() {
        return CallOutcome::from_error_response(response.headers());
    }
    match response.json::<ServiceResponse>().await {
        Ok(answer) if answer.body_digest == body_digest(body.as_bytes()) => CallOutcome::Answered,
        Ok(_) => CallOutcome::Wrong,
        Err(_) => CallOutcome::Cut,
    }
}
