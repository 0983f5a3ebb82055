//! The plain service: its ledger, and its faults.

use briarrail_standin::start_service;
use briarrail_standin::{ServiceSettings, ServiceStandin, StandinHandle, body_digest};
use reqwest::RequestBuilder;

use crate::support::{client, header, send};

async fn start() -> StandinHandle<ServiceStandin> {
    let settings = ServiceSettings::default();
    start_service("127.0.0.1:0", settings)
        .await
        .expect("a free port")
}

fn post(service: &StandinHandle<ServiceStandin>, key: &str, id: &str) -> RequestBuilder {
    let url = format!("{}/tickets", service.base_url());
    let request = client().post(url).header("idempotency-key", key);
    request.header("x-request-id", id).body("12.5 t")
}

fn runs(service: &StandinHandle<ServiceStandin>) -> Vec<(String, u32)> {
    let ledger = service.ledger().into_iter();
    ledger.map(|entry| (entry.key, entry.runs)).collect()
}

#[tokio::test]
async fn each_run_is_entered_and_can_be_looked_up() {
    let service = start().await;
    let response = send(post(&service, "k-1", "r-1")).await;
    assert_eq!(header(&response, "x-request-id"), "r-1");
    let answer = response.text().await.expect("whole");
    assert!(answer.contains(&body_digest(b"12.5 t")), "{answer}");
    send(post(&service, "k-1", "r-2")).await;
    let url = format!("{}/tickets/k-1", service.base_url());
    let entry = send(client().get(url)).await.text().await.expect("whole");
    insta::assert_snapshot!(entry);
}

#[tokio::test]
async fn faults_before_the_run_leave_no_entry_and_faults_after_it_do() {
    let service = start().await;
    service.faults().update(|faults| faults.refuse_next = 1);
    let refused = send(post(&service, "refused", "r-1")).await;
    assert_eq!(header(&refused, "x-not-run"), "true");
    service
        .faults()
        .update(|faults| faults.drop_before_run_next = 1);
    assert!(post(&service, "before", "r-2").send().await.is_err());
    assert_eq!(runs(&service), []);
    service
        .faults()
        .update(|faults| faults.drop_after_run_next = 1);
    assert!(post(&service, "after", "r-3").send().await.is_err());
    service.faults().update(|faults| faults.wrong_id_next = 1);
    let wrong = send(post(&service, "wrong", "r-4")).await;
    assert_eq!(header(&wrong, "x-request-id"), "another-request");
    assert_eq!(
        runs(&service),
        [("after".to_owned(), 1), ("wrong".to_owned(), 1)]
    );
}

#[tokio::test]
async fn faults_are_switched_by_request() {
    let service = start().await;
    let url = format!("{}/_standin/faults", service.base_url());
    let switch = client().post(&url).body(r#"{"refuse_next":2}"#);
    assert_eq!(send(switch).await.status(), 200);
    assert_eq!(service.faults().get().refuse_next, 2);
    let misspelt = client().post(&url).body(r#"{"refuse_nxt":2}"#);
    assert_eq!(send(misspelt).await.status(), 400);
    assert_eq!(service.faults().get().refuse_next, 2);
}
