//! Moves a stream from a silent target to another one.

use std::rc::Rc;

use briarrail_dispatch::{ReleaseKey, SendOutcome};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, RetryMachine, RetryStep};

use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::response_class::ResponseClass;
use super::stream_origin::ResumePoint;
use super::stream_progress::StreamProgress;
use super::target_send::{
    PreparedSend, SendResult, TargetResponse, TriedTargets, prepare_send, retry_time, send_prepared,
};
use super::traffic_state::TrafficState;
use crate::WireDialect;

/// Time for which a silent target keeps the request after it was sent to another one; a sound target
/// refuses within a few round trips, and two targets must not work on a request for long.
pub(super) const MAX_OVERLAP: MilliDuration = MilliDuration::from_millis(250);
/// Maximum number of targets without a connection that one search for another target tries.
pub(super) const MAX_FAILED_CONNECTS: u32 = 3;

/// How a transfer ended.
pub(crate) enum TransferEnd<D> {
    /// Another target continues the stream.
    Moved(Box<TargetResponse<D>>),
    /// The silent target was left, and the other one did not continue the stream.
    Failed(RetryStep),
}

/// Moves a stream to another target if its current one is silent.
///
/// The current target is left only once another one has the request, since a silent target may
/// still go on.
pub(crate) struct StreamTransfer<'a, D> {
    pub(crate) state: &'a Rc<TrafficState<D>>,
    pub(crate) context: &'a RequestContext,
    pub(crate) machine: &'a mut RetryMachine,
    pub(crate) tried: &'a mut TriedTargets,
    pub(crate) trace: &'a mut RequestTrace<D>,
    pub(crate) progress: &'a StreamProgress,
    /// Release that began the stream.
    pub(crate) release: ReleaseKey,
    /// Gap between events after which the target counts as silent.
    pub(crate) max_gap: MilliDuration,
}

/// The silence of a target, as seen when the search for another one began.
struct TargetSilence {
    target_id: String,
    events: u64,
    resume_at: Option<u64>,
    gap: MilliDuration,
}

impl<D> StreamTransfer<'_, D>
where
    D: WireDialect,
{
    /// Waits for silence of the current target and moves the stream; doesn't return while the
    /// stream stays where it is.
    pub(crate) async fn run(mut self) -> TransferEnd<D> {
        let mut next_search_at = self.state.clock.now();
        loop {
            self.wait_silence(next_search_at).await;
            if let Some(end) = self.search_target().await {
                return end;
            }
            next_search_at = self.state.clock.now() + self.max_gap;
        }
    }

    /// Waits until the current target is silent, at least until `not_before`.
    async fn wait_silence(&self, not_before: MilliTime) {
        loop {
            let Some(silent_at) = self.progress.silent_at(self.max_gap) else {
                self.progress.changed().await;
                continue;
            };
            let search_at = silent_at.max(not_before);
            if self.state.clock.now() >= search_at {
                return;
            }
            tokio::time::sleep_until(self.state.clock.instant(search_at)).await;
        }
    }

    /// Asks other targets to continue the stream; returns `None` if it stays where it is.
    async fn search_target(&mut self) -> Option<TransferEnd<D>> {
        let now = self.state.clock.now();
        let silence = TargetSilence {
            target_id: self.trace.target_id.clone(),
            events: self.progress.events(),
            resume_at: self.progress.resume_at(),
            gap: self.progress.gap(now),
        };
        if !self.machine.may_leave_target(silence.resume_at, now) {
            return self.stay(silence, "no attempt left");
        }
        let resume_point = silence.resume_at.map(|offset| ResumePoint {
            last_event: offset.saturating_sub(1),
            release: self.release,
        });
        let mut is_attempted = false;
        let mut failed_connects = 0;
        let mut leave_at = None;
        loop {
            let preparing = prepare_send(
                self.state,
                self.context,
                self.tried,
                resume_point,
                self.trace,
            );
            let prepared = tokio::select! {
                biased;
                () = self.progress.resumed(silence.events) => {
                    self.machine.keep_silent_target();
                    return self.stay(silence, "went on");
                }
                prepared = preparing => prepared,
            };
            let (event, retry_taken) = match prepared {
                Ok(prepared) => {
                    if !is_attempted {
                        is_attempted = true;
                        let resume_at = silence.resume_at;
                        let step = self.next_step(AttemptEvent::TargetSilent { resume_at }, false);
                        if step == RetryStep::KeepTarget {
                            return self.stay(silence, "no retry left");
                        }
                    }
                    let leave_at =
                        *leave_at.get_or_insert_with(|| self.state.clock.now() + MAX_OVERLAP);
                    let Some(result) = self.send(prepared, &silence, leave_at).await else {
                        self.machine.keep_silent_target();
                        return self.stay(silence, "went on");
                    };
                    match result {
                        SendResult::Response(response) if can_continue_stream(&response) => {
                            silence.log(self.trace, "left", "another target goes on");
                            return Some(TransferEnd::Moved(response));
                        }
                        SendResult::Response(mut response) => {
                            response.guard.record_outcome(SendOutcome::Failed);
                            (AttemptEvent::Refused { not_run: false }, false)
                        }
                        SendResult::Failed(event) => (event, false),
                        SendResult::TimedOut => (AttemptEvent::SendFailed, true),
                    }
                }
                Err(AttemptEvent::ConnectFailed)
                    if !is_attempted && failed_connects < MAX_FAILED_CONNECTS =>
                {
                    failed_connects += 1;
                    continue;
                }
                Err(_) if !is_attempted => return self.stay(silence, "no other target"),
                Err(event) => (event, false),
            };
            let is_left = self.progress.is_left();
            if is_left {
                self.machine.leave_silent_target();
            }
            let step = self.next_step(event, retry_taken);
            if is_left {
                silence.log(self.trace, "left", "another target failed");
                return Some(TransferEnd::Failed(step));
            }
            if !matches!(step, RetryStep::Resume { .. }) {
                return self.stay(silence, "no other target");
            }
        }
    }

    /// Sends the request to another target, and leaves the silent one at `leave_at`; returns `None` if
    /// that goes on before the head of the response arrives.
    async fn send(
        &mut self,
        prepared: PreparedSend<D>,
        silence: &TargetSilence,
        leave_at: MilliTime,
    ) -> Option<SendResult<D>> {
        let progress = self.progress;
        progress.set_sent(true);
        let retry_at = retry_time(self.state, self.context, &prepared, self.tried);
        let log = self.trace.start_send();
        let sending = send_prepared(self.state, self.context, retry_at, &log, prepared);
        let mut sending = std::pin::pin!(sending);
        let result = loop {
            tokio::select! {
                biased;
                () = progress.resumed(silence.events), if !progress.is_left() => break None,
                result = sending.as_mut() => break Some(result),
                () = tokio::time::sleep_until(self.state.clock.instant(leave_at)),
                    if !progress.is_left() => progress.leave(),
            }
        };
        progress.set_sent(false);
        result
    }

    /// Records that the stream stays at the silent target.
    fn stay(&mut self, silence: TargetSilence, reason: &'static str) -> Option<TransferEnd<D>> {
        silence.log(self.trace, "kept", reason);
        self.trace.target_id = silence.target_id;
        None
    }

    fn next_step(&mut self, event: AttemptEvent, retry_taken: bool) -> RetryStep {
        let mut limiter = || retry_taken || self.state.try_take_retry(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut limiter)
    }
}

impl TargetSilence {
    /// Logs what a silence led to.
    fn log<D>(&self, trace: &RequestTrace<D>, outcome: &'static str, reason: &'static str) {
        tracing::info!(
            event = "target_silent",
            request_id = %String::from_utf8_lossy(trace.request_id()),
            target_id = self.target_id,
            gap_ms = self.gap.as_millis(),
            resume_at = self.resume_at,
            sends = trace.sends,
            outcome,
            reason,
        );
    }
}

/// Returns whether a response to a resumption continues the stream.
pub(crate) fn can_continue_stream<D>(response: &TargetResponse<D>) -> bool {
    response.class == ResponseClass::Relay && response.head.status.is_success()
}
