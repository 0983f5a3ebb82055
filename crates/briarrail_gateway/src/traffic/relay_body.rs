//! Bodies of answers to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

use super::caller_connection::ConnectionWatch;

/// An answer that broke off; the caller's connection is cut, so that it can't look whole.
#[derive(Debug, Clone, Copy, Error)]
#[error("the answer broke off")]
pub(crate) struct RelayBroken;

#[derive(Debug)]
enum BodySource {
    Whole(Option<Bytes>),
    Stream(Receiver<Result<Bytes, RelayBroken>>),
}

/// The body of an answer: whole, or a stream that a pump feeds.
#[derive(Debug)]
pub(crate) struct RelayBody {
    source: BodySource,
    watch: Option<Rc<ConnectionWatch>>,
}

impl RelayBody {
    /// Makes a body from bytes.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            source: BodySource::Whole(bytes),
            watch: None,
        }
    }

    /// Makes a body from chunks; it ends when the sender is dropped.
    pub(crate) const fn stream(chunks: Receiver<Result<Bytes, RelayBroken>>) -> Self {
        Self {
            source: BodySource::Stream(chunks),
            watch: None,
        }
    }

    /// Marks the caller's connection as idle once the body is sent.
    pub(crate) fn watched_by(mut self, watch: Rc<ConnectionWatch>) -> Self {
        self.watch = Some(watch);
        self
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if let Some(watch) = &self.watch {
            watch.end_request();
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        match &mut self.source {
            BodySource::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            BodySource::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, BodySource::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Stream(_) => SizeHint::default(),
        }
    }
}
