//! Tests of the plain service: its ledger and its faults.

use briarrail_standin::start_service;
use briarrail_standin::{ServiceSettings, ServiceStandin, StandinHandle, body_digest};
use reqwest::RequestBuilder;

use crate::support::{header, http_client, send};

async fn start_plain_service() -> StandinHandle<ServiceStandin> {
    let settings = ServiceSettings::default();
    start_service("127.0.0.1:0", settings)
        .await
        .expect("bind to a free port")
}

fn post_ticket(service: &StandinHandle<ServiceStandin>, key: &str, id: &str) -> RequestBuilder {
    let url = format!("{}/tickets", service.base_url());
    let request = http_client().post(url).header("idempotency-key", key);
    request.header("x-request-id", id).body("12.5 t")
}

fn runs_by_key(service: &StandinHandle<ServiceStandin>) -> Vec<(String, u32)> {
    let ledger = service.ledger().into_iter();
    ledger.map(|entry| (entry.key, entry.runs)).collect()
}

#[tokio::test]
async fn each_run_is_recorded_in_the_ledger() {
    let service = start_plain_service().await;
    let response = send(post_ticket(&service, "k-1", "r-1")).await;
    assert_eq!(header(&response, "x-request-id"), "r-1");
    let body = response.text().await.expect("read the body");
    assert!(body.contains(&body_digest(b"12.5 t")), "{body}");
    send(post_ticket(&service, "k-1", "r-2")).await;
    let url = format!("{}/tickets/k-1", service.base_url());
    let entry = send(http_client().get(url))
        .await
        .text()
        .await
        .expect("read the body");
    insta::assert_snapshot!(entry);
}

#[tokio::test]
async fn only_faults_after_the_run_leave_a_ledger_entry() {
    let service = start_plain_service().await;
    service.faults().update(|faults| faults.refuse_next = 1);
    let refused = send(post_ticket(&service, "refused", "r-1")).await;
    assert_eq!(header(&refused, "x-not-run"), "true");
    service
        .faults()
        .update(|faults| faults.drop_before_run_next = 1);
    assert!(post_ticket(&service, "before", "r-2").send().await.is_err());
    assert_eq!(runs_by_key(&service), []);
    service
        .faults()
        .update(|faults| faults.drop_after_run_next = 1);
    assert!(post_ticket(&service, "after", "r-3").send().await.is_err());
    service.faults().update(|faults| faults.wrong_id_next = 1);
    let wrong = send(post_ticket(&service, "wrong", "r-4")).await;
    assert_eq!(header(&wrong, "x-request-id"), "another-request");
    assert_eq!(
        runs_by_key(&service),
        [("after".to_owned(), 1), ("wrong".to_owned(), 1)]
    );
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let service = start_plain_service().await;
    let url = format!("{}/_standin/faults", service.base_url());
    let update = http_client().post(&url).body(r#"{"refuse_next":2}"#);
    assert_eq!(send(update).await.status(), 200);
    assert_eq!(service.faults().get().refuse_next, 2);
    let unknown_field = http_client().post(&url).body(r#"{"refuse_nxt":2}"#);
    assert_eq!(send(unknown_field).await.status(), 400);
    assert_eq!(service.faults().get().refuse_next, 2);
}
