//! Where streams began, as the traffic thread learns it from the control thread.

use std::rc::Rc;

use briarrail_dispatch::{RefusalCause, ReleaseKey, StreamKey};
use tokio::sync::oneshot;

use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::traffic_state::TrafficState;
use crate::WireDialect;

/// Where a stream goes on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResumePoint {
    /// Last event that the caller received.
    pub(crate) last_event: u64,
    /// Release at which the stream began, and whose targets alone can continue it.
    pub(crate) release: ReleaseKey,
}

/// What is known of the release at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamOrigin {
    /// The release, and where this router learned of it.
    Known(ReleaseKey, &'static str),
    /// It may be one of several.
    Ambiguous,
    /// Neither the other routers nor the store could tell.
    Unavailable,
}

/// Message from the traffic thread to the control thread about a stream.
#[derive(Debug)]
pub(crate) enum OriginCall {
    /// A stream began at a release.
    Began(StreamKey, ReleaseKey),
    /// The caller has a stream completely.
    Ended(StreamKey),
    /// Asks where a stream of a service began.
    Find {
        stream: StreamKey,
        service: String,
        /// Whether the origin may be inferred if nobody knows it.
        is_inferable: bool,
        reply: oneshot::Sender<StreamOrigin>,
    },
}

/// Finds the release at which a stream began that the caller continues, and records it in the
/// request.
///
/// # Errors
///
/// Fails with the cause and a description if no release is known; the request must not be sent then,
/// because a target of another release would answer it too.
pub(crate) async fn resolve_origin<D>(
    state: &Rc<TrafficState<D>>,
    context: &mut RequestContext,
    trace: &RequestTrace<D>,
) -> Result<(), (RefusalCause, &'static str)>
where
    D: WireDialect,
{
    let Some(last_event) = context.caller.last_event else {
        return Ok(());
    };
    if !context.semantics.is_stream() {
        return Ok(());
    }
    let origin = find_origin(state, context).await;
    let (outcome, release, refusal) = match origin {
        StreamOrigin::Known(release, source) => {
            let point = ResumePoint {
                last_event,
                release,
            };
            context.resume_point = Some(point);
            let need = context.need(Some(point));
            let cause = state.denial_cause(&context.service, &need);
            cause.map_or((source, Some(release), None), |cause| {
                let reason = "no target of the release that began the stream";
                ("gone", Some(release), Some((cause, reason)))
            })
        }
        // Another router may know, and the caller learns soon if none does.
        StreamOrigin::Ambiguous => {
            let reason = "the release that began the stream is unknown";
            let refusal = (RefusalCause::RouterUnavailable, reason);
            ("ambiguous", None, Some(refusal))
        }
        StreamOrigin::Unavailable => {
            let reason = "the release that began the stream can't be looked up";
            let refusal = (RefusalCause::RouterUnavailable, reason);
            ("unavailable", None, Some(refusal))
        }
    };
    state.metrics.count_take_up(&context.service, outcome);
    tracing::info!(
        event = "stream_taken_up",
        request_id = %String::from_utf8_lossy(trace.request_id()),
        first_attempt = %String::from_utf8_lossy(context.caller.first_attempt()),
        last_event,
        release = release.map(|release| format!("{:016x}", release.0.0)),
        origin = outcome,
        elapsed_ms = trace.elapsed().as_millis(),
    );
    refusal.map_or(Ok(()), Err)
}

async fn find_origin<D>(state: &Rc<TrafficState<D>>, context: &RequestContext) -> StreamOrigin {
    let (reply, origin) = oneshot::channel();
    state.send_origin_call(OriginCall::Find {
        stream: context.stream_key(),
        service: context.service.clone(),
        is_inferable: context.caller.resumed_attempt.is_some() && context.has_short_streams,
        reply,
    });
    let deadline = state.clock.instant(context.deadline);
    match tokio::time::timeout_at(deadline, origin).await {
        Ok(Ok(origin)) => origin,
        Ok(Err(_)) | Err(_) => {
            tracing::warn!(event = "stream_origin_not_answered");
            StreamOrigin::Unavailable
        }
    }
}
