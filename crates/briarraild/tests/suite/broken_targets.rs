//! Targets whose responses are no answers: their status is none of HTTP, or they break off while the
//! request is still being written.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::test_harness::{TestHarness, new_key};

/// Size of a target's receive buffer, in bytes.
const RECEIVE_BYTES: u32 = 16 << 10;
/// Part of a request that a target reads before it responds, in bytes.
const READ_BYTES: usize = 100;
/// Size of the bodies of long requests, in bytes; more than the buffers of the operating system take.
const UPLOAD_BYTES: usize = 12_000_000;
const CALL_COUNT: usize = 6;
/// Status lines without the protocol version.
const INVALID_STATUSES: [&str; 7] = [
    "000 OK", "099 OK", "20 OK", "2000 OK", "600 OK", "999 OK", "-20 OK",
];

/// Starts a target that responds with a text to each request before it has read all of it, and ends its
/// own direction of the connection first.
fn start_target(response: String) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .expect("buffer size");
    socket
        .bind("127.0.0.1:0".parse().expect("address"))
        .expect("free port");
    let listener = socket.listen(64).expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move { drop(respond(stream, &response).await) });
        }
    });
    address
}

async fn respond(mut stream: TcpStream, response: &str) -> std::io::Result<()> {
    let mut request = Vec::new();
    while request.len() < READ_BYTES {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await?;
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// A pool that takes long requests.
const UPLOAD_TABLES: &str = r#"{
    "routes": [
        { "name": "upload", "match": { "path_prefix": "/uploads" }, "pool": "uploads",
          "semantics": "at_most_once" }
    ],
    "pools": [
        { "name": "uploads", "kind": "service", "targets": { "service": "uploads" },
          "limits": { "max_body_bytes": 24000000 } }
    ]
}"#;

/// Starts a router with a pool of one target, which takes long requests.
async fn start_harness(response: String) -> TestHarness {
    let mut harness = TestHarness::start(0, 0, 0).await;
    harness.put_live_host("service-0", "uploads", start_target(response));
    harness.apply_tables(UPLOAD_TABLES).await;
    harness
        .add_router("router-0", |builder| {
            builder.adjust(|settings| settings.limits.max_body_bytes = 2 * UPLOAD_BYTES as u64)
        })
        .await;
    harness.wait_until_ready().await;
    harness.wait_for_live_targets("uploads", 1).await;
    harness
}

/// Posts a body, and returns the status and body of the reply.
async fn post(harness: &TestHarness, body: String) -> (u16, String) {
    let request = harness.client.post(harness.url(0, "/uploads"));
    let request = request
        .header("x-customer", "magadi")
        .header("idempotency-key", new_key());
    let reply = request.body(body).send().await.expect("reply");
    (reply.status().as_u16(), reply.text().await.expect("body"))
}

/// Guards against a response with a status such as 600 that is passed on, or recorded with a claim.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_with_an_invalid_status_is_no_answer() {
    for status in INVALID_STATUSES {
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 6\r\n\r\nupdate");
        let harness = start_harness(response).await;
        for _ in 0..2 {
            let (code, text) = post(&harness, "net 18.2 t".to_owned()).await;
            assert!((500..=504).contains(&code), "{status}: {code} {text}");
        }
        harness.stop().await;
    }
}

/// Guards against a part of a response that passes for the whole, because its connection ended while the
/// request was still being written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_response_that_ends_with_its_connection_is_no_answer() {
    let harness = start_harness("HTTP/1.1 200 OK\r\n\r\na part".to_owned()).await;
    let body = "u".repeat(UPLOAD_BYTES);
    for _ in 0..CALL_COUNT {
        let (code, text) = post(&harness, body.clone()).await;
        assert!((500..=504).contains(&code), "{code} {text}");
    }
    harness.stop().await;
}
