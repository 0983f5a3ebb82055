//! Routing of whole requests.

use std::sync::Arc;

use briarrail_model::{CallSemantics, KeylessRule};
use briarrail_outcome::{NotRunReason, OutcomeReply, RequestOutcome};

use http::StatusCode;

use super::answer_relay::{ReadAnswer, read_answer, relay_large};
use super::event_relay::EventRelay;
use super::{AdmissionGuard, CallDriver, CallerReply, CallerRequest, TargetAnswer, TrafficEngine};
use crate::state::{RoutingSource, StopPhase};

/// Serves one request and returns the reply for its caller.
pub(crate) async fn serve_call(engine: &Arc<TrafficEngine>, request: CallerRequest) -> CallerReply {
    let source = match find_source(engine, &request) {
        Ok(source) => source,
        Err(reply) => return *reply,
    };
    let request = Arc::new(request);
    if needs_key(&source, &request) {
        return CallerReply::not_run(NotRunReason::KeyMissing);
    }
    let admission = match AdmissionGuard::obtain(&source, &request).await {
        Ok(admission) => admission,
        Err(retry_after) => return CallerReply::overloaded(retry_after),
    };
    if source.route.semantics == CallSemantics::Idempotent {
        return drive(CallDriver::new(engine, &request, source, admission, None)).await;
    }
    // The call goes on when its caller has gone, so that its outcome is known.
    let engine = Arc::clone(engine);
    let call = tokio::spawn(async move { serve_once(&engine, request, source, admission).await });
    call.await
        .unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
}

/// Serves an at-most-once call: claims its key first, if it has one.
async fn serve_once(
    engine: &Arc<TrafficEngine>,
    request: Arc<CallerRequest>,
    source: RoutingSource,
    admission: AdmissionGuard,
) -> CallerReply {
    let record = engine.state.enter_request();
    let Some(key) = &request.key else {
        return drive(CallDriver::new(engine, &request, source, admission, None)).await;
    };
    let deadline = request.received_at + source.route.deadline_ms;
    let grant = match engine.claims.obtain(&request, key, deadline).await {
        Ok(grant) => grant,
        Err(reply) => return *reply,
    };
    let driver = CallDriver::new(engine, &request, source, admission, Some(grant));
    let reply = drive(driver).await;
    drop(record);
    reply
}

fn needs_key(source: &RoutingSource, request: &CallerRequest) -> bool {
    let is_once = source.route.semantics == CallSemantics::AtMostOnce;
    is_once && request.key.is_none() && source.route.keyless == KeylessRule::Refuse
}

fn find_source(
    engine: &TrafficEngine,
    request: &CallerRequest,
) -> Result<RoutingSource, Box<CallerReply>> {
    if engine.state.phase() >= StopPhase::Draining {
        return Err(Box::new(CallerReply::not_run(NotRunReason::Stopping)));
    }
    let snapshot = engine.state.snapshot();
    if !snapshot.is_ready {
        return Err(Box::new(CallerReply::not_run(NotRunReason::NoTarget)));
    }
    let source = snapshot
        .find(&request.facts())
        .ok_or_else(|| Box::new(refuse_unrouted(request)))?;
    let limit = source.pool.row.limits.max_body_bytes;
    if request.body.len() as u64 > limit {
        let detail = format!("the body is larger than the pool's limit of {limit} bytes");
        return Err(Box::new(refuse_large(&detail)));
    }
    Ok(source)
}

fn refuse_unrouted(request: &CallerRequest) -> CallerReply {
    let facts = request.facts();
    let model = facts
        .model
        .map(|model| format!(" and model {model:?}"))
        .unwrap_or_default();
    let detail = format!(
        "no route takes {} {} of customer {:?}{model}",
        facts.method, facts.path, facts.customer
    );
    refuse_with(NotRunReason::NoRoute, &detail)
}

fn refuse_large(detail: &str) -> CallerReply {
    let reply = refuse_with(NotRunReason::BadRequest, detail);
    CallerReply {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        ..reply
    }
}

fn refuse_with(reason: NotRunReason, detail: &str) -> CallerReply {
    let reply = OutcomeReply::from(RequestOutcome::NotRun(reason)).with_detail(detail);
    CallerReply::from_outcome(reply)
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
        let limit = driver.engine.settings.limits.max_answer_kept_bytes;
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
