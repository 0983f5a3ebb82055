//! HTTP/1.1 client connection to a target, another router or the store.

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

use super::head_budget::HeadBudget;
use super::response_stream::ResponseStream;
use crate::traffic::ConnectionSlot;

/// Time after which unacknowledged data, or data for which the receiver has no room, closes a
/// connection; a sound target may pause for a second before it reads on.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of bytes of a request that the operating system takes but has not sent yet. More
/// would hide from [`ResponseStream`] that the receiver has not taken the request.
const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// Idle time before the first keepalive probe and between probes; the shortest time that the
/// operating system accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum size of the buffer for a response, which bounds its head too, in bytes.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent(hyper::Error),
    /// A part of the request may have been sent.
    MaybeSent(hyper::Error),
}

/// An open connection, which is closed immediately on drop.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    /// Address that it was opened to.
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    head_budget: HeadBudget,
    request_count: u64,
    /// Place in a limited number of connections.
    slot: Option<ConnectionSlot>,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established within `timeout`.
    pub(crate) async fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connecting).await??;
        set_socket_options(&stream)?;
        let head_budget = HeadBudget::default();
        let stream = ResponseStream::new(stream, head_budget.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%error, "client connection failed");
            }
        });
        Ok(Self {
            address,
            sender,
            driver,
            head_budget,
            request_count: 0,
            slot: None,
        })
    }

    /// Keeps a place taken for as long as the connection exists.
    pub(crate) fn with_slot(mut self, slot: ConnectionSlot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Returns the address that the connection was opened to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error));
        }
        self.request_count += 1;
        self.head_budget.start();
        let sent = self.sender.try_send_request(request).await;
        self.head_budget.end();
        sent.map_err(|mut error| {
            if error.take_message().is_some() {
                SendError::NotSent(error.into_error())
            } else {
                SendError::MaybeSent(error.into_error())
            }
        })
    }

    /// Closes the connection while its response is still in use.
    pub(crate) fn close(&self) {
        self.driver.abort();
    }

    /// Returns whether more than one request was sent, so that a response may belong to an earlier
    /// one.
    pub(crate) const fn is_reused(&self) -> bool {
        self.request_count > 1
    }

    /// Returns whether the connection can send another request.
    pub(crate) fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
