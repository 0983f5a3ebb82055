//! Idempotency keys over several routers.

use briarrail_standin::{LedgerEntry, OutageKind};
use reqwest::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::site::{TestSite, new_key};

const BODY: &str = "net 18.2 t";

fn ledger(site: &TestSite) -> Vec<LedgerEntry> {
    site.services
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
async fn a_retry_on_any_router_gets_the_recorded_answer_and_runs_nothing() {
    let site = TestSite::start(1, 2, 3).await;
    let key = new_key();
    let mut bodies = Vec::new();
    for router in [0, 1, 2, 0] {
        let response = site
            .post_ticket(router, &key, BODY)
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
    assert_eq!(ledger(&site).iter().map(|entry| entry.runs).sum::<u32>(), 1);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_calls_with_one_key_run_once() {
    let site = TestSite::start(1, 2, 3).await;
    let key = new_key();
    let calls = (0..9).map(|index| site.post_ticket(index % 3, &key, BODY).send());
    let responses = futures_util::future::join_all(calls).await;
    let statuses: Vec<_> = responses
        .into_iter()
        .map(|response| response.expect("response").status())
        .collect();
    assert!(
        statuses.iter().any(|status| status.as_u16() == 201),
        "{statuses:?}"
    );
    assert_eq!(ledger(&site).iter().map(|entry| entry.runs).sum::<u32>(), 1);
    site.stop().await;
}

/// Answers one request on a bare connection with a body of some size.
async fn answer_once(listener: TcpListener, bytes: usize) {
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut seen = [0; 4_096];
    let _ = stream.read(&mut seen).await.expect("request");
    let head = format!("HTTP/1.1 201 Created\r\ncontent-length: {bytes}\r\n\r\n");
    let answer = head + &"x".repeat(bytes);
    stream.write_all(answer.as_bytes()).await.expect("answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeat_says_when_the_answer_was_too_large_to_keep() {
    let site = TestSite::start(1, 0, 2).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    site.list(
        "bare",
        "weighbridge",
        listener.local_addr().expect("address"),
    );
    site.wait_until_pools_show("weighbridge", 1).await;
    let target = tokio::spawn(answer_once(listener, 10_000));
    let key = new_key();
    let first = site
        .post_ticket(0, &key, BODY)
        .send()
        .await
        .expect("response");
    assert_eq!(first.bytes().await.expect("whole body").len(), 10_000);
    target.await.expect("answered");
    let repeat = site
        .post_ticket(1, &key, BODY)
        .send()
        .await
        .expect("response");
    assert_eq!(
        (repeat.status().as_u16(), outcome(&repeat).as_str()),
        (201, "answered")
    );
    assert_eq!(repeat.headers()["x-briarrail-body"], "not-kept");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_with_another_body_is_refused() {
    let site = TestSite::start(1, 1, 2).await;
    let key = new_key();
    site.post_ticket(0, &key, BODY)
        .send()
        .await
        .expect("response");
    let response = site
        .post_ticket(1, &key, "net 20.0 t")
        .send()
        .await
        .expect("response");
    assert_eq!(
        (response.status().as_u16(), outcome(&response).as_str()),
        (422, "not_run")
    );
    assert_eq!(ledger(&site).len(), 1);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_reply_is_unknown_to_the_retry_as_well_and_runs_once() {
    let site = TestSite::start(1, 1, 2).await;
    site.services[0]
        .faults()
        .update(|faults| faults.drop_after_run_next = 1);
    let key = new_key();
    for router in [0, 1] {
        let response = site
            .post_ticket(router, &key, BODY)
            .send()
            .await
            .expect("response");
        assert_eq!(outcome(&response), "unknown");
    }
    assert_eq!(ledger(&site).iter().map(|entry| entry.runs).sum::<u32>(), 1);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_store_nothing_is_run_and_afterwards_the_same_key_runs() {
    let site = TestSite::start(1, 1, 2).await;
    site.objects
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Refuse));
    let key = new_key();
    let response = site
        .post_ticket(0, &key, BODY)
        .send()
        .await
        .expect("response");
    assert_eq!(
        (response.status().as_u16(), outcome(&response).as_str()),
        (503, "not_run")
    );
    assert!(response.headers().contains_key("retry-after"));
    assert!(ledger(&site).is_empty());
    site.objects.faults().update(|faults| faults.outage = None);
    let mut status = 0;
    for _ in 0..100 {
        let response = site
            .post_ticket(1, &key, BODY)
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
    assert_eq!(ledger(&site).iter().map(|entry| entry.runs).sum::<u32>(), 1);
    site.stop().await;
}
