//! State machine of one claim on the entry router.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::{ClaimOutcome, ClaimReply, ClaimReport, ClaimRequest};

use crate::{ClaimEvent, ClaimStep, NotRunReason, OWNER_CANDIDATES, RequestOutcome, UnknownReason};

const ASK_BACKOFF_STEP: MilliDuration = MilliDuration::from_millis(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientPhase {
    Waiting,
    Granted,
    Ended,
}

/// State machine of one claim on the entry router; it alone decides whether a grant is used.
///
/// A request is sent to a target only on [`ClaimStep::Send`], which is returned at most once and
/// never after the claim has ended. A grant that arrives after the end leads to
/// [`ClaimStep::Release`]. This holds even if replies of the bucket owner are late or duplicated,
/// or if the bucket has two owners.
///
/// ```
/// use briarrail_model::{MilliDuration, MilliTime, StableHash};
/// use briarrail_outcome::{ClaimClient, ClaimEvent, ClaimStep};
/// use briarrail_peer::{ClaimReply, ClaimRequest};
///
/// let request = ClaimRequest {
///     key: "saltworks\u{1f}01a3185c-ad9d-7b79-8707-070707070707".into(),
///     body_hash: StableHash(1),
///     router: "gongoni-1".into(),
///     attempt_id: 1,
///     wait_ms: MilliDuration::from_millis(450),
/// };
/// let now = MilliTime::from_millis(0);
/// let mut client = ClaimClient::new(request, now);
/// assert!(matches!(client.start(), ClaimStep::Ask { candidate: 0, .. }));
/// let step = client.handle(ClaimEvent::Cancelled, client.deadline());
/// assert!(matches!(step, ClaimStep::Finish { release: true, .. }));
/// let late = ClaimEvent::Reply(ClaimReply::Granted { fencing: 1 });
/// assert_eq!(client.handle(late, client.deadline()), ClaimStep::Release);
/// ```
#[derive(Debug, Clone)]
pub struct ClaimClient {
    request: ClaimRequest,
    deadline: MilliTime,
    phase: ClientPhase,
    ask_count: usize,
    /// Whether a claim request may have reached an owner.
    may_be_delivered: bool,
}

impl ClaimClient {
    /// Creates the state machine of a claim whose deadline is `request.wait_ms` from now.
    ///
    /// The attempt id must be drawn at random for each call that a router accepts.
    #[must_use]
    pub fn new(request: ClaimRequest, now: MilliTime) -> Self {
        Self {
            deadline: now + request.wait_ms,
            request,
            phase: ClientPhase::Waiting,
            ask_count: 0,
            may_be_delivered: false,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.ask_count = 1;
        ClaimStep::Ask {
            candidate: 0,
            delay: MilliDuration::ZERO,
        }
    }

    /// Returns the claim request to send to a candidate, with the remaining wait.
    #[must_use]
    pub fn request(&self, now: MilliTime) -> ClaimRequest {
        let mut request = self.request.clone();
        request.wait_ms = self.deadline.since(now);
        request
    }

    /// Returns the time at which the caller must pass [`ClaimEvent::Cancelled`].
    #[must_use]
    pub const fn deadline(&self) -> MilliTime {
        self.deadline
    }

    /// Builds the report of the claim's outcome.
    #[must_use]
    pub fn report(&self, outcome: ClaimOutcome) -> ClaimReport {
        ClaimReport {
            key: self.request.key.clone(),
            attempt_id: self.request.attempt_id,
            outcome,
        }
    }

    /// Handles an event and returns the next step.
    pub fn handle(&mut self, event: ClaimEvent, now: MilliTime) -> ClaimStep {
        if self.phase != ClientPhase::Waiting {
            return self.handle_late(&event);
        }
        if event != ClaimEvent::Undelivered {
            self.may_be_delivered = true;
        }
        if event == ClaimEvent::Cancelled || now >= self.deadline {
            return self.give_up();
        }
        match event {
            ClaimEvent::Reply(reply) => self.handle_reply(reply),
            ClaimEvent::Undelivered | ClaimEvent::ReplyLost => self.ask_next(),
            ClaimEvent::Cancelled => self.give_up(),
        }
    }

    /// Handles an event that arrives after the claim was granted or has ended.
    ///
    /// A duplicate grant is ignored, since it is already in use. A grant after the end is
    /// released.
    fn handle_late(&self, event: &ClaimEvent) -> ClaimStep {
        let is_grant = matches!(event, ClaimEvent::Reply(ClaimReply::Granted { .. }));
        if is_grant && self.phase == ClientPhase::Ended {
            return ClaimStep::Release;
        }
        ClaimStep::Ignore
    }

    fn handle_reply(&mut self, reply: ClaimReply) -> ClaimStep {
        match reply {
            ClaimReply::Granted { fencing } => {
                self.phase = ClientPhase::Granted;
                ClaimStep::Send { fencing }
            }
            ClaimReply::Answered(answer) => {
                self.phase = ClientPhase::Ended;
                ClaimStep::Replay(answer)
            }
            ClaimReply::InDoubt => {
                self.finish(RequestOutcome::Unknown(UnknownReason::EarlierCall), false)
            }
            ClaimReply::KeyReused => {
                self.finish(RequestOutcome::NotRun(NotRunReason::KeyReused), false)
            }
            ClaimReply::Expired => {
                self.finish(RequestOutcome::NotRun(NotRunReason::KeyExpired), false)
            }
            ClaimReply::KeyInvalid => {
                self.finish(RequestOutcome::NotRun(NotRunReason::KeyInvalid), false)
            }
            ClaimReply::Unavailable { .. } => self.give_up(),
            ClaimReply::NotOwner => self.ask_next(),
        }
    }

    fn ask_next(&mut self) -> ClaimStep {
        let candidate = self.ask_count % OWNER_CANDIDATES;
        let rounds = (self.ask_count / OWNER_CANDIDATES) as u64;
        self.ask_count += 1;
        ClaimStep::Ask {
            candidate,
            delay: MilliDuration::from_millis(ASK_BACKOFF_STEP.as_millis() * rounds),
        }
    }

    fn give_up(&mut self) -> ClaimStep {
        let outcome = RequestOutcome::NotRun(NotRunReason::ClaimUnavailable);
        self.finish(outcome, self.may_be_delivered)
    }

    fn finish(&mut self, outcome: RequestOutcome, release: bool) -> ClaimStep {
        self.phase = ClientPhase::Ended;
        ClaimStep::Finish { outcome, release }
    }
}
