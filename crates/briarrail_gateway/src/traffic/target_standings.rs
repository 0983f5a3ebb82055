//! What targets may get, as the traffic thread learns it and tells it to the log.

use briarrail_dispatch::{
    AskedRun, RefusalCause, SendDenial, SendNeed, StandingChange, TargetKey, TargetLifetime,
    TargetNotice, TargetPause,
};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::NotRunReason;
use bytes::Bytes;
use http::StatusCode;

use super::request_context::RequestContext;
use super::response_class::ResponseClass;
use super::stream_origin::ResumePoint;
use super::traffic_state::TrafficState;
use crate::fleet_counts::FleetCounts;
use crate::net::HttpConnection;
use crate::{PauseNotice, ResponseHeaders};

/// Source of a change that an answer of the target brought to this router.
const ANSWER_SOURCE: &str = "answer";
/// Source of a change that the other routers told.
const EXCHANGE_SOURCE: &str = "exchange";
/// Source of a change that came with time, such as the end of a pause.
const TIME_SOURCE: &str = "time";
/// Source of a change that the store's list of targets brought.
pub(super) const STORE_SOURCE: &str = "store";

impl<D> TrafficState<D> {
    /// Returns why no target may get a request, if all that could serve it have asked for a pause.
    pub(crate) fn pause_cause(&self, context: &RequestContext) -> Option<RefusalCause> {
        let need = context.need(context.resume_point);
        let cause = self.denial_cause(&context.service, &need)?;
        matches!(cause, RefusalCause::TargetsPaused(_)).then_some(cause)
    }

    /// Returns the cause of the refusal of a request that did not run.
    pub(crate) fn not_run_cause(
        &self,
        context: &RequestContext,
        reason: NotRunReason,
    ) -> RefusalCause {
        let need = context.need(context.resume_point);
        if let Some(cause) = self.cold_refusal(&context.service, &need) {
            return cause;
        }
        match self.denial_cause(&context.service, &need) {
            Some(cause @ RefusalCause::TargetsPaused(_)) => cause,
            Some(cause) if reason != NotRunReason::TargetRefused => cause,
            Some(_) | None => RefusalCause::AtCapacity(context.objective),
        }
    }

    /// Returns the cause of a refusal if no target of a service may get a request.
    pub(crate) fn denial_cause(&self, service: &str, need: &SendNeed<'_>) -> Option<RefusalCause> {
        let now = self.clock.now();
        let denial = self.registry.borrow().service_denial(service, need, now)?;
        Some(match denial {
            SendDenial::Paused { until } => RefusalCause::TargetsPaused(until.since(now)),
            _ => RefusalCause::NoTarget,
        })
    }

    /// Returns why a target that was chosen for a request may not get it any more.
    ///
    /// What is known of the target can change while its connection is opened.
    pub(crate) fn late_denial(
        &self,
        key: TargetKey,
        lifetime: TargetLifetime,
        context: &RequestContext,
        resume_point: Option<ResumePoint>,
    ) -> Option<SendDenial> {
        let registry = self.registry.borrow();
        let is_same = |known: TargetLifetime| known == lifetime;
        if !registry
            .get(key)
            .is_some_and(|target| is_same(target.lifetime))
        {
            return Some(SendDenial::Gone);
        }
        registry.denial(key, &context.need(resume_point), self.clock.now())
    }

    /// Records what a target says of itself with the answer to a request.
    ///
    /// A late answer of another request, or one without the request's identifier, says nothing.
    pub(crate) fn record_marks(
        &self,
        key: TargetKey,
        asked: AskedRun,
        request_id: &Bytes,
        marks: &ResponseHeaders,
        class: ResponseClass,
        status: StatusCode,
    ) {
        let now = self.clock.now();
        if let Some((running, waiting)) = marks.load {
            let mut registry = self.registry.borrow_mut();
            registry.record_reported_load(key, running, waiting, now);
        }
        if matches!(
            class,
            ResponseClass::WrongTarget | ResponseClass::Invalid(_)
        ) {
            self.log_unattributed_notice(key, request_id, marks, class);
            return;
        }
        self.record_rate_limit(key, marks.rate_limit);
        self.record_cold(key, marks.cold_left);
        if marks.request_id.as_ref() != Some(request_id) {
            self.log_unattributed_notice(key, request_id, marks, class);
            return;
        }
        if marks.is_leaving {
            self.record_notice(key, asked, TargetNotice::Leaving, now);
        }
        let pause = marks
            .pause
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        if let Some(pause) = pause {
            self.record_pause(key, asked, pause, now);
        }
    }

    fn record_pause(&self, key: TargetKey, asked: AskedRun, notice: PauseNotice, now: MilliTime) {
        let pause = match notice {
            PauseNotice::Seconds(seconds) => TargetPause::from_secs(seconds, now),
            PauseNotice::Unreadable => None,
        };
        if let Some(pause) = pause {
            self.record_notice(key, asked, TargetNotice::Paused(pause), now);
            return;
        }
        if let Some(target) = self.registry.borrow().get(key) {
            tracing::warn!(
                event = "target_pause_ignored",
                target_id = target.record.id,
                service = target.record.service,
                notice = ?notice,
            );
        }
    }

    fn record_notice(&self, key: TargetKey, asked: AskedRun, notice: TargetNotice, now: MilliTime) {
        self.registry
            .borrow_mut()
            .record_notice(key, asked, notice, now);
        self.log_notice_events();
        self.report_standing(key, ANSWER_SOURCE, now);
    }

    /// Records what other routers heard from targets about themselves, and reports what has changed
    /// since the last exchange.
    pub(super) fn review_standings(&self, counts: &FleetCounts, now: MilliTime) {
        let keys = || -> Vec<TargetKey> {
            let registry = self.registry.borrow();
            registry.iter().map(|(key, _)| key).collect()
        };
        for key in keys() {
            self.report_standing(key, TIME_SOURCE, now);
        }
        if counts.leaving.is_empty() && counts.pauses.is_empty() {
            return;
        }
        let routers = self.fleet_size.get().routers();
        {
            let mut registry = self.registry.borrow_mut();
            registry.record_leaving(&counts.leaving, now);
            registry.record_pauses(&counts.pauses, routers, now);
        }
        self.log_notice_events();
        for key in keys() {
            self.report_standing(key, EXCHANGE_SOURCE, now);
        }
    }

    /// Logs and counts a change of what a target may get, and closes its idle connections if it will
    /// get no more requests.
    pub(super) fn report_standing(&self, key: TargetKey, source: &'static str, now: MilliTime) {
        let mut registry = self.registry.borrow_mut();
        let Some(change) = registry.take_standing_change(key, now) else {
            return;
        };
        let Some(target) = registry.get(key) else {
            return;
        };
        if change.to.is_some_and(|denial| !denial.passes_soon()) {
            self.idle_connections.borrow_mut().remove_target(key);
        }
        let to = StandingChange::name(change.to);
        self.metrics
            .count_standing_change(&target.record.service, to);
        tracing::info!(
            event = "target_standing",
            target_id = target.record.id,
            service = target.record.service,
            from = StandingChange::name(change.from),
            to,
            source,
            for_ms = pause_left(change.to, now).map(MilliDuration::as_millis),
        );
    }

    /// Keeps a connection for another request, unless its target will get none or is listed at another
    /// address by now.
    pub(super) fn keep_connection(
        &self,
        key: TargetKey,
        connection: HttpConnection,
        keep_alive: Option<MilliDuration>,
    ) {
        let now = self.clock.now();
        let registry = self.registry.borrow();
        let denial = registry.denial(key, &SendNeed::ANY, now);
        let target = registry.get(key);
        let is_there = target.is_some_and(|target| target.record.address == connection.address());
        if is_there && denial.is_none_or(SendDenial::passes_soon) {
            let mut pool = self.idle_connections.borrow_mut();
            pool.put(key, connection, keep_alive, now);
        }
    }
}

fn pause_left(denial: Option<SendDenial>, now: MilliTime) -> Option<MilliDuration> {
    match denial {
        Some(SendDenial::Paused { until }) => Some(until.since(now)),
        _ => None,
    }
}
