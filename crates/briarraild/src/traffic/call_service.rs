//! Serving of requests after their bodies were read.

use std::sync::Arc;

use briarrail_model::{CallSemantics, MilliDuration, MissingKeyPolicy};
use briarrail_outcome::NotRunReason;

use http::StatusCode;

use super::event_relay::EventRelay;
use super::response_relay::{BufferResult, buffer_response, relay_large_response};
use super::{
    AdmissionGuard, CallDriver, CallPermit, CallRecorder, CallRefusal, CallerReply, CallerRequest,
    RoutedCall, TargetResponse, TrafficContext,
};
use crate::state::{RouteMatch, StopPhase};

const MAX_STREAMS_RETRY_AFTER: MilliDuration = MilliDuration::from_secs(1);

/// Serves one request and returns the reply to its caller.
pub(crate) async fn serve_call(
    context: &Arc<TrafficContext>,
    request: CallerRequest,
) -> CallerReply {
    let source = match route_request(context, &request) {
        Ok(source) => source,
        Err(refusal) => {
            context.state.count_unrouted_request(refusal.outcome);
            return refusal.reply;
        }
    };
    let recorder = CallRecorder::start(&context.state, &source, &request);
    let call = RoutedCall {
        request: Arc::new(request),
        source,
        recorder,
    };
    if call.source.route.semantics == CallSemantics::Idempotent {
        return serve_routed_call(context, call).await;
    }
    // The call runs in its own task, so that it continues after a disconnect of its caller and its
    // outcome is recorded.
    let context = Arc::clone(context);
    let task = tokio::spawn(async move { serve_routed_call(&context, call).await });
    task.await
        .unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
}

async fn serve_routed_call(context: &Arc<TrafficContext>, mut call: RoutedCall) -> CallerReply {
    match acquire_permit(context, &call).await {
        Ok(permit) => run_call(CallDriver::new(context, call, permit)).await,
        Err(refusal) => {
            call.recorder.finish(refusal.outcome, context.clock.now());
            refusal.reply
        }
    }
}

/// Acquires the admission of a call, and its claim if it needs one.
async fn acquire_permit(
    context: &TrafficContext,
    call: &RoutedCall,
) -> Result<CallPermit, Box<CallRefusal>> {
    let RoutedCall {
        request, source, ..
    } = call;
    if lacks_required_key(source, request) {
        return Err(CallRefusal::not_run(NotRunReason::KeyMissing));
    }
    let admission = AdmissionGuard::acquire(source, request).await;
    let admission = admission.map_err(CallRefusal::overloaded)?;
    let is_at_most_once = source.route.semantics == CallSemantics::AtMostOnce;
    let grant = match request
        .idempotency_key
        .as_deref()
        .filter(|_| is_at_most_once)
    {
        Some(key) => {
            let deadline = request.received_at + source.route.deadline_ms;
            Some(context.claims.acquire(request, key, deadline).await?)
        }
        None => None,
    };
    Ok(CallPermit { admission, grant })
}

fn lacks_required_key(source: &RouteMatch, request: &CallerRequest) -> bool {
    let is_at_most_once = source.route.semantics == CallSemantics::AtMostOnce;
    is_at_most_once
        && request.idempotency_key.is_none()
        && source.route.keyless == MissingKeyPolicy::Refuse
}

fn route_request(
    context: &TrafficContext,
    request: &CallerRequest,
) -> Result<RouteMatch, Box<CallRefusal>> {
    if context.state.stop_phase() >= StopPhase::Draining {
        return Err(CallRefusal::not_run(NotRunReason::Stopping));
    }
    if context.state.requests_in_flight() >= context.settings.limits.max_streams {
        return Err(CallRefusal::overloaded(MAX_STREAMS_RETRY_AFTER));
    }
    let snapshot = context.state.snapshot();
    if !snapshot.is_ready {
        return Err(CallRefusal::not_run(NotRunReason::NotReady));
    }
    let source = snapshot
        .find_route(&request.attributes())
        .ok_or_else(|| no_route_refusal(request))?;
    let limit = source.pool.row.limits.max_body_bytes;
    if request.body.len() as u64 > limit {
        let detail = format!("the body is larger than the pool's limit of {limit} bytes");
        let refusal = CallRefusal::with_detail(NotRunReason::BadRequest, &detail);
        return Err(refusal.with_status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    Ok(source)
}

fn no_route_refusal(request: &CallerRequest) -> Box<CallRefusal> {
    let attributes = request.attributes();
    let model = attributes
        .model
        .map(|model| format!(" and model {model:?}"))
        .unwrap_or_default();
    let detail = format!(
        "no route takes {} {} of customer {:?}{model}",
        attributes.method, attributes.path, attributes.customer
    );
    CallRefusal::with_detail(NotRunReason::NoRoute, &detail)
}

/// Runs a call until its reply can start; streamed bodies are relayed afterwards.
async fn run_call(mut driver: CallDriver) -> CallerReply {
    let mut result = driver.run().await;
    loop {
        let response = match result {
            Ok(response) => response,
            Err(reply) => return *reply,
        };
        if response.is_event_stream() && driver.is_model_pool() {
            return relay_events(driver, response);
        }
        let limit = driver.context.settings.limits.max_answer_kept_bytes;
        match buffer_response(&driver, response, limit).await {
            BufferResult::Complete(buffered) => {
                driver.complete(&buffered);
                return buffered.into_reply();
            }
            BufferResult::TooLarge(start, rest) => {
                return relay_large_response(driver, start, rest);
            }
            BufferResult::Interrupted(event) => result = driver.continue_after(event).await,
        }
    }
}

fn relay_events(driver: CallDriver, response: TargetResponse) -> CallerReply {
    let status = response.inner.status();
    let headers = super::forwarded_headers(response.inner.headers());
    let body = EventRelay::new(driver, response).into_body();
    CallerReply {
        status,
        headers,
        body,
    }
}
