//! The owner of buckets on one router.

use std::collections::BTreeMap;

use briarrail_model::MilliTime;
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};

use crate::bucket_owner::BucketOwner;
use crate::{ClaimAction, ClaimBucket, ClaimMessageId, ClaimSettings, StoreCallId, StoreReply};

/// The owner of buckets on one router.
///
/// It answers claim requests and reports of the buckets that the router is a candidate for. All
/// of them are driven by three kinds of input: messages, results of store calls, and
/// [`tick`](Self::tick) at [`next_wake`](Self::next_wake). Each returns what is to be done.
///
/// Safety does not rest on there being one owner, nor on clocks: a claim is granted only after a
/// conditional update of the bucket's head has made it durable.
///
/// ```
/// use briarrail_model::{MilliDuration, MilliTime, StableHash};
/// use briarrail_outcome::{
///     ClaimAction, ClaimBucket, ClaimKey, ClaimCoordinator, ClaimSettings, ClaimMessageId, StoreReply,
///     StoreVersion,
/// };
/// use briarrail_peer::{ClaimReply, ClaimRequest};
///
/// let mut owner = ClaimCoordinator::new(ClaimSettings::default(), 7);
/// owner.set_candidate_buckets((0..64).map(ClaimBucket).collect());
/// let key = ClaimKey::new("saltworks", "01a3185c-ad9d-7b79-8707-070707070707").unwrap();
/// let now = MilliTime::from_millis(0x01a3_185c_ad9d);
/// let request = ClaimRequest {
///     key: key.into_string(),
///     body_hash: StableHash(1),
///     router: "gongoni-1".into(),
///     attempt_id: 1,
///     wait_ms: MilliDuration::from_millis(450),
/// };
/// // The owner reads the bucket's head, then writes it with the claim, then grants.
/// let mut actions = owner.handle_claim(ClaimMessageId(1), request, now);
/// for reply in [StoreReply::Missing, StoreReply::Written { version: StoreVersion(1) }] {
///     let Some(ClaimAction::Call { id, .. }) = actions.pop() else { unreachable!() };
///     actions = owner.handle_store_reply(id, reply, now);
/// }
/// let reply = ClaimReply::Granted { fencing: 1 };
/// assert_eq!(actions, [ClaimAction::Reply { message_id: ClaimMessageId(1), reply }]);
/// ```
#[derive(Debug, Clone)]
pub struct ClaimCoordinator {
    settings: ClaimSettings,
    writer: u64,
    candidate_for: Vec<ClaimBucket>,
    buckets: BTreeMap<ClaimBucket, BucketOwner>,
    calls: BTreeMap<StoreCallId, ClaimBucket>,
    next_call: u64,
}

impl ClaimCoordinator {
    /// Makes an owner that is no candidate for any bucket yet.
    ///
    /// `writer` must be drawn at random for each process, since names of segments hold it.
    #[must_use]
    pub const fn new(settings: ClaimSettings, writer: u64) -> Self {
        Self {
            settings,
            writer,
            candidate_for: Vec::new(),
            buckets: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &ClaimSettings {
        &self.settings
    }

    /// Sets the buckets that this router is a candidate for.
    ///
    /// Messages for other buckets are answered with `NotOwner`. What waits already is finished.
    /// A stopping router sets none and goes on until [`is_idle`](Self::is_idle).
    pub fn set_candidate_buckets(&mut self, buckets: Vec<ClaimBucket>) {
        self.candidate_for = buckets;
        self.drop_unused();
    }

    /// Returns whether nothing waits and no store call is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(BucketOwner::is_idle)
    }

    /// Returns the number of messages that wait for a reply.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buckets.values().map(BucketOwner::pending).sum()
    }

    /// Takes a claim request.
    pub fn handle_claim(
        &mut self,
        message_id: ClaimMessageId,
        request: ClaimRequest,
        now: MilliTime,
    ) -> Vec<ClaimAction> {
        let bucket = ClaimBucket::of_key(&request.key, self.settings.buckets);
        let mut actions = Vec::new();
        let Some(owner) = self.owner(bucket) else {
            let reply = ClaimReply::NotOwner;
            return vec![ClaimAction::Reply { message_id, reply }];
        };
        let (owner, settings) = owner;
        owner.add_claim(message_id, request, settings, now, &mut actions);
        self.drive(bucket, now, &mut actions);
        actions
    }

    /// Takes the outcome of a claim.
    pub fn handle_report(
        &mut self,
        message_id: ClaimMessageId,
        report: ClaimReport,
        now: MilliTime,
    ) -> Vec<ClaimAction> {
        let bucket = ClaimBucket::of_key(&report.key, self.settings.buckets);
        let mut actions = Vec::new();
        let Some((owner, _)) = self.owner(bucket) else {
            let reply = ReportReply::NotOwner;
            return vec![ClaimAction::Acknowledge { message_id, reply }];
        };
        owner.add_report(message_id, report, now, &mut actions);
        self.drive(bucket, now, &mut actions);
        actions
    }

    /// Takes the result of a store call.
    pub fn handle_store_reply(
        &mut self,
        id: StoreCallId,
        reply: StoreReply,
        now: MilliTime,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let Some(bucket) = self.calls.remove(&id) else {
            return actions;
        };
        if let Some(owner) = self.buckets.get_mut(&bucket) {
            owner.handle_reply(reply, &self.settings, now, &mut actions);
        }
        self.drive(bucket, now, &mut actions);
        self.drop_unused();
        actions
    }

    /// Does what is due at the present time.
    pub fn tick(&mut self, now: MilliTime) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let buckets: Vec<ClaimBucket> = self.buckets.keys().copied().collect();
        for bucket in buckets {
            self.drive(bucket, now, &mut actions);
        }
        actions
    }

    /// Returns the time at which [`tick`](Self::tick) is next due.
    #[must_use]
    pub fn next_wake(&self) -> Option<MilliTime> {
        let wakes = self.buckets.values();
        wakes
            .filter_map(|owner| owner.next_wake(&self.settings))
            .min()
    }

    fn owner(&mut self, bucket: ClaimBucket) -> Option<(&mut BucketOwner, &ClaimSettings)> {
        if !self.candidate_for.contains(&bucket) {
            return None;
        }
        let writer = self.writer;
        let owner = self
            .buckets
            .entry(bucket)
            .or_insert_with(|| BucketOwner::new(bucket, writer));
        Some((owner, &self.settings))
    }

    fn drive(&mut self, bucket: ClaimBucket, now: MilliTime, actions: &mut Vec<ClaimAction>) {
        let Some(owner) = self.buckets.get_mut(&bucket) else {
            return;
        };
        owner.expire(&self.settings, now, actions);
        if let Some(call) = owner.next_call(&self.settings, now, actions) {
            let id = StoreCallId(self.next_call);
            self.next_call += 1;
            self.calls.insert(id, bucket);
            actions.push(ClaimAction::Call { id, call });
        }
    }

    fn drop_unused(&mut self) {
        let candidate_for = &self.candidate_for;
        self.buckets
            .retain(|bucket, owner| candidate_for.contains(bucket) || !owner.is_idle());
    }
}
