//! HTTP client for calls with small replies, to the store and to other routers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use thiserror::Error;

use super::{HttpConnection, SendError};
use crate::wire_dialect::host_header;

/// Timeout for opening a connection within a site.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a reply, in bytes; well above that of a page of a listing.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// What is known about a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallErrorKind {
    /// The call was not sent.
    NotSent,
    /// The call may have been sent, and no complete reply was received.
    MaybeSent,
}

/// A call without a complete reply.
#[derive(Debug, Error)]
#[error("{address}: {context}")]
pub struct CallError {
    /// Whether the call may have been sent.
    pub kind: CallErrorKind,
    /// The address that was called.
    pub address: SocketAddr,
    /// Description of the underlying error.
    pub context: String,
}

/// A complete reply.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client of one address that reuses idle connections.
///
/// It can only be used on the thread that creates it.
#[derive(Debug, Clone)]
pub struct CallClient {
    address: SocketAddr,
    idle_connections: Rc<RefCell<Vec<HttpConnection>>>,
}

impl CallClient {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle_connections: Rc::default(),
        }
    }

    /// Sends a request and waits up to `timeout` for the complete reply.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened, or the reply is not complete in time.
    pub async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let host = host_header(self.address);
        request.headers_mut().insert(header::HOST, host);
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.error(CallErrorKind::MaybeSent, &"timed out")),
        }
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// Fails as [`call`](Self::call) does, and if the path is malformed.
    pub async fn post(
        &self,
        path: &str,
        content_type: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let request = Request::post(path)
            .header(header::CONTENT_TYPE, HeaderValue::from_static(content_type))
            .body(Full::new(body))
            .map_err(|error| self.error(CallErrorKind::NotSent, &error))?;
        self.call(request, timeout).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<CallReply, CallError> {
        let mut connection = self.acquire_connection().await?;
        let response = connection
            .send(request)
            .await
            .map_err(|error| match error {
                SendError::NotSent(error) => self.error(CallErrorKind::NotSent, &error),
                SendError::MaybeSent(error) => self.error(CallErrorKind::MaybeSent, &error),
            })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|error| self.error(CallErrorKind::MaybeSent, &error))?
            .to_bytes();
        if self.idle_connections.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle_connections.borrow_mut().push(connection);
        }
        Ok(CallReply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn acquire_connection(&self) -> Result<HttpConnection, CallError> {
        while let Some(connection) = self.pop_idle() {
            if connection.is_idle() {
                return Ok(connection);
            }
        }
        HttpConnection::open(self.address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| self.error(CallErrorKind::NotSent, &error))
    }

    fn pop_idle(&self) -> Option<HttpConnection> {
        self.idle_connections.borrow_mut().pop()
    }

    fn error(&self, kind: CallErrorKind, context: &impl ToString) -> CallError {
        CallError {
            kind,
            address: self.address,
            context: context.to_string(),
        }
    }
}
