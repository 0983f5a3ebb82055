//! The response of a target.

use std::rc::Rc;

use briarrail_dispatch::ReleaseKey;
use http::{header, response};
use hyper::body::Incoming;

use super::response_class::{ResponseClass, reuse_timeout};
use super::send_guard::SendGuard;
use super::traffic_state::TrafficState;
use crate::net::HttpConnection;

/// A response whose head is valid; its body is still to be read.
#[derive(Debug)]
pub(crate) struct TargetResponse<D> {
    pub(crate) connection: HttpConnection,
    pub(crate) guard: SendGuard<D>,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) class: ResponseClass,
    /// Release of the target.
    pub(crate) release: ReleaseKey,
}

impl<D> TargetResponse<D> {
    /// Returns the length of the body that the target announced, in bytes.
    ///
    /// A transfer coding overrides the length.
    pub(crate) fn announced_length(&self) -> Option<u64> {
        let headers = &self.head.headers;
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return None;
        }
        headers
            .get(header::CONTENT_LENGTH)?
            .to_str()
            .ok()?
            .parse()
            .ok()
    }

    /// Returns the connection to the pool after the body was read, if it can be reused.
    pub(crate) fn release_connection(self, state: &Rc<TrafficState<D>>) {
        if let Some(keep_alive) = reuse_timeout(&self.head.headers) {
            state.keep_connection(self.guard.key(), self.connection, keep_alive);
        }
    }
}
