//! Acquisition of claims on idempotency keys, and delivery of their outcomes.

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
/// Time allowed for the transit of a reply, beyond the wait that the owner is given.
const REPLY_TRANSIT_TIME: Duration = Duration::from_millis(250);

/// Requests claims from the owners of their buckets and reports the outcomes to them.
#[derive(Debug, Clone)]
pub(crate) struct ClaimManager {
    /// Entry of this router in the host list.
    pub(crate) local_router: HostEntry,
    /// Codec that seals and opens messages between routers.
    pub(crate) codec: FrameCodec,
    /// HTTP client for requests to other routers.
    pub(crate) client: reqwest::Client,
    /// Events to the control thread, which handles the buckets that this router owns.
    pub(crate) control_events: mpsc::Sender<ControlEvent>,
    /// State shared with the control thread.
    pub(crate) state: Arc<SharedState>,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
    /// Number of buckets; must be equal on all routers.
    pub(crate) bucket_count: u32,
    /// Outcomes that no owner has recorded yet.
    pub(crate) report_backlog: Arc<ReportBacklog>,
    /// Maximum wait for a claim.
    pub(crate) max_wait: MilliDuration,
}

/// A granted claim, whose outcome must be reported.
#[derive(Debug)]
pub(crate) struct ClaimGrant {
    /// Fencing token that is sent to the target with the request.
    pub(crate) fencing: u64,
    client: ClaimClient,
}

/// Router that owns a bucket.
enum BucketOwner {
    Local,
    Remote(HostEntry),
}

impl ClaimManager {
    /// Acquires the claim on the idempotency key of a request.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be sent. The refusal holds the recorded answer of an earlier
    /// call or the outcome.
    pub(crate) async fn acquire(
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
                    self.request_claim(&client, bucket, candidate, delay).await
                }
                ClaimStep::Send { fencing } => return Ok(ClaimGrant { fencing, client }),
                ClaimStep::Replay(answer) => {
                    return Err(CallRefusal::replayed(replayed_reply(answer)));
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

    /// Queues the outcome of a granted claim for delivery to an owner of its bucket.
    pub(crate) fn report(&self, grant: &ClaimGrant, outcome: ClaimOutcome) {
        self.report_backlog
            .add(grant.client.report(outcome), self.clock.now());
    }

    /// Returns the number of outcomes that no owner has recorded yet.
    pub(crate) fn unrecorded_count(&self) -> usize {
        self.report_backlog.len()
    }

    /// Delivers queued outcomes to the bucket owners; never returns.
    pub(crate) async fn deliver_reports(self) {
        loop {
            self.report_backlog.wait_until_due(self.clock).await;
            for due in self.report_backlog.take_due(self.clock.now()) {
                let manager = self.clone();
                tokio::spawn(async move {
                    let reply = manager.send_report(&due).await;
                    manager
                        .report_backlog
                        .handle_reply(due.id, reply, manager.clock.now());
                });
            }
        }
    }

    async fn request_claim(
        &self,
        client: &ClaimClient,
        bucket: ClaimBucket,
        candidate: usize,
        delay: MilliDuration,
    ) -> ClaimEvent {
        tokio::time::sleep(Duration::from(delay)).await;
        let now = self.clock.now();
        let request = client.request(now);
        let wait = Duration::from(client.deadline().since(now)) + REPLY_TRANSIT_TIME;
        match self.find_owner(bucket, candidate) {
            None => ClaimEvent::Undelivered,
            Some(BucketOwner::Local) => self.request_local_claim(request, wait).await,
            Some(BucketOwner::Remote(owner)) => {
                let kinds = (MessageKind::ClaimRequest, MessageKind::ClaimReply);
                let reply = self
                    .exchange(&owner, PeerPath::Claim, kinds, request, wait)
                    .await;
                reply.map_or_else(|event| event, ClaimEvent::Reply)
            }
        }
    }

    async fn request_local_claim(&self, request: ClaimRequest, wait: Duration) -> ClaimEvent {
        let (sender, receiver) = oneshot::channel();
        if self
            .control_events
            .send(ControlEvent::Claim(request, sender))
            .await
            .is_err()
        {
            return ClaimEvent::Undelivered;
        }
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(reply)) => ClaimEvent::Reply(reply),
            Ok(Err(_)) => ClaimEvent::ReplyLost,
            Err(_) => ClaimEvent::Cancelled,
        }
    }

    async fn send_report(&self, due: &DueReport) -> Option<ReportReply> {
        let bucket = ClaimBucket::of_key(&due.report.key, self.bucket_count);
        match self.find_owner(bucket, due.candidate)? {
            BucketOwner::Local => {
                let (sender, receiver) = oneshot::channel();
                let event = ControlEvent::Report(due.report.clone(), sender);
                self.control_events.send(event).await.ok()?;
                tokio::time::timeout(REPORT_TIMEOUT, receiver)
                    .await
                    .ok()?
                    .ok()
            }
            BucketOwner::Remote(owner) => {
                let kinds = (MessageKind::ClaimReport, MessageKind::ReportReply);
                let path = PeerPath::Report;
                let report = due.report.clone();
                self.exchange(&owner, path, kinds, report, REPORT_TIMEOUT)
                    .await
                    .ok()
            }
        }
    }

    /// Returns a candidate owner of a bucket among the live routers.
    ///
    /// The rank wraps around if fewer candidates are live.
    fn find_owner(&self, bucket: ClaimBucket, candidate: usize) -> Option<BucketOwner> {
        let snapshot = self.state.snapshot();
        let routers = &snapshot.routers;
        let candidates =
            bucket.owner_candidates(routers.iter().map(|router| router.name.stable_hash()));
        let live: Vec<_> = candidates.into_iter().flatten().collect();
        let index = *live.get(candidate % live.len().max(1))?;
        let owner = &routers[index];
        if owner.name == self.local_router.name {
            return Some(BucketOwner::Local);
        }
        Some(BucketOwner::Remote(owner.clone()))
    }

    async fn exchange<Q, R>(
        &self,
        owner: &HostEntry,
        path: PeerPath,
        (request_kind, reply_kind): (MessageKind, MessageKind),
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
            .seal(request_kind, &envelope)
            .map_err(|_| ClaimEvent::Undelivered)?;
        let reply = post_frame(&self.client, owner.address, path, frame, timeout).await;
        let frame: Bytes = reply.map_err(|error| transport_error_event(&error))?;
        let opened = self
            .codec
            .open::<R>(reply_kind, &self.local_router.name, &frame);
        let envelope = opened.map_err(|_| ClaimEvent::ReplyLost)?;
        Ok(envelope.body)
    }
}

fn transport_error_event(error: &reqwest::Error) -> ClaimEvent {
    if error.is_connect() || error.is_builder() {
        ClaimEvent::Undelivered
    } else {
        ClaimEvent::ReplyLost
    }
}

/// Returns the reply that replays a recorded answer; a header marks a body that was not stored.
fn replayed_reply(answer: ClaimAnswer) -> CallerReply {
    let is_body_stored = answer.body.is_some();
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK);
    let reply = CallerReply {
        status,
        headers: http::HeaderMap::new(),
        body: ReplyBody::Complete(answer.body.unwrap_or_default()),
    };
    let content_type = answer
        .content_type
        .unwrap_or_else(|| "application/json".to_owned());
    let reply = reply
        .with_header("content-type", &content_type)
        .with_header("x-briarrail-outcome", RequestOutcome::Answered.as_header())
        .with_header("x-briarrail-repeated", "true");
    if is_body_stored {
        return reply;
    }
    reply.with_header("x-briarrail-body", "not-kept")
}
