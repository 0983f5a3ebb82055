//! HTTP endpoints for operators.

use briarrail_burn::BurnSnapshot;
use briarrail_status::{RouterPhase, RouterStatus};

use super::test_harness::{TestHarness, chat_body, new_key};

async fn fetch_page(harness: &TestHarness, path: &str) -> String {
    let url = format!("http://{}{path}", harness.routers[0].operators_address());
    let response = harness.client.get(url).send().await.expect("response");
    response.text().await.expect("body")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pages_show_state_outcomes_and_objectives() {
    let harness = TestHarness::start(2, 1, 1).await;
    let answer = harness
        .chat_request(0, "chat-1", &chat_body("hello", 5))
        .send()
        .await
        .expect("response");
    answer.text().await.expect("whole body");
    harness
        .ticket_request(0, &new_key(), "net 18.2 t")
        .send()
        .await
        .expect("response");
    let unrouted = harness
        .client
        .get(harness.url(0, "/unknown"))
        .send()
        .await
        .expect("response");
    assert_eq!(unrouted.status(), 404);

    let status: RouterStatus =
        serde_json::from_str(&fetch_page(&harness, "/status").await).expect("status");
    assert_eq!(
        (status.phase, status.config_sequence),
        (RouterPhase::Ready, 1)
    );
    assert_eq!((status.outcomes.answered, status.outcomes.not_run), (2, 1));
    let targets: Vec<_> = status.pools.iter().map(|pool| pool.targets.len()).collect();
    assert_eq!(targets, [2, 1]);

    let burn: BurnSnapshot =
        serde_json::from_str(&fetch_page(&harness, "/burn").await).expect("burn");
    let known = burn
        .pools
        .iter()
        .find(|pool| pool.pool == "weighbridge")
        .expect("pool");
    assert_eq!(known.windows[0].counts.known.total, 1);

    let metrics = fetch_page(&harness, "/metrics").await;
    assert!(metrics.contains("briarrail_requests_total{"), "{metrics}");
    assert!(metrics.contains("pool=\"pan\""), "{metrics}");
    assert!(
        metrics.contains("briarrail_events_total{otel_scope_name=\"briarraild\"} 6\n"),
        "five tokens and a ticket: {metrics}"
    );
    assert_eq!(fetch_page(&harness, "/ready").await, "ready\n");
    harness.stop().await;
}
