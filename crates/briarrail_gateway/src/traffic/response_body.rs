//! Bodies of responses to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

use super::connection_activity::ConnectionActivity;

/// The body of a target's response was interrupted; the caller's connection is closed, so that the
/// caller does not take the part that it received for a complete response.
#[derive(Debug, Clone, Copy, Error)]
#[error("response body was interrupted")]
pub(crate) struct BodyInterrupted;

#[derive(Debug)]
enum BodySource {
    Full(Option<Bytes>),
    Stream(Receiver<Result<Bytes, BodyInterrupted>>),
}

/// The body of a response: either complete, or a stream of chunks.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    source: BodySource,
    activity: Option<Rc<ConnectionActivity>>,
}

impl ResponseBody {
    /// Creates a body of known bytes.
    pub(crate) fn full(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            source: BodySource::Full(bytes),
            activity: None,
        }
    }

    /// Creates a body that streams chunks; it ends when the sender is dropped.
    pub(crate) const fn stream(chunks: Receiver<Result<Bytes, BodyInterrupted>>) -> Self {
        Self {
            source: BodySource::Stream(chunks),
            activity: None,
        }
    }

    /// Marks the caller's connection as idle when the body is dropped, normally once it was sent.
    pub(crate) fn with_activity(mut self, activity: Rc<ConnectionActivity>) -> Self {
        self.activity = Some(activity);
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(activity) = &self.activity {
            activity.finish_request();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match &mut self.source {
            BodySource::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            BodySource::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, BodySource::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Stream(_) => SizeHint::default(),
        }
    }
}
