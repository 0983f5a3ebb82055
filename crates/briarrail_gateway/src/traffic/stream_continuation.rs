//! The response of another target to a resumption.

use std::rc::Rc;

use briarrail_model::MilliTime;
use briarrail_outcome::StreamChecker;
use bytes::Bytes;

use super::first_answer::MAX_BUFFERED_RESPONSE_BYTES;
use super::stream_relay::{BodyRead, read_body_chunk};
use super::target_response::TargetResponse;
use super::traffic_state::TrafficState;

/// A response to a resumption, and what was read of its body.
#[derive(Debug)]
pub(crate) struct StreamContinuation<D> {
    pub(crate) response: Box<TargetResponse<D>>,
    pub(crate) checker: StreamChecker,
    pub(crate) events: Vec<Bytes>,
}

impl<D> StreamContinuation<D> {
    /// Creates the continuation after the event `last_event`, of whose body nothing was read.
    pub(crate) fn new(response: Box<TargetResponse<D>>, last_event: Option<u64>) -> Self {
        let mut checker = StreamChecker::without_terminal_event(last_event);
        checker.begin_continuation();
        Self {
            response,
            checker,
            events: Vec::new(),
        }
    }

    /// Reads up to the first event, which proves that the target goes on with the stream.
    ///
    /// The call can be cancelled; what was read is kept.
    ///
    /// # Errors
    ///
    /// Fails with the error text if the body does not begin with the next event.
    pub(crate) async fn read_first_event(
        &mut self,
        state: &Rc<TrafficState<D>>,
        deadline: MilliTime,
    ) -> Result<(), String> {
        let mut read_bytes = 0;
        loop {
            match read_body_chunk(state, &mut self.response.body, deadline).await {
                BodyRead::Chunk(chunk) => {
                    read_bytes += chunk.len();
                    let result = self.checker.push(chunk, &mut self.events);
                    // The checker reports an error after that event again.
                    if self.checker.data_events() > 0 {
                        return Ok(());
                    }
                    result.map_err(|error| error.to_string())?;
                    if read_bytes > MAX_BUFFERED_RESPONSE_BYTES {
                        return Err("no event within the size limit".to_owned());
                    }
                }
                BodyRead::End => return Err("the body ended before an event".to_owned()),
                BodyRead::Interrupted(detail) => return Err(detail),
                BodyRead::DeadlinePassed => return Err("the deadline passed".to_owned()),
            }
        }
    }
}
