//! Replies to requests that were refused or failed.

use reqwest::Response;

use super::test_harness::{TestHarness, chat_body, new_key};

async fn format_reply(response: Response) -> String {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("-").to_owned()
    };
    let outcome = header("x-briarrail-outcome");
    let retry_after = header("retry-after");
    let body = response.text().await.expect("body");
    format!("{status} outcome={outcome} retry-after={retry_after}\n{body}")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_state_the_error_and_run_nothing() {
    let harness = TestHarness::start(1, 1, 1).await;
    let unrouted = harness
        .client
        .get(harness.url(0, "/unknown"))
        .header("x-customer", "magadi");
    let malformed = harness.chat_request(0, "chat-1", r#"{"model": "pan", "messages": ["#);
    let large = harness.ticket_request(0, "key", &"x".repeat(3 << 20));
    let keyless = harness
        .client
        .post(harness.url(0, "/tickets"))
        .body("net 18.2 t");
    let mut replies = Vec::new();
    for request in [unrouted, malformed, large, keyless] {
        replies.push(format_reply(request.send().await.expect("response")).await);
    }
    insta::assert_snapshot!(replies.join("\n\n"));
    assert!(harness.services[0].ledger().is_empty());
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_target_means_not_run() {
    let harness = TestHarness::start(1, 1, 1).await;
    harness.services[0].stop();
    let post = harness.ticket_request(0, &new_key(), "net 18.2 t");
    let reply = format_reply(post.send().await.expect("response")).await;
    assert!(reply.starts_with("503 outcome=not_run"), "{reply}");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_lost_after_the_run_means_unknown() {
    let harness = TestHarness::start(1, 1, 1).await;
    harness.services[0]
        .faults()
        .update(|faults| faults.drop_after_run_next = 1);
    let post = harness.ticket_request(0, &new_key(), "net 18.2 t");
    let reply = format_reply(post.send().await.expect("response")).await;
    assert!(reply.starts_with("502 outcome=unknown"), "{reply}");
    let ledger = harness.services[0].ledger();
    assert_eq!(ledger.iter().map(|entry| entry.runs).sum::<u32>(), 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_refused_before_the_run_is_retried() {
    let harness = TestHarness::start(2, 1, 1).await;
    for engine in &harness.engines {
        engine.faults().update(|faults| faults.refuse_next = 1);
    }
    let response = harness
        .chat_request(0, "chat-1", &chat_body("again", 5))
        .send()
        .await
        .expect("response");
    assert_eq!(response.status(), 200);
    harness.stop().await;
}
