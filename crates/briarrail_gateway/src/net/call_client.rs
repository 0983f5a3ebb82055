//! Calls with small replies: to the store and to peers.

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

/// Longest time to open a connection within a site.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Longest reply, in bytes: a page of a listing with room to spare.
const MAX_REPLY_BYTES: usize = 8 << 20;
/// Idle connections that are kept.
const KEPT_LINKS: usize = 2;

/// What is known after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallErrorKind {
    /// Nothing was sent.
    NotSent,
    /// The call was sent, and no whole reply came.
    MaybeSent,
}

/// A call without a whole reply.
#[derive(Debug, Error)]
#[error("{address}: {context}")]
pub struct CallError {
    /// What is known.
    pub kind: CallErrorKind,
    /// The address called.
    pub address: SocketAddr,
    /// What the transport said.
    pub context: String,
}

/// A whole reply.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Calls one address over a few kept connections.
///
/// It belongs to the thread that makes it.
#[derive(Debug, Clone)]
pub struct CallClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<HttpConnection>>>,
}

impl CallClient {
    /// Makes a client; connections are opened as calls need them.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// Calls, and waits at most `limit` for the whole reply.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made, or no whole reply comes in time.
    pub async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        let host = host_header(self.address);
        request.headers_mut().insert(header::HOST, host);
        match tokio::time::timeout(limit, self.exchange(request)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(self.error(CallErrorKind::MaybeSent, &"no reply in time")),
        }
    }

    /// Calls with a JSON or binary body.
    ///
    /// # Errors
    ///
    /// Fails as [`call`](Self::call) does, and when the path is malformed.
    pub async fn post(
        &self,
        path: &str,
        content_type: &'static str,
        body: Bytes,
        limit: Duration,
    ) -> Result<CallReply, CallError> {
        let request = Request::post(path)
            .header(header::CONTENT_TYPE, HeaderValue::from_static(content_type))
            .body(Full::new(body))
            .map_err(|error| self.error(CallErrorKind::NotSent, &error))?;
        self.call(request, limit).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<CallReply, CallError> {
        let mut link = self.take_link().await?;
        let answer = link.send(request).await.map_err(|fault| match fault {
            SendError::NotSent(error) => self.error(CallErrorKind::NotSent, &error),
            SendError::MaybeSent(error) => self.error(CallErrorKind::MaybeSent, &error),
        })?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|error| self.error(CallErrorKind::MaybeSent, &error))?
            .to_bytes();
        if self.idle.borrow().len() < KEPT_LINKS {
            self.idle.borrow_mut().push(link);
        }
        Ok(CallReply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn take_link(&self) -> Result<HttpConnection, CallError> {
        while let Some(link) = self.pop_idle() {
            if link.is_idle() {
                return Ok(link);
            }
        }
        HttpConnection::open(self.address, CONNECT_LIMIT)
            .await
            .map_err(|error| self.error(CallErrorKind::NotSent, &error))
    }

    fn pop_idle(&self) -> Option<HttpConnection> {
        self.idle.borrow_mut().pop()
    }

    fn error(&self, kind: CallErrorKind, context: &impl ToString) -> CallError {
        CallError {
            kind,
            address: self.address,
            context: context.to_string(),
        }
    }
}
