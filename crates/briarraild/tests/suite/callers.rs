//! Callers that are slow, malformed or too many.

use std::time::Duration;

use briarrail_model::MilliDuration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::site::{TestSite, chat_body};

/// Sends raw bytes to the last router and returns what comes until the connection ends.
async fn send_raw(site: &TestSite, request: &str) -> String {
    let address = site.routers.last().expect("router").callers_address();
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut reply = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut reply));
    drop(read.await.expect("the router ends the connection"));
    String::from_utf8_lossy(&reply).into_owned()
}

async fn strict_site() -> TestSite {
    let mut site = TestSite::start(1, 1, 0).await;
    site.add_router("router-strict", |builder| {
        builder.adjust(|settings| {
            settings.limits.caller_read_timeout_ms = MilliDuration::from_millis(300);
            settings.limits.max_head_bytes = 8_192;
            settings.limits.max_streams = 4;
        })
    })
    .await;
    site.wait_until_ready().await;
    site
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_does_not_come_is_refused_as_not_run() {
    let site = strict_site().await;
    let head = "POST /tickets HTTP/1.1\r\nhost: router\r\ncontent-length: 100\r\n\r\nnet";
    let reply = send_raw(&site, head).await;
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert!(reply.contains("x-briarrail-outcome: not_run"), "{reply}");
    assert!(site.services[0].ledger().is_empty());
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_beyond_the_limit_is_refused() {
    let site = strict_site().await;
    let padding = "x".repeat(20_000);
    let head = format!("GET /tickets/1 HTTP/1.1\r\nhost: router\r\nx-padding: {padding}\r\n\r\n");
    let reply = send_raw(&site, &head).await;
    assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_beyond_the_limit_are_refused_with_a_time_to_come_back() {
    let site = strict_site().await;
    let body = chat_body("many", 2_000);
    let mut open = Vec::new();
    for index in 0..4 {
        open.push(
            site.chat(0, &format!("chat-{index}"), &body)
                .send()
                .await
                .expect("head"),
        );
    }
    let refused = site
        .chat(0, "chat-more", &body)
        .send()
        .await
        .expect("response");
    assert_eq!(refused.status(), 429);
    assert!(refused.headers().contains_key("retry-after"));
    drop(open);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_model_that_no_route_takes_is_named_in_the_refusal() {
    let site = TestSite::start(1, 1, 1).await;
    let request = site.client.post(site.url(0, "/v2/embed"));
    let request = request
        .header("content-type", "application/json")
        .body(r#"{"model":"x"}"#);
    let response = request.send().await.expect("response");
    assert_eq!(response.status(), 404);
    let text = response.text().await.expect("body");
    assert!(text.contains(r#"model \"x\""#), "{text}");
    site.stop().await;
}

/// Answers one request on a bare connection and returns its head.
async fn take_one_head(listener: TcpListener) -> String {
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("head"));
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).await.expect("answered");
    String::from_utf8_lossy(&head).to_lowercase()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_cannot_set_the_headers_that_routers_set() {
    let site = TestSite::start(1, 0, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    site.list("bare", "weighbridge", address);
    site.wait_until_pools_show("weighbridge", 1).await;
    let head = tokio::spawn(take_one_head(listener));
    let request = site.client.get(site.url(0, "/tickets/1"));
    let request = request
        .header("x-priority", "forged")
        .header("x-fencing-number", "9");
    let request = request
        .header("x-request-id", "forged")
        .header("x-note", "kept");
    assert_eq!(request.send().await.expect("response").status(), 200);
    let head = head.await.expect("head");
    assert!(
        !head.contains("forged") && !head.contains("x-fencing-number"),
        "{head}"
    );
    assert!(
        head.contains("x-note: kept") && head.contains("x-priority: interactive"),
        "{head}"
    );
    site.stop().await;
}
