//! State of the control thread, shared by its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use briarrail_dispatch::{
    CrashQuarantine, EvacuationLedger, GreetingState, HubCandidate, ReleaseGate, ReleaseLedger,
    RosterChange, TargetRoster, ViewTime, ViewTracker, can_precede_process, choose_hub,
    choose_view_sources,
};
use briarrail_model::{
    DataCentre, HostName, MilliDuration, MilliTime, RegionName, StableHash, hash_pair,
};
use briarrail_peer::{FrameCodec, SyncRouter};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use super::config_exchange::HeldConfig;
use super::release_admission::AdmissionCall;
use super::roster_log::RosterLog;
use super::unreadable_entries::UnreadableEntries;
use crate::fleet_counts::FleetCounts;
use crate::telemetry::GatewayMetrics;
use crate::traffic::{ControlUpdate, SharedState};
use crate::{ProcessClock, StoreRevision};

/// Maximum age of the counts of a follower or of the hub; a few syncs at the shortest interval, and
/// more than one at the longest. Older counts are ignored, and a follower with older counts is not
/// counted as live.
const MAX_COUNTS_AGE: MilliDuration = MilliDuration::from_millis(900);
/// Maximum age of a view of the store that is adopted from another router.
pub(crate) const MAX_VIEW_AGE: MilliDuration = MilliDuration::from_millis(1_400);
/// Number of routers that are asked for their view at once; it is unlikely that the store rejects
/// all of them.
const MAX_VIEW_SOURCES: usize = 3;
/// Time for which a router reads the store after another router requested its view; a few syncs.
const VIEW_REQUEST_WINDOW: MilliDuration = MilliDuration::from_millis(1_500);
/// Time after the last contact for which a router is kept although it is missing from a list.
const RECENT_CONTACT_WINDOW: MilliDuration = MilliDuration::from_millis(3_000);
/// Maximum number of routers that are called at once to make this router known.
const MAX_GREETINGS: usize = 16;
/// Time for which a router is avoided after its first failed sync.
const INITIAL_AVOIDANCE: MilliDuration = MilliDuration::from_millis(2_000);
/// Maximum time for which a router is avoided after failed syncs.
const MAX_AVOIDANCE: MilliDuration = MilliDuration::from_millis(30_000);

/// State of another router, as known to this router.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) router: SyncRouter,
    /// Time of the last message from it or of its last response.
    pub(crate) last_contact_at: Option<MilliTime>,
    /// End of the period for which it is not chosen as the hub or as a source of a view.
    pub(crate) avoided_until: Option<MilliTime>,
    /// End of the period for which it is not asked for its view, which was outdated.
    pub(crate) view_avoided_until: Option<MilliTime>,
    /// Number of consecutive failed syncs.
    failed_syncs: u32,
    /// Calls that make this router known to it.
    greeting: GreetingState,
    /// Counts that it sent as a follower of this router.
    counts: FleetCounts,
    counts_at: Option<MilliTime>,
    /// Number of live routers that its counts cover.
    counted_routers: u32,
}

/// Counts of the rest of the fleet, from the last reply of the hub.
#[derive(Debug, Clone, Default)]
pub(crate) struct HubCounts {
    pub(crate) counts: FleetCounts,
    pub(crate) live_routers: u32,
    pub(crate) received_at: MilliTime,
}

/// State of the control thread.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) local: SyncRouter,
    pub(crate) incarnation: u64,
    /// Region of each data centre of the site.
    pub(crate) regions: Arc<BTreeMap<DataCentre, RegionName>>,
    pub(crate) clock: ProcessClock,
    pub(crate) codec: FrameCodec,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) updates: UnboundedSender<ControlUpdate>,
    pub(crate) roster: TargetRoster,
    pub(crate) roster_log: RosterLog,
    /// Data centres to which no requests may go.
    pub(crate) evacuations: EvacuationLedger,
    /// Entries of the store that describe no target.
    pub(crate) unreadable_entries: UnreadableEntries,
    /// The configuration in effect, as it is passed on to other routers.
    pub(crate) config: Option<HeldConfig>,
    /// Time at which a follower was last asked for its configuration.
    pub(crate) config_requested_at: Option<MilliTime>,
    /// Router that asked for this router's configuration.
    pub(crate) config_requested_by: Option<HostName>,
    pub(crate) peers: BTreeMap<HostName, PeerState>,
    /// Whether a router of this name was listed before this process had written its entry.
    pub(crate) has_predecessor: bool,
    /// Time at which the last router was forgotten.
    pub(crate) router_left_at: Option<MilliTime>,
    pub(crate) hub_counts: Option<HubCounts>,
    /// Time of the last reply of a hub that had no view of the store yet because it was starting.
    pub(crate) hub_starting_at: Option<MilliTime>,
    /// Time at which the configuration was last known to be current.
    pub(crate) config_time: ViewTime,
    /// Age and origin of the current view of the targets.
    pub(crate) view_tracker: ViewTracker,
    /// Newest revision of the store that a reply named; a stale reply may name an older one.
    pub(crate) store_revision: Option<StoreRevision>,
    /// Time at which this router learned of the last restore of the store.
    pub(crate) restored_at: Option<MilliTime>,
    /// Kinds of store calls whose last call failed.
    pub(crate) failing_calls: BTreeSet<&'static str>,
    /// Time at which a router that cannot read the store last requested this router's view.
    pub(crate) view_requested_at: Option<MilliTime>,
    /// Whether a list of the routers has contained this router's own entry, so that the list is
    /// known to be newer than the entry.
    pub(crate) is_listed: bool,
    /// Wakes the watchers of the store when `is_listed` becomes true.
    pub(crate) listed: Rc<Notify>,
    /// Whether the targets have been listed.
    pub(crate) has_target_list: bool,
    /// This router's own counts at its last sync.
    pub(crate) local_counts: FleetCounts,
    /// Evidence of all routers on prompt parts that crash targets.
    pub(crate) quarantine: CrashQuarantine,
    /// Time from the request of the last successful sync to its reply.
    pub(crate) sync_round_trip: MilliDuration,
    /// Router that this one follows; `None` if it reads the store itself.
    pub(crate) followed: Option<SyncRouter>,
    /// Releases that the store lists; `None` until this router has read them.
    pub(crate) releases: Option<ReleaseLedger>,
    /// Releases whose targets the traffic thread knows.
    pub(crate) gate: ReleaseGate,
    /// Whether each service has had a release whose targets the traffic thread knows.
    pub(crate) has_usable_targets: bool,
    /// Wakes the task that asks for admissions when targets of a new release are listed.
    pub(crate) gate_wakeup: Rc<Notify>,
    /// Requests of other routers to be listed as users of releases.
    pub(crate) admissions: UnboundedSender<AdmissionCall>,
}

impl ControlState {
    /// Returns the highest possible age of the view of the store, or `None` if it is unknown because
    /// no current view was read yet.
    pub(crate) fn view_age(&self, now: MilliTime) -> Option<MilliDuration> {
        let config_age = self.config_time.age(now)?;
        Some(config_age.max(self.view_tracker.age(now)?))
    }

    /// Returns the time for which this router has had no view of the store, which a hub that starts
    /// has not yet either.
    pub(crate) fn time_without_view(&self, now: MilliTime) -> MilliDuration {
        now.since(self.hub_starting_at.unwrap_or_default())
    }

    /// Records the revision that the store or another router named, and notices a restore of the
    /// store.
    pub(crate) fn observe_store_revision(&mut self, found: StoreRevision, source: &'static str) {
        let Some(known) = self.store_revision else {
            self.store_revision = Some(found);
            return;
        };
        if found.epoch > known.epoch {
            tracing::warn!(
                event = "store_restored",
                source,
                epoch = found.epoch,
                revision = found.number,
                previous_epoch = known.epoch,
                previous_revision = known.number,
            );
            self.store_revision = Some(found);
            let now = self.clock.now();
            self.restored_at = Some(now);
            self.roster.observe_restore(now);
        } else if found.epoch == known.epoch && found.number > known.number {
            self.store_revision = Some(found);
        }
    }

    /// Returns the newest known epoch of the store; 0 if there is none.
    pub(crate) fn store_epoch(&self) -> u64 {
        self.store_revision.map_or(0, |revision| revision.epoch)
    }

    /// Records that a list of the routers contains this router's own entry.
    pub(crate) fn record_listed(&mut self) {
        self.is_listed = true;
        self.listed.notify_waiters();
    }

    /// Returns whether the last store call of at least one kind failed.
    pub(crate) fn has_failing_calls(&self) -> bool {
        !self.failing_calls.is_empty()
    }

    /// Returns whether a router that cannot read the store recently requested this router's view.
    pub(crate) fn is_view_requested(&self, now: MilliTime) -> bool {
        let is_recent = |at: MilliTime| now.since(at) <= VIEW_REQUEST_WINDOW;
        self.view_requested_at.is_some_and(is_recent)
    }

    /// Returns whether the router can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.is_some()
            && self.has_target_list
            && self.knows_evacuations()
            && self.has_usable_targets
    }

    /// Logs roster changes and forwards them to the traffic thread.
    pub(crate) fn apply_roster_changes(
        &mut self,
        changes: Vec<RosterChange>,
        source: &'static str,
    ) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_roster_change(change, source);
        }
        self.roster_log.record(&changes);
        let changes = self.withhold_targets(changes);
        self.send_update(ControlUpdate::Roster(changes));
    }

    fn log_roster_change(&self, change: &RosterChange, source: &'static str) {
        match change {
            RosterChange::Upserted(record) => tracing::info!(
                event = "target_listed",
                source,
                target_id = record.id,
                service = record.service,
                version = record.version,
                address = %record.address,
                phase = ?record.phase,
            ),
            RosterChange::Removed(id) => {
                tracing::info!(event = "target_gone", source, target_id = id);
            }
            RosterChange::Retained(id, until) => tracing::info!(
                event = "target_kept",
                source,
                target_id = id,
                for_ms = until.since(self.clock.now()).as_millis(),
            ),
        }
    }

    /// Sends an update to the traffic thread.
    pub(crate) fn send_update(&self, update: ControlUpdate) {
        if self.updates.send(update).is_err() {
            tracing::debug!("the traffic thread has exited");
        }
    }

    /// Adds or updates a router, from a list or from its own message.
    pub(crate) fn upsert_router(&mut self, router: SyncRouter, now: MilliTime) {
        if router.name == self.local.name {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&router.name) {
            if peer.router != router {
                peer.router = router;
                peer.avoided_until = None;
                peer.failed_syncs = 0;
            }
            return;
        }
        let peer = PeerState {
            router,
            last_contact_at: None,
            avoided_until: None,
            view_avoided_until: None,
            failed_syncs: 0,
            greeting: GreetingState::heard(now),
            counts: FleetCounts::default(),
            counts_at: None,
            counted_routers: 0,
        };
        self.peers.insert(peer.router.name.clone(), peer);
    }

    /// Records the counts of a follower.
    pub(crate) fn record_follower_counts(
        &mut self,
        name: &HostName,
        counts: FleetCounts,
        counted_routers: u32,
        now: MilliTime,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.counts = counts;
            peer.counted_routers = counted_routers;
            peer.counts_at = Some(now);
            peer.last_contact_at = Some(now);
            peer.failed_syncs = 0;
            peer.greeting = GreetingState::heard(now);
        }
    }

    /// Returns the routers of this data centre to which this router makes itself known now, and
    /// records the calls; none if it is not the hub of the data centre or has no current view.
    pub(crate) fn take_greetings(&mut self, now: MilliTime) -> Vec<SyncRouter> {
        let is_current = self.view_age(now).is_some_and(|age| age <= MAX_VIEW_AGE);
        if !is_current || !self.is_local_hub(now) {
            return Vec::new();
        }
        let data_centre = self.local.data_centre.clone();
        let peers = self.peers.values_mut();
        let silent = peers
            .filter(|peer| peer.router.data_centre == data_centre && peer.greeting.is_due(now));
        silent
            .take(MAX_GREETINGS)
            .map(|peer| {
                peer.greeting.record_greeting(now);
                peer.router.clone()
            })
            .collect()
    }

    /// Returns whether the other routers of the data centre follow this one.
    fn is_local_hub(&self, now: MilliTime) -> bool {
        let local = hub_candidate(&self.local, None);
        let peers = self.peers.values();
        let in_data_centre = peers.filter(|peer| peer.router.data_centre == local.data_centre);
        let others: Vec<HubCandidate> = in_data_centre
            .map(|peer| hub_candidate(&peer.router, peer.avoided_until))
            .collect();
        choose_hub(&local, &others, now).is_none()
    }

    /// Returns all known routers including this one, sorted by name.
    pub(crate) fn known_routers(&self) -> Vec<SyncRouter> {
        let others = self.peers.values().map(|peer| peer.router.clone());
        let mut routers: Vec<SyncRouter> = others.chain([self.local.clone()]).collect();
        routers.sort_by(|left, right| left.name.cmp(&right.name));
        routers
    }

    /// Replaces the known routers by a list, except those with recent contact.
    pub(crate) fn replace_routers(&mut self, routers: Vec<SyncRouter>, now: MilliTime) {
        let listed = |name: &HostName| routers.iter().any(|router| router.name == *name);
        let is_recent = |peer: &PeerState| {
            let contact = peer.last_contact_at;
            contact.is_some_and(|at| now.since(at) <= RECENT_CONTACT_WINDOW)
        };
        self.retain_routers(|name, peer| listed(name) || is_recent(peer), now);
        for router in routers {
            self.upsert_router(router, now);
        }
    }

    /// Forgets the routers that are not to be kept.
    pub(crate) fn retain_routers<F>(&mut self, is_kept: F, now: MilliTime)
    where
        F: Fn(&HostName, &PeerState) -> bool,
    {
        let count = self.peers.len();
        self.peers.retain(|name, peer| is_kept(name, peer));
        if self.peers.len() < count {
            self.router_left_at = Some(now);
        }
    }

    /// Returns whether a router may have been lost with streams under way: the one before this process,
    /// or one that is listed no more.
    pub(crate) fn knows_lost_router(&self, now: MilliTime) -> bool {
        let predecessor = self.has_predecessor.then(MilliTime::default);
        let mut losses = predecessor.into_iter().chain(self.router_left_at);
        losses.any(|at| can_precede_process(now.since(at)))
    }

    /// Returns a digest of the known routers.
    pub(crate) fn routers_digest(&self) -> u64 {
        let router_hash = |router: &SyncRouter| {
            let address = briarrail_model::hash_bytes(router.address.to_string().as_bytes());
            hash_pair(router.name.stable_hash(), address)
        };
        let routers = self.known_routers();
        let digest = routers
            .iter()
            .map(router_hash)
            .fold(StableHash(0), hash_pair);
        digest.0
    }

    /// Returns the number of live routers of the fleet, as far as this router knows.
    pub(crate) fn live_routers(&self, now: MilliTime) -> u32 {
        let reported = self.fresh_hub_counts(now).map_or(0, |hub| hub.live_routers);
        reported.max(self.counted_routers(now))
    }

    /// Returns the number of live routers that this router's counts cover: itself and those that
    /// follow it.
    pub(crate) fn counted_routers(&self, now: MilliTime) -> u32 {
        let followers = self.followers(now).map(|(_, peer)| peer.counted_routers);
        1 + followers.sum::<u32>()
    }

    /// Returns the number of routers that follow this one directly.
    pub(crate) fn follower_count(&self, now: MilliTime) -> usize {
        self.followers(now).count()
    }

    fn followers(&self, now: MilliTime) -> impl Iterator<Item = (&HostName, &PeerState)> {
        let is_fresh = move |at: MilliTime| now.since(at) <= MAX_COUNTS_AGE;
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| peer.counts_at.is_some_and(is_fresh))
    }

    fn fresh_hub_counts(&self, now: MilliTime) -> Option<&HubCounts> {
        let hub = self.hub_counts.as_ref()?;
        Some(hub).filter(|hub| now.since(hub.received_at) <= MAX_COUNTS_AGE)
    }

    /// Publishes the number of live routers, among which the budgets of the fleet are divided.
    pub(crate) fn publish_router_count(&self, now: MilliTime) {
        let live = self.live_routers(now) as usize;
        let before = self.shared.live_routers.swap(live, Ordering::Relaxed);
        if before != live {
            tracing::info!(event = "live_routers", before, live);
        }
    }

    /// Returns the router to follow, or `None` if this router should read the store itself.
    pub(crate) fn choose_hub(&self, now: MilliTime) -> Option<SyncRouter> {
        let local = hub_candidate(&self.local, None);
        let peers = self.peers.values();
        let others: Vec<HubCandidate> = peers
            .map(|peer| hub_candidate(&peer.router, peer.avoided_until))
            .collect();
        let chosen = choose_hub(&local, &others, now)?;
        self.peers.get(&chosen.name).map(|peer| peer.router.clone())
    }

    /// Returns the router that writes origins of this router's streams to the store, or `None` if
    /// this one does.
    pub(crate) fn origin_recorder(&self) -> Option<&SyncRouter> {
        let followed = self.followed.as_ref();
        followed.filter(|hub| hub.data_centre == self.local.data_centre)
    }

    /// Returns the routers to ask for their view while this router cannot read the store.
    pub(crate) fn choose_view_sources(&self, now: MilliTime) -> Vec<SyncRouter> {
        let peers = self.peers.values();
        let others: Vec<HubCandidate> = peers
            .map(|peer| {
                let until = peer.avoided_until.max(peer.view_avoided_until);
                hub_candidate(&peer.router, until)
            })
            .collect();
        let chosen = choose_view_sources(&others, MAX_VIEW_SOURCES, now);
        let routers = chosen
            .into_iter()
            .filter_map(|candidate| self.peers.get(&candidate.name));
        routers.map(|peer| peer.router.clone()).collect()
    }

    /// Stops asking a router for its view until a time.
    pub(crate) fn avoid_view(&mut self, name: &HostName, until: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.view_avoided_until = Some(until);
        }
    }

    /// Stops choosing a router until a time.
    pub(crate) fn avoid(&mut self, name: &HostName, until: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.avoided_until = Some(until);
        }
    }

    /// Stops choosing a router after a failed sync; the time doubles with each consecutive failure.
    pub(crate) fn avoid_unresponsive(&mut self, name: &HostName, now: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            let backoff = INITIAL_AVOIDANCE.as_millis() << peer.failed_syncs.min(5);
            let duration = backoff.min(MAX_AVOIDANCE.as_millis());
            peer.failed_syncs += 1;
            peer.avoided_until = Some(now + MilliDuration::from_millis(duration));
        }
    }

    /// Records a response of a router.
    pub(crate) fn record_contact(&mut self, name: &HostName, now: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.last_contact_at = Some(now);
            peer.failed_syncs = 0;
        }
    }

    /// Returns the summed counts of this router and its followers, except one of them.
    pub(crate) fn covered_counts(
        &self,
        excluded: Option<&HostName>,
        now: MilliTime,
    ) -> FleetCounts {
        let followers = self.followers(now);
        let others = followers.filter(|(name, _)| excluded != Some(*name));
        let counts = others.map(|(_, peer)| &peer.counts);
        FleetCounts::sum(counts.chain([&self.local_counts]))
    }

    /// Returns the summed counts of all routers except a follower and those that its counts cover.
    pub(crate) fn counts_for(&self, follower: &HostName, now: MilliTime) -> FleetCounts {
        let covered = self.covered_counts(Some(follower), now);
        let hub = self.fresh_hub_counts(now).map(|hub| &hub.counts);
        FleetCounts::sum([&covered].into_iter().chain(hub))
    }

    /// Returns the summed counts of all routers except this one.
    pub(crate) fn peer_counts(&self, now: MilliTime) -> FleetCounts {
        let followers = self.followers(now).map(|(_, peer)| &peer.counts);
        let hub = self.fresh_hub_counts(now).map(|hub| &hub.counts);
        FleetCounts::sum(followers.chain(hub))
    }
}

fn hub_candidate(router: &SyncRouter, avoided_until: Option<MilliTime>) -> HubCandidate {
    HubCandidate {
        name: router.name.clone(),
        data_centre: router.data_centre.clone(),
        capacity: router.capacity,
        avoided_until,
    }
}
