//! Bodies of responses to callers.

use std::cell::Cell;
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

/// States that all chunks of a stream were sent, once for the sender and once for the body.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamCompletion(Rc<Cell<bool>>);

impl StreamCompletion {
    /// Records that the stream is complete with the chunks that were sent.
    pub(crate) fn record(&self) {
        self.0.set(true);
    }
}

#[derive(Debug)]
enum BodySource {
    Full(Option<Bytes>),
    Stream(Receiver<Bytes>, StreamCompletion),
}

/// The body of a response: either complete, or a stream of chunks.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    source: BodySource,
    /// Length that is announced for a stream, in bytes.
    length: Option<u64>,
    activity: Option<Rc<ConnectionActivity>>,
}

impl ResponseBody {
    /// Creates a body of known bytes.
    pub(crate) fn full(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            source: BodySource::Full(bytes),
            length: None,
            activity: None,
        }
    }

    /// Creates a body that streams chunks until the sender is dropped. It is interrupted then, unless
    /// its completion was recorded before.
    pub(crate) const fn stream(chunks: Receiver<Bytes>, completion: StreamCompletion) -> Self {
        Self {
            source: BodySource::Stream(chunks, completion),
            length: None,
            activity: None,
        }
    }

    /// Announces the length of a stream, in bytes.
    pub(crate) const fn with_length(mut self, length: Option<u64>) -> Self {
        self.length = length;
        self
    }

    /// Records the end of the request when the body is dropped, normally once it was handed over to be
    /// written.
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
            BodySource::Stream(chunks, completion) => {
                chunks.poll_recv(context).map(|chunk| match chunk {
                    Some(chunk) => Some(Ok(Frame::data(chunk))),
                    None if completion.0.get() => None,
                    None => Some(Err(BodyInterrupted)),
                })
            }
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
            BodySource::Stream(..) => self
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
