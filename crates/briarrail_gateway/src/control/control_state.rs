//! State of the control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use briarrail_dispatch::{
    HubCandidate, RosterChange, RoutingTable, TargetRoster, ViewTracker, choose_hub,
    choose_view_sources,
};
use briarrail_model::{HostName, MilliDuration, MilliTime, StableHash, hash_pair};
use briarrail_peer::{FrameCodec, SyncRouter, TargetCount};
use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use super::roster_log::RosterLog;
use crate::telemetry::GatewayMetrics;
use crate::traffic::{ControlUpdate, SharedState};
use crate::{ProcessClock, VersionedConfig};

/// Silence after which a follower's counts no longer hold: a few rounds, scaled by its interval.
const COUNTS_WINDOW: MilliDuration = MilliDuration::from_millis(900);
/// Age from which a view of the store is too old to be passed on or relied on.
pub(crate) const VIEW_LIMIT: MilliDuration = MilliDuration::from_millis(1_400);
/// Routers that are asked for their view at once; the store hardly turns all of them away.
const VIEW_SOURCES: usize = 3;
/// Time after a question for its view for which a router reads the store; a few rounds.
const WANTED_WINDOW: MilliDuration = MilliDuration::from_millis(1_500);
/// Time for which a router counts as heard of just now.
const HEARD_WINDOW: MilliDuration = MilliDuration::from_millis(3_000);
/// First time for which a silent router is passed over.
const FIRST_AVOIDANCE: MilliDuration = MilliDuration::from_millis(2_000);
/// Longest such time.
const MAX_AVOIDANCE: MilliDuration = MilliDuration::from_millis(30_000);

/// What is known of another router.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) router: SyncRouter,
    /// When it last sent or answered a message.
    pub(crate) heard_at: Option<MilliTime>,
    pub(crate) avoided_until: Option<MilliTime>,
    /// Until when it is not asked for its view, since that was old as well.
    pub(crate) view_avoided_until: Option<MilliTime>,
    /// Silent rounds in a row.
    silences: u32,
    /// Its counts, while it follows this router.
    counts: Vec<TargetCount>,
    counts_at: Option<MilliTime>,
    /// Live routers that its counts cover.
    covered: u32,
}

/// What the followed router told last.
#[derive(Debug, Clone, Default)]
pub(crate) struct HubView {
    pub(crate) counts: Vec<TargetCount>,
    pub(crate) live: u32,
    pub(crate) told_at: MilliTime,
}

/// State of the control thread.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) own: SyncRouter,
    pub(crate) incarnation: u64,
    pub(crate) clock: ProcessClock,
    pub(crate) codec: FrameCodec,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) updates: UnboundedSender<ControlUpdate>,
    pub(crate) roster: TargetRoster,
    pub(crate) log: RosterLog,
    /// Revision of the configuration in force, and its encoded form for other routers.
    pub(crate) config: Option<(u64, Bytes)>,
    pub(crate) peers: BTreeMap<HostName, PeerState>,
    pub(crate) hub_view: Option<HubView>,
    /// When the followed router last waited for a first configuration.
    pub(crate) hub_waited_at: Option<MilliTime>,
    /// When the configuration was last known to be current.
    pub(crate) config_seen_at: Option<MilliTime>,
    /// The held view of the targets.
    pub(crate) view_order: ViewTracker,
    /// Kinds of reads that the store fails.
    pub(crate) failing_reads: BTreeSet<&'static str>,
    /// When a router that the store fails last asked for this router's view.
    pub(crate) view_wanted_at: Option<MilliTime>,
    /// Whether the list of routers is known to be newer than this router's own entry.
    pub(crate) are_routers_listed: bool,
    /// Whether the targets were listed at all.
    pub(crate) has_targets: bool,
    /// This router's own requests, as of its last round.
    pub(crate) own_counts: Vec<TargetCount>,
}

impl ControlState {
    /// Returns the age of the view of the store; none before the first whole one.
    pub(crate) fn view_age(&self, now: MilliTime) -> Option<MilliDuration> {
        let oldest = self.config_seen_at?.min(self.view_order.observed_at()?);
        Some(now.since(oldest))
    }

    /// Notes that the configuration was current at a time.
    pub(crate) fn note_config_seen(&mut self, at: MilliTime) {
        self.config_seen_at = self.config_seen_at.max(Some(at));
    }

    /// Returns whether the store failed this router's last reads.
    pub(crate) fn is_cut(&self) -> bool {
        !self.failing_reads.is_empty()
    }

    /// Returns whether a router that the store fails counts on this router's view.
    pub(crate) fn is_view_wanted(&self, now: MilliTime) -> bool {
        let is_recent = |at: MilliTime| now.since(at) <= WANTED_WINDOW;
        self.view_wanted_at.is_some_and(is_recent)
    }

    /// Returns whether the router can serve.
    pub(crate) const fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_targets
    }

    /// Takes a configuration; older ones than that in force are passed over.
    pub(crate) fn adopt_config(&mut self, read: VersionedConfig, source: &'static str) {
        let known = self.config.as_ref().map_or(0, |(revision, _)| *revision);
        if read.revision <= known {
            return;
        }
        let running = self.shared.routing_table.load();
        let running_version = running.as_ref().map_or(0, |table| table.version());
        if read.config.version < running_version {
            tracing::warn!(
                event = "config_passed_over",
                revision = read.revision,
                version = read.config.version,
                running_version,
            );
            return;
        }
        let encoded = match super::config_codec::encode_config(&read.config) {
            Ok(encoded) => encoded,
            Err(error) => {
                tracing::error!(event = "config_not_encoded", %error);
                return;
            }
        };
        tracing::info!(
            event = "config_adopted",
            source,
            revision = read.revision,
            version = read.config.version,
            routes = read.config.routes.len(),
            replaced_version = running_version,
        );
        let table = RoutingTable::new(read.config);
        self.shared.routing_table.store(Some(Arc::new(table)));
        self.config = Some((read.revision, encoded));
    }

    /// Takes roster changes and tells the traffic thread.
    pub(crate) fn apply_roster(&mut self, changes: Vec<RosterChange>, source: &'static str) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_roster_change(change, source);
        }
        self.log.record(&changes);
        self.tell_traffic(ControlUpdate::Roster(changes));
    }

    fn log_roster_change(&self, change: &RosterChange, source: &'static str) {
        match change {
            RosterChange::Upserted(row) => tracing::info!(
                event = "target_listed",
                source,
                target_id = row.id,
                service = row.service,
                address = %row.address,
                phase = ?row.phase,
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
    pub(crate) fn tell_traffic(&self, update: ControlUpdate) {
        if self.updates.send(update).is_err() {
            tracing::debug!("the traffic thread has ended");
        }
    }

    /// Notes a router from a list or from its own message.
    pub(crate) fn note_router(&mut self, router: SyncRouter) {
        if router.name == self.own.name {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&router.name) {
            if peer.router != router {
                peer.router = router;
                peer.avoided_until = None;
                peer.silences = 0;
            }
            return;
        }
        let peer = PeerState {
            router,
            heard_at: None,
            avoided_until: None,
            view_avoided_until: None,
            silences: 0,
            counts: Vec::new(),
            counts_at: None,
            covered: 0,
        };
        self.peers.insert(peer.router.name.clone(), peer);
    }

    /// Takes the counts of a router that follows this one.
    pub(crate) fn take_counts(
        &mut self,
        name: &HostName,
        counts: Vec<TargetCount>,
        covered: u32,
        now: MilliTime,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.counts = counts;
            peer.covered = covered;
            peer.counts_at = Some(now);
            peer.heard_at = Some(now);
            peer.silences = 0;
        }
    }

    /// Returns all known routers, this one included, in the order of their names.
    pub(crate) fn known_routers(&self) -> Vec<SyncRouter> {
        let others = self.peers.values().map(|peer| peer.router.clone());
        let mut routers: Vec<SyncRouter> = others.chain([self.own.clone()]).collect();
        routers.sort_by(|left, right| left.name.cmp(&right.name));
        routers
    }

    /// Replaces the known routers by a list, but for those heard of just now.
    pub(crate) fn replace_routers(&mut self, routers: Vec<SyncRouter>, now: MilliTime) {
        let listed = |name: &HostName| routers.iter().any(|router| router.name == *name);
        let is_recent = |peer: &PeerState| {
            let heard = peer.heard_at;
            heard.is_some_and(|at| now.since(at) <= HEARD_WINDOW)
        };
        self.peers
            .retain(|name, peer| listed(name) || is_recent(peer));
        for router in routers {
            self.note_router(router);
        }
    }

    /// Returns a digest of the known routers.
    pub(crate) fn routers_digest(&self) -> u64 {
        let each = |router: &SyncRouter| {
            let address = briarrail_model::hash_bytes(router.address.to_string().as_bytes());
            hash_pair(router.name.stable_hash(), address)
        };
        let routers = self.known_routers();
        let digest = routers.iter().map(each).fold(StableHash(0), hash_pair);
        digest.0
    }

    /// Returns the live routers of the fleet, as far as this router knows.
    pub(crate) fn live_routers(&self, now: MilliTime) -> u32 {
        let told = self.fresh_hub_view(now).map_or(0, |view| view.live);
        told.max(self.covered_routers(now))
    }

    /// Returns the live routers that this router's counts cover: itself and those that follow it.
    pub(crate) fn covered_routers(&self, now: MilliTime) -> u32 {
        let followers = self.followers(now).map(|(_, peer)| peer.covered);
        1 + followers.sum::<u32>()
    }

    /// Returns the number of routers that follow this one.
    pub(crate) fn follower_count(&self, now: MilliTime) -> usize {
        self.followers(now).count()
    }

    fn followers(&self, now: MilliTime) -> impl Iterator<Item = (&HostName, &PeerState)> {
        let is_fresh = move |at: MilliTime| now.since(at) <= COUNTS_WINDOW;
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| peer.counts_at.is_some_and(is_fresh))
    }

    fn fresh_hub_view(&self, now: MilliTime) -> Option<&HubView> {
        let view = self.hub_view.as_ref()?;
        Some(view).filter(|view| now.since(view.told_at) <= COUNTS_WINDOW)
    }

    /// Publishes the number of live routers, by which the fleet's budgets are divided.
    pub(crate) fn publish_router_count(&self, now: MilliTime) {
        let live = self.live_routers(now) as usize;
        let before = self.shared.live_routers.swap(live, Ordering::Relaxed);
        if before != live {
            tracing::info!(event = "live_routers", before, live);
        }
    }

    /// Returns the router to follow, or none when this router should read the store itself.
    pub(crate) fn choose_hub(&self, now: MilliTime) -> Option<SyncRouter> {
        let own = hub_candidate(&self.own, None);
        let peers = self.peers.values();
        let others: Vec<HubCandidate> = peers
            .map(|peer| hub_candidate(&peer.router, peer.avoided_until))
            .collect();
        let chosen = choose_hub(&own, &others, now)?;
        self.peers.get(&chosen.name).map(|peer| peer.router.clone())
    }

    /// Returns the routers whose view to ask for, when the store fails this one.
    pub(crate) fn choose_view_sources(&self, now: MilliTime) -> Vec<SyncRouter> {
        let peers = self.peers.values();
        let others: Vec<HubCandidate> = peers
            .map(|peer| {
                let until = peer.avoided_until.max(peer.view_avoided_until);
                hub_candidate(&peer.router, until)
            })
            .collect();
        let chosen = choose_view_sources(&others, VIEW_SOURCES, now);
        let routers = chosen
            .into_iter()
            .filter_map(|one| self.peers.get(&one.name));
        routers.map(|peer| peer.router.clone()).collect()
    }

    /// Does not ask a router for its view for some time.
    pub(crate) fn avoid_view(&mut self, name: &HostName, until: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.view_avoided_until = Some(until);
        }
    }

    /// Passes a router over for some time.
    pub(crate) fn avoid(&mut self, name: &HostName, until: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.avoided_until = Some(until);
        }
    }

    /// Passes a silent router over, longer each time.
    pub(crate) fn avoid_silent(&mut self, name: &HostName, now: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            let doubled = FIRST_AVOIDANCE.as_millis() << peer.silences.min(5);
            let length = doubled.min(MAX_AVOIDANCE.as_millis());
            peer.silences += 1;
            peer.avoided_until = Some(now + MilliDuration::from_millis(length));
        }
    }

    /// Notes that a router answered.
    pub(crate) fn note_answer(&mut self, name: &HostName, now: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.heard_at = Some(now);
            peer.silences = 0;
        }
    }

    /// Returns the counts of this router and those that follow it, but for one of them.
    pub(crate) fn covered_counts(
        &self,
        but: Option<&HostName>,
        now: MilliTime,
    ) -> Vec<TargetCount> {
        let followers = self.followers(now);
        let others = followers.filter(|(name, _)| but != Some(*name));
        let counts = others.map(|(_, peer)| peer.counts.as_slice());
        sum_counts(counts.chain([self.own_counts.as_slice()]))
    }

    /// Returns the counts of all routers but a follower and those that it covers.
    pub(crate) fn counts_for(&self, follower: &HostName, now: MilliTime) -> Vec<TargetCount> {
        let covered = self.covered_counts(Some(follower), now);
        let told = self.fresh_hub_view(now);
        let told = told.map_or(&[][..], |view| view.counts.as_slice());
        sum_counts([covered.as_slice(), told].into_iter())
    }

    /// Returns the counts of all routers but this one.
    pub(crate) fn peer_counts(&self, now: MilliTime) -> Vec<TargetCount> {
        let followers = self.followers(now).map(|(_, peer)| peer.counts.as_slice());
        let told = self.fresh_hub_view(now);
        let told = told.map_or(&[][..], |view| view.counts.as_slice());
        sum_counts(followers.chain([told]))
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

fn sum_counts<'c, I>(lists: I) -> Vec<TargetCount>
where
    I: Iterator<Item = &'c [TargetCount]>,
{
    let mut sums: BTreeMap<u32, TargetCount> = BTreeMap::new();
    for count in lists.flatten() {
        let sum = sums.entry(count.target).or_default();
        sum.target = count.target;
        sum.requests += count.requests;
        sum.good += count.good;
        sum.failed += count.failed;
    }
    sums.into_values().collect()
}
