//! A fake router with only the operator listener.

use std::net::SocketAddr;
use std::sync::Arc;

use briarrail_burn::BurnSnapshot;
use briarrail_status::RouterStatus;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Serves a fixed status and burn snapshot until it is dropped.
pub(crate) struct FakeRouter {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

struct Documents {
    status: String,
    burn: String,
}

impl FakeRouter {
    pub(crate) async fn start(status: &RouterStatus, burn: &BurnSnapshot) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let documents = Arc::new(Documents {
            status: serde_json::to_string(status).unwrap(),
            burn: serde_json::to_string(burn).unwrap(),
        });
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve_connection(stream, Arc::clone(&documents)));
            }
        });
        Self { address, task }
    }
}

impl Drop for FakeRouter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_connection(mut stream: TcpStream, documents: Arc<Documents>) {
    let mut head = vec![0; 4_096];
    let length = stream.read(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..length]);
    let (status_line, body) = match head.split_whitespace().nth(1) {
        Some("/status") => ("200 OK", documents.status.as_str()),
        Some("/burn") => ("200 OK", documents.burn.as_str()),
        _ => ("404 Not Found", ""),
    };
    let length = body.len();
    let reply = format!(
        "HTTP/1.1 {status_line}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    );
    stream.write_all(reply.as_bytes()).await.unwrap();
}
