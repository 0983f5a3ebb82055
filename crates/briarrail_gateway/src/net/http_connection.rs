//! One HTTP/1.1 connection to a target, a peer or the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time after which unacknowledged bytes end a connection; many round trips within a site.
const UNACKED_LIMIT: Duration = Duration::from_millis(800);
/// Idle time before the system probes a connection; the smallest that it takes.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request left.
    NotSent(hyper::Error),
    /// A part of the request may have left.
    MaybeSent(hyper::Error),
}

/// An open connection; dropping it closes the connection at once.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or not open within `limit`.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connecting).await??;
        set_options(&stream)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%error, "outbound connection ended");
            }
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error));
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            if error.take_message().is_some() {
                SendError::NotSent(error.into_error())
            } else {
                SendError::MaybeSent(error.into_error())
            }
        })
    }

    /// Returns whether another request can be sent.
    pub(crate) fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
