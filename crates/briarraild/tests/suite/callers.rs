//! Limits and validation of requests from callers.

use std::time::Duration;

use briarrail_model::MilliDuration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::test_harness::{TestHarness, chat_body};

/// Sends raw bytes to the last router and returns all bytes received until the connection closes.
async fn send_raw(harness: &TestHarness, request: &str) -> String {
    let address = harness.routers.last().expect("router").callers_address();
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut reply = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut reply));
    drop(read.await.expect("the router ends the connection"));
    String::from_utf8_lossy(&reply).into_owned()
}

async fn harness_with_low_limits() -> TestHarness {
    let mut harness = TestHarness::start(1, 1, 0).await;
    harness
        .add_router("router-strict", |builder| {
            builder.adjust(|settings| {
                settings.limits.caller_read_timeout_ms = MilliDuration::from_millis(300);
                settings.limits.max_head_bytes = 8_192;
                settings.limits.max_streams = 4;
            })
        })
        .await;
    harness.wait_until_ready().await;
    harness
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn incomplete_body_times_out_as_not_run() {
    let harness = harness_with_low_limits().await;
    let head = "POST /tickets HTTP/1.1\r\nhost: router\r\ncontent-length: 100\r\n\r\nnet";
    let reply = send_raw(&harness, head).await;
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert!(reply.contains("x-briarrail-outcome: not_run"), "{reply}");
    assert!(harness.services[0].ledger().is_empty());
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_head_is_refused() {
    let harness = harness_with_low_limits().await;
    let padding = "x".repeat(20_000);
    let head = format!("GET /tickets/1 HTTP/1.1\r\nhost: router\r\nx-padding: {padding}\r\n\r\n");
    let reply = send_raw(&harness, &head).await;
    assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_over_the_limit_are_refused_with_retry_after() {
    let harness = harness_with_low_limits().await;
    let body = chat_body("many", 2_000);
    let mut open_responses = Vec::new();
    for index in 0..4 {
        open_responses.push(
            harness
                .chat_request(0, &format!("chat-{index}"), &body)
                .send()
                .await
                .expect("head"),
        );
    }
    let refused = harness
        .chat_request(0, "chat-more", &body)
        .send()
        .await
        .expect("response");
    assert_eq!(refused.status(), 429);
    assert!(refused.headers().contains_key("retry-after"));
    drop(open_responses);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unrouted_model_is_named_in_the_refusal() {
    let harness = TestHarness::start(1, 1, 1).await;
    let request = harness.client.post(harness.url(0, "/v2/embed"));
    let request = request
        .header("content-type", "application/json")
        .body(r#"{"model":"x"}"#);
    let response = request.send().await.expect("response");
    assert_eq!(response.status(), 404);
    let text = response.text().await.expect("body");
    assert!(text.contains(r#"model \"x\""#), "{text}");
    harness.stop().await;
}

/// Responds to one request on a TCP connection and returns the request head in lower case.
async fn serve_one_request(listener: TcpListener) -> String {
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
async fn router_headers_from_callers_are_not_forwarded() {
    let harness = TestHarness::start(1, 0, 1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    harness.put_live_host("bare", "weighbridge", address);
    harness.wait_for_live_targets("weighbridge", 1).await;
    let head = tokio::spawn(serve_one_request(listener));
    let request = harness.client.get(harness.url(0, "/tickets/1"));
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
    harness.stop().await;
}
