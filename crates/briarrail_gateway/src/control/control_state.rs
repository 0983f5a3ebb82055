//! State of the control thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use briarrail_dispatch::{HubCandidate, RosterChange, RoutingTable, TargetRoster, choose_hub};
use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::{FrameCodec, SyncRouter, TargetCount};
use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use super::roster_log::RosterLog;
use crate::telemetry::GatewayMetrics;
use crate::traffic::{ControlUpdate, SharedState};
use crate::{ConfigRead, ProcessClock};

/// Silence after which a router no longer counts as live: several rounds.
const LIVE_WINDOW: MilliDuration = MilliDuration::from_millis(1_500);
/// Age from which a view of the store is too old to be passed on or relied on.
pub(crate) const VIEW_LIMIT: MilliDuration = MilliDuration::from_millis(1_100);

/// What is known of another router.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) address: SocketAddr,
    /// When it was last heard of, by a message of its own or through the hub.
    pub(crate) heard_at: Option<MilliTime>,
    pub(crate) avoided_until: Option<MilliTime>,
    pub(crate) counts: Vec<TargetCount>,
    pub(crate) counts_at: Option<MilliTime>,
    pub(crate) is_stopping: bool,
}

/// State of the control thread.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) name: HostName,
    pub(crate) address: SocketAddr,
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
    /// Whose roster changes this router follows: the hub's incarnation and sequence.
    pub(crate) hub_position: (u64, u64),
    /// When the view of the store was last known to be current, its parts apart.
    pub(crate) config_seen_at: Option<MilliTime>,
    pub(crate) targets_seen_at: Option<MilliTime>,
    /// The same by this router's own reads, which alone are passed on as current.
    pub(crate) config_read_at: Option<MilliTime>,
    pub(crate) targets_read_at: Option<MilliTime>,
    /// Until when this router follows another one, after the store failed it.
    pub(crate) own_avoided_until: Option<MilliTime>,
    /// Whether the targets were listed at all.
    pub(crate) has_targets: bool,
}

impl ControlState {
    /// Returns the age of the view of the store; none before the first whole one.
    pub(crate) fn view_age(&self, now: MilliTime) -> Option<MilliDuration> {
        let oldest = self.config_seen_at?.min(self.targets_seen_at?);
        Some(now.since(oldest))
    }

    /// Returns the age of this router's own reads; none before the first whole ones.
    pub(crate) fn read_age(&self, now: MilliTime) -> Option<MilliDuration> {
        let oldest = self.config_read_at?.min(self.targets_read_at?);
        Some(now.since(oldest))
    }

    /// Notes that the configuration was current at a time, by an own read.
    pub(crate) fn note_config_read(&mut self, at: MilliTime) {
        self.config_read_at = self.config_read_at.max(Some(at));
        self.config_seen_at = self.config_seen_at.max(Some(at));
    }

    /// Notes that the targets were current at a time, by an own read.
    pub(crate) fn note_targets_read(&mut self, at: MilliTime) {
        self.targets_read_at = self.targets_read_at.max(Some(at));
        self.targets_seen_at = self.targets_seen_at.max(Some(at));
    }

    /// Returns whether the router can serve.
    pub(crate) const fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_targets
    }

    /// Takes a configuration; older ones than that in force are passed over.
    pub(crate) fn adopt_config(&mut self, read: ConfigRead, source: &'static str) {
        let known = self.config.as_ref().map_or(0, |(revision, _)| *revision);
        if read.revision <= known {
            return;
        }
        let running = self.shared.routing.load();
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
        let encoded = match rmp_serde::to_vec_named(&read.config) {
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
        self.shared.routing.store(Some(Arc::new(table)));
        self.config = Some((read.revision, Bytes::from(encoded)));
    }

    /// Takes roster changes and tells the traffic thread.
    pub(crate) fn apply_roster(&mut self, changes: Vec<RosterChange>, source: &'static str) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            match change {
                RosterChange::Put(row) => tracing::info!(
                    event = "target_listed",
                    source,
                    target_id = row.id,
                    service = row.service,
                    address = %row.address,
                    phase = ?row.phase,
                ),
                RosterChange::Gone(id) => {
                    tracing::info!(event = "target_gone", source, target_id = id);
                }
                RosterChange::Kept(id, until) => tracing::info!(
                    event = "target_kept",
                    source,
                    target_id = id,
                    for_ms = until.since(self.clock.now()).as_millis(),
                ),
            }
        }
        self.log.record(&changes);
        self.tell_traffic(ControlUpdate::Roster(changes));
    }

    /// Sends an update to the traffic thread.
    pub(crate) fn tell_traffic(&self, update: ControlUpdate) {
        if self.updates.send(update).is_err() {
            tracing::debug!("the traffic thread has ended");
        }
    }

    /// Notes a router from the store's list or a hub's reply.
    pub(crate) fn note_router(&mut self, router: &SyncRouter, heard_at: Option<MilliTime>) {
        if router.name == self.name {
            return;
        }
        let peer = self
            .peers
            .entry(router.name.clone())
            .or_insert_with(|| PeerState {
                address: router.address,
                heard_at: None,
                avoided_until: None,
                counts: Vec::new(),
                counts_at: None,
                is_stopping: false,
            });
        if peer.address != router.address {
            peer.address = router.address;
            peer.avoided_until = None;
        }
        peer.heard_at = peer.heard_at.max(heard_at);
    }

    /// Returns the live routers, this one included.
    pub(crate) fn live_routers(&self, now: MilliTime) -> Vec<SyncRouter> {
        let is_live = |peer: &PeerState| {
            !peer.is_stopping && peer.heard_at.is_some_and(|at| now.since(at) <= LIVE_WINDOW)
        };
        let live = self.peers.iter().filter(|(_, peer)| is_live(peer));
        let own = SyncRouter {
            name: self.name.clone(),
            address: self.address,
        };
        let others = live.map(|(name, peer)| SyncRouter {
            name: name.clone(),
            address: peer.address,
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Publishes the number of live routers, by which the fleet's budgets are divided.
    pub(crate) fn publish_router_count(&self, now: MilliTime) {
        let live = self.live_routers(now).len();
        let before = self.shared.routers.swap(live, Ordering::Relaxed);
        if before != live {
            tracing::info!(event = "live_routers", before, live);
        }
    }

    /// Returns the router to ask, or none when this router should read the store itself.
    pub(crate) fn choose_hub(&self, now: MilliTime) -> Option<(HostName, SocketAddr)> {
        let own = HubCandidate {
            name: self.name.clone(),
            avoided_until: self.own_avoided_until,
        };
        let others = self.peers.iter().map(|(name, peer)| HubCandidate {
            name: name.clone(),
            avoided_until: peer.avoided_until,
        });
        let candidates: Vec<HubCandidate> = std::iter::once(own).chain(others).collect();
        let chosen = &candidates[choose_hub(&candidates, now)?];
        let peer = self.peers.get(&chosen.name)?;
        Some((chosen.name.clone(), peer.address))
    }

    /// Passes a router over for some time.
    pub(crate) fn avoid(&mut self, name: &HostName, until: MilliTime) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.avoided_until = Some(until);
        }
    }

    /// Returns the sum of the counts of all routers but one.
    pub(crate) fn counts_without(
        &self,
        name: &HostName,
        own: &[TargetCount],
        now: MilliTime,
    ) -> Vec<TargetCount> {
        let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
        let mut add = |counts: &[TargetCount]| {
            for count in counts {
                *sums.entry(count.target).or_default() += count.requests;
            }
        };
        if *name != self.name {
            add(own);
        }
        for (other, peer) in &self.peers {
            let is_fresh = peer
                .counts_at
                .is_some_and(|at| now.since(at) <= LIVE_WINDOW);
            if other != name && is_fresh {
                add(&peer.counts);
            }
        }
        let count = |(target, requests)| TargetCount { target, requests };
        sums.into_iter().map(count).collect()
    }
}
