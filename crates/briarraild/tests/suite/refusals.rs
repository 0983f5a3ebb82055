//! Requests that are refused before anything is sent.

use reqwest::Response;

use super::site::{TestSite, chat_body, new_key};

async fn describe(response: Response) -> String {
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
async fn refusals_say_what_was_wrong_and_that_nothing_was_run() {
    let site = TestSite::start(1, 1, 1).await;
    let unrouted = site
        .client
        .get(site.url(0, "/unknown"))
        .header("x-customer", "magadi");
    let malformed = site.chat(0, "chat-1", r#"{"model": "pan", "messages": ["#);
    let large = site.post_ticket(0, "key", &"x".repeat(3 << 20));
    let keyless = site.client.post(site.url(0, "/tickets")).body("net 18.2 t");
    let mut replies = Vec::new();
    for request in [unrouted, malformed, large, keyless] {
        replies.push(describe(request.send().await.expect("response")).await);
    }
    insta::assert_snapshot!(replies.join("\n\n"));
    assert!(site.services[0].ledger().is_empty());
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_cannot_be_reached_means_not_run() {
    let site = TestSite::start(1, 1, 1).await;
    site.services[0].stop();
    let post = site.post_ticket(0, &new_key(), "net 18.2 t");
    let reply = describe(post.send().await.expect("response")).await;
    assert!(reply.starts_with("503 outcome=not_run"), "{reply}");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reply_lost_after_the_run_means_unknown() {
    let site = TestSite::start(1, 1, 1).await;
    site.services[0]
        .faults()
        .update(|faults| faults.drop_after_run_next = 1);
    let post = site.post_ticket(0, &new_key(), "net 18.2 t");
    let reply = describe(post.send().await.expect("response")).await;
    assert!(reply.starts_with("502 outcome=unknown"), "{reply}");
    let ledger = site.services[0].ledger();
    assert_eq!(ledger.iter().map(|entry| entry.runs).sum::<u32>(), 1);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_with_proof_moves_a_chat_to_another_target() {
    let site = TestSite::start(2, 1, 1).await;
    for engine in &site.engines {
        engine.faults().update(|faults| faults.refuse_next = 1);
    }
    let response = site
        .chat(0, "chat-1", &chat_body("again", 5))
        .send()
        .await
        .expect("response");
    assert_eq!(response.status(), 200);
    site.stop().await;
}
