//! State machine for all buckets of one router.

use std::collections::BTreeMap;

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};

use crate::bucket_owner::BucketOwner;
use crate::{ClaimAction, ClaimBucket, ClaimMessageId, ClaimSettings, StoreCallId, StoreReply};

/// State machine that grants claims and records their outcomes on one router.
///
/// It handles claim requests and reports of the buckets that the router is a candidate for. There
/// are three kinds of input: messages, results of store calls, and [`tick`](Self::tick), which is
/// due at [`next_wake`](Self::next_wake). Each returns the actions to carry out.
///
/// Safety depends neither on a bucket having a single owner nor on clocks: a claim is granted only
/// after a conditional write of the bucket's head has made it durable.
///
/// ```
/// use briarrail_model::{MilliDuration, MilliTime, StableHash};
/// use briarrail_outcome::{
///     ClaimAction, ClaimBucket, ClaimCoordinator, ClaimKey, ClaimMessageId, ClaimSettings,
///     StoreReply, StoreVersion,
/// };
/// use briarrail_peer::{ClaimReply, ClaimRequest};
///
/// let mut coordinator = ClaimCoordinator::new(ClaimSettings::default(), 7);
/// coordinator.set_candidate_buckets((0..64).map(ClaimBucket).collect());
/// let key = ClaimKey::new("saltworks", "01a3185c-ad9d-7b79-8707-070707070707").unwrap();
/// let now = MilliTime::from_millis(0x01a3_185c_ad9d);
/// let request = ClaimRequest {
///     key: key.into_string(),
///     body_hash: StableHash(1),
///     router: "gongoni-1".into(),
///     attempt_id: 1,
///     wait_ms: MilliDuration::from_millis(450),
/// };
/// // Reads the bucket's head, writes it with the new claim, then grants the claim.
/// let mut actions = coordinator.handle_claim(ClaimMessageId(1), request, now);
/// for reply in [StoreReply::Missing, StoreReply::Written { version: StoreVersion(1) }] {
///     let Some(ClaimAction::Call { id, .. }) = actions.pop() else { unreachable!() };
///     actions = coordinator.handle_store_reply(id, reply, now);
/// }
/// let reply = ClaimReply::Granted { fencing: 1 };
/// assert_eq!(actions, [ClaimAction::Reply { message_id: ClaimMessageId(1), reply }]);
/// ```
#[derive(Debug, Clone)]
pub struct ClaimCoordinator {
    settings: ClaimSettings,
    writer_id: u64,
    candidate_buckets: Vec<ClaimBucket>,
    owners: BTreeMap<ClaimBucket, BucketOwner>,
    in_flight_calls: BTreeMap<StoreCallId, ClaimBucket>,
    next_call_id: u64,
}

impl ClaimCoordinator {
    /// Creates a coordinator that isn't a candidate for any bucket.
    ///
    /// `writer_id` must be drawn at random for each process, since it makes segment names unique.
    #[must_use]
    pub const fn new(settings: ClaimSettings, writer_id: u64) -> Self {
        Self {
            settings,
            writer_id,
            candidate_buckets: Vec::new(),
            owners: BTreeMap::new(),
            in_flight_calls: BTreeMap::new(),
            next_call_id: 0,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &ClaimSettings {
        &self.settings
    }

    /// Sets the buckets that this router is a candidate for.
    ///
    /// New messages for other buckets get the reply `NotOwner`; pending ones are still processed.
    /// To shut down, set no buckets and continue until [`is_idle`](Self::is_idle).
    pub fn set_candidate_buckets(&mut self, buckets: Vec<ClaimBucket>) {
        self.candidate_buckets = buckets;
        self.drop_idle_owners();
    }

    /// Returns whether no message is pending and no store call is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.owners.values().all(BucketOwner::is_idle)
    }

    /// Returns the number of messages whose reply is pending.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.owners.values().map(BucketOwner::pending).sum()
    }

    /// Handles a claim request.
    pub fn handle_claim(
        &mut self,
        message_id: ClaimMessageId,
        request: ClaimRequest,
        now: MilliTime,
    ) -> Vec<ClaimAction> {
        let bucket = ClaimBucket::of_key(&request.key, self.settings.buckets);
        let mut actions = Vec::new();
        let Some((owner, settings)) = self.owner_mut(bucket) else {
            let reply = ClaimReply::NotOwner;
            return vec![ClaimAction::Reply { message_id, reply }];
        };
        owner.add_claim(message_id, request, settings, now, &mut actions);
        self.drive(bucket, now, &mut actions);
        actions
    }

    /// Handles a report of the outcome of a claim.
    pub fn handle_report(
        &mut self,
        message_id: ClaimMessageId,
        report: ClaimReport,
        now: MilliTime,
    ) -> Vec<ClaimAction> {
        let bucket = ClaimBucket::of_key(&report.key, self.settings.buckets);
        let mut actions = Vec::new();
        let Some((owner, _)) = self.owner_mut(bucket) else {
            let reply = ReportReply::NotOwner;
            return vec![ClaimAction::Acknowledge { message_id, reply }];
        };
        owner.add_report(message_id, report, now, &mut actions);
        self.drive(bucket, now, &mut actions);
        actions
    }

    /// Handles the result of a store call.
    pub fn handle_store_reply(
        &mut self,
        id: StoreCallId,
        reply: StoreReply,
        now: MilliTime,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let Some(bucket) = self.in_flight_calls.remove(&id) else {
            return actions;
        };
        if let Some(owner) = self.owners.get_mut(&bucket) {
            owner.handle_reply(reply, &self.settings, now, &mut actions);
        }
        self.drive(bucket, now, &mut actions);
        self.drop_idle_owners();
        actions
    }

    /// Times out claims and starts store calls that are due.
    pub fn tick(&mut self, now: MilliTime) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let buckets: Vec<ClaimBucket> = self.owners.keys().copied().collect();
        for bucket in buckets {
            self.drive(bucket, now, &mut actions);
        }
        actions
    }

    /// Returns the time at which [`tick`](Self::tick) is next due.
    #[must_use]
    pub fn next_wake(&self) -> Option<MilliTime> {
        let wakes = self.owners.values();
        wakes
            .filter_map(|owner| owner.next_wake(&self.settings))
            .min()
    }

    fn owner_mut(&mut self, bucket: ClaimBucket) -> Option<(&mut BucketOwner, &ClaimSettings)> {
        if !self.candidate_buckets.contains(&bucket) {
            return None;
        }
        let writer_id = self.writer_id;
        let owner = self
            .owners
            .entry(bucket)
            .or_insert_with(|| BucketOwner::new(bucket, writer_id));
        Some((owner, &self.settings))
    }

    fn drive(&mut self, bucket: ClaimBucket, now: MilliTime, actions: &mut Vec<ClaimAction>) {
        let Some(owner) = self.owners.get_mut(&bucket) else {
            return;
        };
        owner.time_out(&self.settings, now, actions);
        if let Some(call) = owner.next_call(&self.settings, now, actions) {
            let id = StoreCallId(self.next_call_id);
            self.next_call_id += 1;
            self.in_flight_calls.insert(id, bucket);
            actions.push(ClaimAction::Call { id, call });
        }
    }

    fn drop_idle_owners(&mut self) {
        let candidate_buckets = &self.candidate_buckets;
        self.owners
            .retain(|bucket, owner| candidate_buckets.contains(bucket) || !owner.is_idle());
    }
}
