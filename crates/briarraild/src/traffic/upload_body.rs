//! Bodies of requests to targets, and how much of them the connection has taken.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use reqwest::Body;

/// Size of the pieces of a long body, in bytes; a body of one piece is not watched.
const PIECE_BYTES: usize = 64 << 10;

/// Whether the connection has taken the whole body of a request.
#[derive(Debug, Clone)]
pub(crate) struct UploadProgress(Arc<AtomicBool>);

impl UploadProgress {
    /// Returns whether the connection has taken the whole body.
    pub(crate) fn is_complete(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Builds the body of a request whose length is set as a header.
pub(crate) fn watched_body(body: Bytes) -> (Body, UploadProgress) {
    let is_long = body.len() > PIECE_BYTES;
    let progress = UploadProgress(Arc::new(AtomicBool::new(!is_long)));
    if !is_long {
        return (body.into(), progress);
    }
    let flag = Arc::clone(&progress.0);
    let pieces = futures_util::stream::unfold(body, move |mut rest| {
        let flag = Arc::clone(&flag);
        async move {
            if rest.is_empty() {
                return None;
            }
            let piece = rest.split_to(PIECE_BYTES.min(rest.len()));
            flag.store(rest.is_empty(), Ordering::Relaxed);
            Some((Ok::<Bytes, Infallible>(piece), rest))
        }
    });
    (Body::wrap_stream(pieces), progress)
}
