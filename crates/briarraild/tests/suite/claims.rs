//! Idempotency keys across several routers.

use briarrail_standin::{LedgerEntry, OutageKind};
use reqwest::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::test_harness::{TestHarness, new_key};

const BODY: &str = "net 18.2 t";

fn ledger(harness: &TestHarness) -> Vec<LedgerEntry> {
    harness
        .services
        .iter()
        .flat_map(briarrail_standin::StandinHandle::ledger)
        .collect()
}

fn outcome(response: &Response) -> String {
    let header = response.headers().get("x-briarrail-outcome");
    header
        .and_then(|value| value.to_str().ok())
        .unwrap_or("-")
        .to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_at_any_router_replays_the_recorded_response() {
    let harness = TestHarness::start(1, 2, 3).await;
    let key = new_key();
    let mut bodies = Vec::new();
    for router in [0, 1, 2, 0] {
        let response = harness
            .ticket_request(router, &key, BODY)
            .send()
            .await
            .expect("response");
        assert_eq!(
            (response.status().as_u16(), outcome(&response).as_str()),
            (201, "answered")
        );
        bodies.push(response.bytes().await.expect("body"));
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    assert_eq!(
        ledger(&harness).iter().map(|entry| entry.runs).sum::<u32>(),
        1
    );
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_calls_with_one_key_run_once() {
    let harness = TestHarness::start(1, 2, 3).await;
    let key = new_key();
    let calls = (0..9).map(|index| harness.ticket_request(index % 3, &key, BODY).send());
    let responses = futures_util::future::join_all(calls).await;
    let statuses: Vec<_> = responses
        .into_iter()
        .map(|response| response.expect("response").status())
        .collect();
    assert!(
        statuses.iter().any(|status| status.as_u16() == 201),
        "{statuses:?}"
    );
    assert_eq!(
        ledger(&harness).iter().map(|entry| entry.runs).sum::<u32>(),
        1
    );
    harness.stop().await;
}

/// Responds to one request on a TCP connection with a body of `bytes` bytes.
async fn serve_one_response(listener: TcpListener, bytes: usize) {
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut seen = [0; 4_096];
    let _ = stream.read(&mut seen).await.expect("request");
    let head = format!("HTTP/1.1 201 Created\r\ncontent-length: {bytes}\r\n\r\n");
    let answer = head + &"x".repeat(bytes);
    stream.write_all(answer.as_bytes()).await.expect("answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replay_marks_a_body_that_was_too_large_to_store() {
    let harness = TestHarness::start(1, 0, 2).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    harness.put_live_host(
        "bare",
        "weighbridge",
        listener.local_addr().expect("address"),
    );
    harness.wait_for_live_targets("weighbridge", 1).await;
    let target = tokio::spawn(serve_one_response(listener, 10_000));
    let key = new_key();
    let first = harness
        .ticket_request(0, &key, BODY)
        .send()
        .await
        .expect("response");
    assert_eq!(first.bytes().await.expect("whole body").len(), 10_000);
    target.await.expect("answered");
    let repeat = harness
        .ticket_request(1, &key, BODY)
        .send()
        .await
        .expect("response");
    assert_eq!(
        (repeat.status().as_u16(), outcome(&repeat).as_str()),
        (201, "answered")
    );
    assert_eq!(repeat.headers()["x-briarrail-body"], "not-kept");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_reused_with_another_body_is_refused() {
    let harness = TestHarness::start(1, 1, 2).await;
    let key = new_key();
    harness
        .ticket_request(0, &key, BODY)
        .send()
        .await
        .expect("response");
    let response = harness
        .ticket_request(1, &key, "net 20.0 t")
        .send()
        .await
        .expect("response");
    assert_eq!(
        (response.status().as_u16(), outcome(&response).as_str()),
        (422, "not_run")
    );
    assert_eq!(ledger(&harness).len(), 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_response_is_unknown_also_to_a_retry_and_runs_once() {
    let harness = TestHarness::start(1, 1, 2).await;
    harness.services[0]
        .faults()
        .update(|faults| faults.drop_after_run_next = 1);
    let key = new_key();
    for router in [0, 1] {
        let response = harness
            .ticket_request(router, &key, BODY)
            .send()
            .await
            .expect("response");
        assert_eq!(outcome(&response), "unknown");
    }
    assert_eq!(
        ledger(&harness).iter().map(|entry| entry.runs).sum::<u32>(),
        1
    );
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_outage_prevents_the_run_and_the_key_runs_afterwards() {
    let harness = TestHarness::start(1, 1, 2).await;
    harness
        .objects
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Refuse));
    let key = new_key();
    let response = harness
        .ticket_request(0, &key, BODY)
        .send()
        .await
        .expect("response");
    assert_eq!(
        (response.status().as_u16(), outcome(&response).as_str()),
        (503, "not_run")
    );
    assert!(response.headers().contains_key("retry-after"));
    assert!(ledger(&harness).is_empty());
    harness
        .objects
        .faults()
        .update(|faults| faults.outage = None);
    let mut status = 0;
    for _ in 0..100 {
        let response = harness
            .ticket_request(1, &key, BODY)
            .send()
            .await
            .expect("response");
        status = response.status().as_u16();
        if status == 201 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(status, 201);
    assert_eq!(
        ledger(&harness).iter().map(|entry| entry.runs).sum::<u32>(),
        1
    );
    harness.stop().await;
}
