//! Claims on idempotency keys, seen from the entry router.

use std::sync::Arc;
use std::time::Duration;

use briarrail_model::{HostEntry, MilliDuration, MilliTime};
use briarrail_outcome::{
    ClaimBucket, ClaimClient, ClaimEvent, ClaimKey, ClaimStep, DueReport, NotRunReason,
    RequestOutcome,
};
use briarrail_peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, Envelope, FrameCodec, MessageKind, ReportReply,
};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use uuid::Uuid;

use super::{CallRefusal, CallerReply, CallerRequest, ReplyBody, ReportBacklog};
use crate::control::{ControlEvent, PeerPath, post_frame};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a reply may travel beyond the owner's own limit.
const REPLY_GRACE: Duration = Duration::from_millis(250);

/// Asks the owners of claim buckets, and reports to them.
#[derive(Debug, Clone)]
pub(crate) struct ClaimManager {
    /// This router, as the host list shows it.
    pub(crate) local_router: HostEntry,
    /// Seals and opens the messages.
    pub(crate) codec: FrameCodec,
    /// Client towards other routers.
    pub(crate) client: reqwest::Client,
    /// The control thread, which owns this router's buckets.
    pub(crate) control_events: mpsc::Sender<ControlEvent>,
    /// State shared with the control thread.
    pub(crate) state: Arc<SharedState>,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
    /// Number of buckets; equal on all routers.
    pub(crate) bucket_count: u32,
    /// Outcomes that are not recorded yet.
    pub(crate) report_backlog: Arc<ReportBacklog>,
    /// Longest wait for a claim.
    pub(crate) max_wait: MilliDuration,
}

/// A granted claim; its outcome has to be reported.
#[derive(Debug)]
pub(crate) struct ClaimGrant {
    /// Fencing number that goes to the target with the request.
    pub(crate) fencing: u64,
    client: ClaimClient,
}

/// Where a message for a bucket goes.
enum OwnerRoute {
    Local,
    Remote(HostEntry),
}

impl ClaimManager {
    /// Obtains the claim on a request's key.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that must not be sent: the recorded answer of an earlier
    /// call, or an outcome.
    pub(crate) async fn obtain(
        &self,
        request: &CallerRequest,
        key: &str,
        deadline: MilliTime,
    ) -> Result<ClaimGrant, Box<CallRefusal>> {
        let Some(key) = ClaimKey::new(request.customer.as_str(), key) else {
            return Err(CallRefusal::not_run(NotRunReason::KeyInvalid));
        };
        let bucket = ClaimBucket::of_key(key.as_str(), self.bucket_count);
        let now = self.clock.now();
        let claim = ClaimRequest {
            key: key.into_string(),
            body_hash: request.content_hash(),
            router: self.local_router.name.to_string(),
            attempt_id: Uuid::new_v4().as_u128(),
            wait_ms: self.max_wait.min(deadline.since(now)),
        };
        let mut client = ClaimClient::new(claim, now);
        let mut step = client.start();
        loop {
            let event = match step {
                ClaimStep::Ask { candidate, delay } => {
                    self.ask(&client, bucket, candidate, delay).await
                }
                ClaimStep::Send { fencing } => return Ok(ClaimGrant { fencing, client }),
                ClaimStep::Replay(answer) => {
                    return Err(CallRefusal::repeated(repeat_answer(answer)));
                }
                ClaimStep::Finish { outcome, release } => {
                    if release {
                        let report = client.report(ClaimOutcome::NotRun);
                        self.report_backlog.add(report, self.clock.now());
                    }
                    return Err(CallRefusal::from_outcome(outcome));
                }
                ClaimStep::Release | ClaimStep::Ignore => ClaimEvent::Cancelled,
            };
            step = client.handle(event, self.clock.now());
        }
    }

    /// Queues the outcome of a granted claim until an owner has recorded it.
    pub(crate) fn report(&self, grant: &ClaimGrant, outcome: ClaimOutcome) {
        self.report_backlog
            .add(grant.client.report(outcome), self.clock.now());
    }

    /// Returns the outcomes that are not recorded yet.
    pub(crate) fn unrecorded_count(&self) -> usize {
        self.report_backlog.len()
    }

    /// Delivers queued outcomes until the manager is dropped.
    pub(crate) async fn deliver_reports(self) {
        loop {
            self.report_backlog.wait_until_due(self.clock).await;
            for due in self.report_backlog.take_due(self.clock.now()) {
                let manager = self.clone();
                tokio::spawn(async move {
                    let reply = manager.send_report(&due).await;
                    manager
                        .report_backlog
                        .handle(due.id, reply, manager.clock.now());
                });
            }
        }
    }

    async fn ask(
        &self,
        client: &ClaimClient,
        bucket: ClaimBucket,
        candidate: usize,
        after: MilliDuration,
    ) -> ClaimEvent {
        tokio::time::sleep(Duration::from(after)).await;
        let now = self.clock.now();
        let request = client.request(now);
        let wait = Duration::from(client.deadline().since(now)) + REPLY_GRACE;
        match self.route(bucket, candidate) {
            None => ClaimEvent::Undelivered,
            Some(OwnerRoute::Local) => self.ask_own(request, wait).await,
            Some(OwnerRoute::Remote(owner)) => {
                let kind = (MessageKind::ClaimRequest, MessageKind::ClaimReply);
                let reply = self
                    .exchange(&owner, PeerPath::Claim, kind, request, wait)
                    .await;
                reply.map_or_else(|event| event, ClaimEvent::Reply)
            }
        }
    }

    async fn ask_own(&self, request: ClaimRequest, wait: Duration) -> ClaimEvent {
        let (sender, answered) = oneshot::channel();
        if self
            .control_events
            .send(ControlEvent::Claim(request, sender))
            .await
            .is_err()
        {
            return ClaimEvent::Undelivered;
        }
        match tokio::time::timeout(wait, answered).await {
            Ok(Ok(reply)) => ClaimEvent::Reply(reply),
            Ok(Err(_)) => ClaimEvent::ReplyLost,
            Err(_) => ClaimEvent::Cancelled,
        }
    }

    async fn send_report(&self, due: &DueReport) -> Option<ReportReply> {
        let bucket = ClaimBucket::of_key(&due.report.key, self.bucket_count);
        match self.route(bucket, due.candidate)? {
            OwnerRoute::Local => {
                let (sender, answered) = oneshot::channel();
                let event = ControlEvent::Report(due.report.clone(), sender);
                self.control_events.send(event).await.ok()?;
                tokio::time::timeout(REPORT_TIMEOUT, answered)
                    .await
                    .ok()?
                    .ok()
            }
            OwnerRoute::Remote(owner) => {
                let kind = (MessageKind::ClaimReport, MessageKind::ReportReply);
                let path = PeerPath::Report;
                let report = due.report.clone();
                self.exchange(&owner, path, kind, report, REPORT_TIMEOUT)
                    .await
                    .ok()
            }
        }
    }

    /// Returns the candidate of a bucket among the live routers.
    fn route(&self, bucket: ClaimBucket, candidate: usize) -> Option<OwnerRoute> {
        let snapshot = self.state.snapshot();
        let routers = &snapshot.routers;
        let candidates =
            bucket.owner_candidates(routers.iter().map(|router| router.name.stable_hash()));
        let present: Vec<_> = candidates.into_iter().flatten().collect();
        let index = *present.get(candidate % present.len().max(1))?;
        let owner = &routers[index];
        if owner.name == self.local_router.name {
            return Some(OwnerRoute::Local);
        }
        Some(OwnerRoute::Remote(owner.clone()))
    }

    async fn exchange<Q, R>(
        &self,
        owner: &HostEntry,
        path: PeerPath,
        (asked, answered): (MessageKind, MessageKind),
        body: Q,
        timeout: Duration,
    ) -> Result<R, ClaimEvent>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let envelope = Envelope {
            from: self.local_router.name.clone(),
            incarnation: self.local_router.incarnation,
            to: owner.name.clone(),
            body,
        };
        let frame = self
            .codec
            .seal(asked, &envelope)
            .map_err(|_| ClaimEvent::Undelivered)?;
        let reply = post_frame(&self.client, owner.address, path, frame, timeout).await;
        let frame: Bytes = reply.map_err(|error| transport_event(&error))?;
        let opened = self
            .codec
            .open::<R>(answered, &self.local_router.name, &frame);
        let envelope = opened.map_err(|_| ClaimEvent::ReplyLost)?;
        Ok(envelope.body)
    }
}

fn transport_event(error: &reqwest::Error) -> ClaimEvent {
    if error.is_connect() || error.is_builder() {
        ClaimEvent::Undelivered
    } else {
        ClaimEvent::ReplyLost
    }
}

/// Returns the recorded answer of an earlier call; one without a body says so.
fn repeat_answer(answer: ClaimAnswer) -> CallerReply {
    let is_kept = answer.body.is_some();
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK);
    let reply = CallerReply {
        status,
        headers: http::HeaderMap::new(),
        body: ReplyBody::Whole(answer.body.unwrap_or_default()),
    };
    let content_type = answer
        .content_type
        .unwrap_or_else(|| "application/json".to_owned());
    let reply = reply
        .with_header("content-type", &content_type)
        .with_header("x-briarrail-outcome", RequestOutcome::Answered.as_header())
        .with_header("x-briarrail-repeated", "true");
    if is_kept {
        return reply;
    }
    reply.with_header("x-briarrail-body", "not-kept")
}
