//! Log of what became of what targets said about themselves.

use briarrail_dispatch::{NoticeSource, NoticeStep, TargetKey};
use bytes::Bytes;

use super::response_class::ResponseClass;
use super::traffic_state::TrafficState;
use crate::ResponseHeaders;

impl<D> TrafficState<D> {
    /// Logs what became of the notices of targets since the last call.
    pub(super) fn log_notice_events(&self) {
        let events = self.registry.borrow_mut().take_notice_events();
        for event in events {
            self.metrics.count_notice_step(event.step.name());
            tracing::info!(
                event = "target_notice",
                target_id = event.target_id,
                target_started_ms = event.started_unix_ms,
                notice = notice_name(event.is_leaving),
                step = event.step.name(),
                source = event.step.source().map(NoticeSource::name),
            );
        }
    }

    /// Logs that a notice is passed over, because its answer may not be the one to its request.
    pub(super) fn log_unattributed_notice(
        &self,
        key: TargetKey,
        request_id: &Bytes,
        marks: &ResponseHeaders,
        class: ResponseClass,
    ) {
        if !marks.is_leaving && marks.pause.is_none() {
            return;
        }
        let step = NoticeStep::OtherRun.name();
        self.metrics.count_notice_step(step);
        let registry = self.registry.borrow();
        let record = registry.get(key).map(|target| &target.record);
        tracing::info!(
            event = "target_notice",
            target_id = record.map(|record| record.id.as_str()),
            target_started_ms = record.map(|record| record.started_unix_ms),
            request_id = %String::from_utf8_lossy(request_id),
            notice = notice_name(marks.is_leaving),
            step,
            source = NoticeSource::Answer.name(),
            cause = ?class,
        );
    }
}

const fn notice_name(is_leaving: bool) -> &'static str {
    if is_leaving { "leaving" } else { "paused" }
}
