//! Routing of whole requests.

use std::sync::Arc;

use briarrail_model::{CallSemantics, MilliDuration, MissingKeyPolicy};
use briarrail_outcome::NotRunReason;

use http::StatusCode;

use super::answer_relay::{ReadAnswer, read_answer, relay_large};
use super::event_relay::EventRelay;
use super::{
    AdmissionGuard, CallDriver, CallPermit, CallRecord, CallRefusal, CallerReply, CallerRequest,
    RoutedCall, TargetAnswer, TrafficContext,
};
use crate::state::{RoutingSource, StopPhase};

const FULL_RETRY_AFTER: MilliDuration = MilliDuration::from_secs(1);

/// Serves one request and returns the reply for its caller.
pub(crate) async fn serve_call(
    context: &Arc<TrafficContext>,
    request: CallerRequest,
) -> CallerReply {
    let source = match find_source(context, &request) {
        Ok(source) => source,
        Err(refusal) => {
            context.state.count_unrouted(refusal.outcome);
            return refusal.reply;
        }
    };
    let record = CallRecord::start(&context.state, &source, &request);
    let call = RoutedCall {
        request: Arc::new(request),
        source,
        record,
    };
    if call.source.route.semantics == CallSemantics::Idempotent {
        return serve_routed(context, call).await;
    }
    // The call goes on when its caller has gone, so that its outcome is known.
    let context = Arc::clone(context);
    let served = tokio::spawn(async move { serve_routed(&context, call).await });
    served
        .await
        .unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
}

async fn serve_routed(context: &Arc<TrafficContext>, mut call: RoutedCall) -> CallerReply {
    match prepare(context, &call).await {
        Ok(permit) => drive(CallDriver::new(context, call, permit)).await,
        Err(refusal) => {
            call.record.finish(refusal.outcome, context.clock.now());
            refusal.reply
        }
    }
}

/// Obtains what a call needs before anything may be sent.
async fn prepare(
    context: &TrafficContext,
    call: &RoutedCall,
) -> Result<CallPermit, Box<CallRefusal>> {
    let RoutedCall {
        request, source, ..
    } = call;
    if needs_key(source, request) {
        return Err(CallRefusal::not_run(NotRunReason::KeyMissing));
    }
    let admission = AdmissionGuard::obtain(source, request).await;
    let admission = admission.map_err(CallRefusal::overloaded)?;
    let is_once = source.route.semantics == CallSemantics::AtMostOnce;
    let grant = match request.key.as_deref().filter(|_| is_once) {
        Some(key) => {
            let deadline = request.received_at + source.route.deadline_ms;
            Some(context.claims.obtain(request, key, deadline).await?)
        }
        None => None,
    };
    Ok(CallPermit { admission, grant })
}

fn needs_key(source: &RoutingSource, request: &CallerRequest) -> bool {
    let is_once = source.route.semantics == CallSemantics::AtMostOnce;
    is_once && request.key.is_none() && source.route.keyless == MissingKeyPolicy::Refuse
}

fn find_source(
    context: &TrafficContext,
    request: &CallerRequest,
) -> Result<RoutingSource, Box<CallRefusal>> {
    if context.state.phase() >= StopPhase::Draining {
        return Err(CallRefusal::not_run(NotRunReason::Stopping));
    }
    if context.state.requests() >= context.settings.limits.max_streams {
        return Err(CallRefusal::overloaded(FULL_RETRY_AFTER));
    }
    let snapshot = context.state.snapshot();
    if !snapshot.is_ready {
        return Err(CallRefusal::not_run(NotRunReason::NotReady));
    }
    let source = snapshot
        .find(&request.facts())
        .ok_or_else(|| refuse_unrouted(request))?;
    let limit = source.pool.row.limits.max_body_bytes;
    if request.body.len() as u64 > limit {
        let detail = format!("the body is larger than the pool's limit of {limit} bytes");
        let refusal = CallRefusal::with_detail(NotRunReason::BadRequest, &detail);
        return Err(refusal.with_status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    Ok(source)
}

fn refuse_unrouted(request: &CallerRequest) -> Box<CallRefusal> {
    let facts = request.facts();
    let model = facts
        .model
        .map(|model| format!(" and model {model:?}"))
        .unwrap_or_default();
    let detail = format!(
        "no route takes {} {} of customer {:?}{model}",
        facts.method, facts.path, facts.customer
    );
    CallRefusal::with_detail(NotRunReason::NoRoute, &detail)
}

/// Drives a call until its reply is ready; streams are relayed after that.
async fn drive(mut driver: CallDriver) -> CallerReply {
    let mut answer = driver.run().await;
    loop {
        let answer_head = match answer {
            Ok(head) => head,
            Err(reply) => return *reply,
        };
        if answer_head.is_event_stream() && driver.is_model_pool() {
            return relay_events(driver, answer_head);
        }
        let limit = driver.context.settings.limits.max_answer_kept_bytes;
        match read_answer(&driver, answer_head, limit).await {
            ReadAnswer::Whole(whole) => {
                driver.complete(&whole);
                return whole.into_reply();
            }
            ReadAnswer::Large(start, response) => return relay_large(driver, start, response),
            ReadAnswer::Lost(event) => answer = driver.go_on(event).await,
        }
    }
}

fn relay_events(driver: CallDriver, answer: TargetAnswer) -> CallerReply {
    let status = answer.response.status();
    let headers = super::forwarded_headers(answer.response.headers());
    let body = EventRelay::new(driver, answer).into_body();
    CallerReply {
        status,
        headers,
        body,
    }
}
