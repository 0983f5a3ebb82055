//! Moves a stream from a silent target to another one.

use std::rc::Rc;

use briarrail_dispatch::{ReleaseKey, SendOutcome, TargetKey};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, OverlapEnd, OverlapPolicy, RetryMachine, RetryStep};

use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::response_class::ResponseClass;
use super::send_log::SendLog;
use super::stream_continuation::StreamContinuation;
use super::stream_head::StreamHead;
use super::stream_origin::ResumePoint;
use super::stream_progress::StreamProgress;
use super::target_response::TargetResponse;
use super::target_send::{PreparedSend, SendResult, prepare_send, retry_time, send_prepared};
use super::target_silence::TargetSilence;
use super::traffic_state::TrafficState;
use super::tried_targets::{TargetScope, TriedTargets};
use crate::WireDialect;

/// Limits on the time for which two targets have a request. A sound target refuses within a few round
/// trips unless it is busy, and one that answers starts its work with the head of its response.
pub(super) const OVERLAP: OverlapPolicy = OverlapPolicy {
    max_overlap: MilliDuration::from_millis(250),
    max_pause: MilliDuration::from_millis(2_000),
};
/// Maximum number of targets without a connection that one search for another target tries.
pub(super) const MAX_FAILED_CONNECTS: u32 = 3;

/// How a transfer ended.
pub(crate) enum TransferEnd<D> {
    /// Another target continues the stream.
    Moved(Box<StreamContinuation<D>>),
    /// The silent target was left, and the other one did not continue the stream.
    Failed(RetryStep),
}

/// How a search for another target ended.
enum SearchEnd<D> {
    /// The stream does not stay where it is.
    Ended(TransferEnd<D>),
    Kept,
    /// The stream stays where it is, and another target had no answer in time.
    Withdrawn {
        silent_since: MilliTime,
    },
}

/// How asking another target beside the silent one ended.
enum AskEnd<D> {
    /// The silent target went on.
    Resumed,
    /// The other target had no answer in time, and the silent one keeps the stream.
    Withdrawn,
    /// The other target goes on with the stream.
    Continued(Box<StreamContinuation<D>>),
    /// The other target does not go on with it; contains whether a retry was already taken from
    /// the budget.
    Failed(AttemptEvent, bool),
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
    /// The current target.
    pub(crate) silent_target: TargetKey,
    /// Release that began the stream.
    pub(crate) release: ReleaseKey,
    /// Head of the response that began the stream.
    pub(crate) stream_head: &'a StreamHead,
    /// Gap between events after which the target counts as silent.
    pub(crate) max_gap: MilliDuration,
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
            let searched = self.search_target().await;
            let now = self.state.clock.now();
            next_search_at = match searched {
                SearchEnd::Ended(end) => return end,
                SearchEnd::Kept => now + self.max_gap,
                SearchEnd::Withdrawn { silent_since } => OVERLAP.next_search_at(silent_since, now),
            };
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

    /// Asks other targets to continue the stream.
    async fn search_target(&mut self) -> SearchEnd<D> {
        let now = self.state.clock.now();
        let silence = TargetSilence {
            target_id: self.trace.target_id.clone(),
            target_knowledge: self.trace.target_knowledge,
            since: self.progress.waiting_since().unwrap_or(now),
            events: self.progress.events(),
            resume_at: self.progress.resume_at(),
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
        let mut overlap_end = None;
        loop {
            self.tried.set_scope(TargetScope {
                is_limited_to_returns: if is_attempted {
                    self.machine.is_return()
                } else {
                    self.machine.must_return_next()
                },
                includes_left: false,
            });
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
                    let now = self.state.clock.now();
                    let overlap_end = *overlap_end.get_or_insert_with(|| OVERLAP.end_at(now));
                    let asked = prepared.target();
                    match self.ask(prepared, &silence, overlap_end).await {
                        AskEnd::Continued(continuation) => {
                            let now = self.state.clock.now();
                            silence.log(self.trace, now, "left", "another target goes on");
                            if !self.progress.is_left() {
                                self.record_left(self.silent_target);
                            }
                            return SearchEnd::Ended(TransferEnd::Moved(continuation));
                        }
                        AskEnd::Failed(event, retry_taken) => (event, retry_taken),
                        AskEnd::Resumed => {
                            self.withdraw(asked);
                            return self.stay(silence, "went on");
                        }
                        AskEnd::Withdrawn => {
                            self.withdraw(asked);
                            let silent_since = silence.since;
                            self.stay(silence, "no answer from another target yet");
                            return SearchEnd::Withdrawn { silent_since };
                        }
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
                let now = self.state.clock.now();
                silence.log(self.trace, now, "left", "another target failed");
                return SearchEnd::Ended(TransferEnd::Failed(step));
            }
            if !matches!(step, RetryStep::Resume { .. }) {
                return self.stay(silence, "no other target");
            }
        }
    }

    /// Sends the request to another target, until the first event of its response arrives or the
    /// silent target goes on; `overlap_end` bounds the wait while the silent one may only pause.
    async fn ask(
        &mut self,
        prepared: PreparedSend<D>,
        silence: &TargetSilence,
        overlap_end: MilliTime,
    ) -> AskEnd<D> {
        let progress = self.progress;
        progress.start_ask(prepared.target());
        let retry_at = retry_time(self.state, self.context, &prepared, self.tried);
        let log = self.trace.start_send();
        let sending = send_prepared(self.state, self.context, retry_at, &log, prepared);
        let mut sending = std::pin::pin!(sending);
        let mut is_bounded = true;
        let end = loop {
            tokio::select! {
                biased;
                () = progress.resumed(silence.events), if !progress.is_left() => {
                    break AskEnd::Resumed;
                }
                result = sending.as_mut() => break match result {
                    SendResult::Response(response) => {
                        self.check_response(response, silence, overlap_end, &log).await
                    }
                    SendResult::Failed(event) => AskEnd::Failed(event, false),
                    SendResult::TimedOut(other) => {
                        self.record_left(other);
                        AskEnd::Failed(AttemptEvent::SendFailed, true)
                    }
                },
                () = tokio::time::sleep_until(self.state.clock.instant(overlap_end)),
                    if is_bounded && !progress.is_left() => {
                        // The silent target may have broken off since the wait began.
                        if progress.is_left() {
                            continue;
                        }
                        match OVERLAP.decide(silence.since, self.state.clock.now()) {
                            OverlapEnd::WithdrawOther => break AskEnd::Withdrawn,
                            OverlapEnd::KeepBoth => is_bounded = false,
                        }
                    }
            }
        };
        if matches!(end, AskEnd::Withdrawn) {
            log.record_failure("withdrawn", &"");
        }
        progress.end_ask();
        end
    }

    /// Records that a silent target was left, which may be asked again if the other one fails.
    fn record_left(&mut self, silent: TargetKey) {
        self.machine.allow_return();
        self.tried.record_left(silent);
    }

    /// Waits for the first event of a response, unless the silent target is given up before.
    ///
    /// At `overlap_end` the head of the response decides.
    async fn check_response(
        &self,
        mut response: Box<TargetResponse<D>>,
        silence: &TargetSilence,
        overlap_end: MilliTime,
        log: &SendLog<D>,
    ) -> AskEnd<D> {
        if let Err(reason) = check_continuation(&response, self.stream_head) {
            log.record_failure("not_continued", &reason);
            response.guard.record_outcome(SendOutcome::Failed);
            return AskEnd::Failed(AttemptEvent::Refused { not_run: false }, false);
        }
        let last_event = silence.resume_at.map(|offset| offset.saturating_sub(1));
        let mut continuation = Box::new(StreamContinuation::new(response, last_event));
        if self.progress.is_left() {
            return AskEnd::Continued(continuation);
        }
        let result = tokio::select! {
            biased;
            () = self.progress.resumed(silence.events) => return AskEnd::Resumed,
            result = continuation.read_first_event(self.state, self.context.deadline) => result,
            () = self.progress.left() => Ok(()),
            () = tokio::time::sleep_until(self.state.clock.instant(overlap_end)) => Ok(()),
        };
        match result {
            Ok(()) => AskEnd::Continued(continuation),
            Err(detail) => {
                log.record_failure("not_continued", &detail);
                continuation.response.guard.record_connection_loss();
                AskEnd::Failed(AttemptEvent::SendFailed, false)
            }
        }
    }

    /// Records that the request at another target was cancelled, which may be asked again.
    fn withdraw(&mut self, other: TargetKey) {
        self.machine.withdraw_attempt();
        self.tried.record_withdrawn(other);
    }

    /// Records that the stream stays at the silent target.
    fn stay(&mut self, silence: TargetSilence, reason: &'static str) -> SearchEnd<D> {
        silence.log(self.trace, self.state.clock.now(), "kept", reason);
        self.trace
            .return_to(silence.target_id, silence.target_knowledge);
        SearchEnd::Kept
    }

    fn next_step(&mut self, event: AttemptEvent, retry_taken: bool) -> RetryStep {
        let mut limiter = || retry_taken || self.state.try_take_retry(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut limiter)
    }
}

/// Checks by its head that a response to a resumption can continue the stream.
///
/// # Errors
///
/// Fails with the reason if it can't.
pub(crate) fn check_continuation<D>(
    response: &TargetResponse<D>,
    stream_head: &StreamHead,
) -> Result<(), &'static str> {
    if response.class != ResponseClass::Relay {
        return Err("the target failed");
    }
    stream_head.check_continuation(&response.head)
}
