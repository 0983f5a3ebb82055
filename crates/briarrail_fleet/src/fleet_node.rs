//! State machine of one router in the fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use briarrail_model::{ConfigSnapshot, HostEntry, HostName, LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::{ByteBudget, FrameCodec, HostNotice, NoticeItem, NoticeState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::pending_send::PendingSend;
use crate::{
    ConfigAdopter, EffectivePhase, FleetCounters, FleetOutput, FleetSettings, FleetView, HostKey,
    HostTable, HostView, LoadTable, PeerRing, SendId, host_code,
};

/// Number of rounds after a start in which a router asks for load records.
const MAX_LOAD_PULLS: u8 = 25;
/// Upper bound of the random delay before an outdated router reads the platform itself.
const MAX_REPAIR_JITTER_MS: u64 = 5_000;
/// Peers that must report their sequence number before a router trusts the highest one.
const PEER_QUORUM: usize = 3;

/// Schedule of the platform reads, with the reads in flight and their consecutive failures.
#[derive(Debug, Default)]
pub(crate) struct PlatformSchedule {
    pub(crate) hosts_due: MilliTime,
    pub(crate) hosts_read_in_flight: bool,
    pub(crate) hosts_failures: u32,
    pub(crate) config_due: Option<MilliTime>,
    /// The scheduled read is skipped when the sequence number exceeds this one by then.
    pub(crate) config_skip_above: Option<u64>,
    pub(crate) config_read_in_flight: bool,
    pub(crate) config_failures: u32,
    pub(crate) watch_due: MilliTime,
    pub(crate) watch_in_flight: bool,
    pub(crate) watch_failures: u32,
}

/// What this router lacks compared with its peers, and since when.
#[derive(Debug, Default)]
pub(crate) struct RepairState {
    /// Highest sequence number reported by a peer.
    pub(crate) highest_peer_sequence: u64,
    /// Highest host list revision reported by a peer.
    pub(crate) highest_peer_revision: u64,
    pub(crate) behind_since: Option<MilliTime>,
    /// Consecutive messages whose senders hold different notices.
    pub(crate) notice_mismatches: u32,
    /// Whether a configuration snapshot is requested from a peer.
    pub(crate) wants_snapshot: bool,
    /// Remaining rounds in which load records are requested from a peer.
    pub(crate) load_pulls_remaining: u8,
    /// Whether the object API has answered since the start.
    pub(crate) has_read_config: bool,
}

/// State of the broadcasts within the data centre.
#[derive(Debug, Default)]
pub(crate) struct BroadcastState {
    /// Highest sequence number that needs no further broadcast.
    pub(crate) sent_sequence: Option<u64>,
    /// Highest host list revision that needs no further broadcast.
    pub(crate) sent_revision: Option<u64>,
    pub(crate) due: Option<MilliTime>,
    /// Ids of the latest broadcasts received.
    pub(crate) seen_ids: VecDeque<u64>,
}

/// A notice with the ring distances at which it is still to be sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingNotice {
    pub(crate) notice: HostNotice,
    /// Bit `k` is set while the notice is to be sent at distance 2^k.
    pub(crate) distances: u16,
}

/// Membership, exchange and configuration of one router, as a state machine without I/O.
///
/// The caller calls [`on_tick`](Self::on_tick) about every 100 ms, passes in what it receives, and
/// executes what [`take_outputs`](Self::take_outputs) returns. Times are Unix times.
///
/// ```
/// use briarrail_fleet::{FleetNode, FleetOutput, FleetSettings};
/// use briarrail_model::{HostEntry, HostPhase, MilliTime};
/// use briarrail_peer::{KeyRing, SharedKey};
///
/// let settings = FleetSettings::new(KeyRing::new(SharedKey::new(b"secret")));
/// let entry = HostEntry {
///     name: "entry-1".into(),
///     service: "briarraild".into(),
///     data_centre: "riga-a".into(),
///     region: "riga".into(),
///     address: "10.0.0.1:7400".parse()?,
///     phase: HostPhase::Live,
///     incarnation: 1,
///     labels: Default::default(),
/// };
/// let start = MilliTime::from_millis(1_000);
/// let mut node = FleetNode::new(settings, entry, start, 7);
/// node.on_tick(start + 2_000.into_millis());
/// assert!(node.take_outputs().contains(&FleetOutput::ReadHostList { since: 0 }));
/// assert!(!node.is_ready());
/// # trait IntoMillis { fn into_millis(self) -> briarrail_model::MilliDuration; }
/// # impl IntoMillis for u64 {
/// #     fn into_millis(self) -> briarrail_model::MilliDuration {
/// #         briarrail_model::MilliDuration::from_millis(self)
/// #     }
/// # }
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct FleetNode {
    pub(crate) settings: FleetSettings,
    pub(crate) codec: FrameCodec,
    pub(crate) local_host: HostEntry,
    pub(crate) local_notice: HostNotice,
    pub(crate) is_leaving: bool,
    /// Hash of the notices that this router holds.
    pub(crate) notice_digest: u32,
    pub(crate) rng: SmallRng,
    pub(crate) budget: ByteBudget,
    pub(crate) counters: FleetCounters,
    pub(crate) hosts: HostTable,
    pub(crate) ring: PeerRing,
    ring_generation: u64,
    pub(crate) suspects: BTreeSet<HostKey>,
    pub(crate) probe_requested_at: BTreeMap<HostKey, MilliTime>,
    pub(crate) config: ConfigAdopter,
    pub(crate) loads: LoadTable,
    pub(crate) notices: BTreeMap<u32, PendingNotice>,
    pub(crate) platform: PlatformSchedule,
    pub(crate) repair: RepairState,
    pub(crate) broadcast: BroadcastState,
    pub(crate) peer_sequences: BTreeMap<HostName, u64>,
    pub(crate) round: u32,
    pub(crate) round_due: MilliTime,
    pub(crate) pending_sends: BTreeMap<SendId, PendingSend>,
    pub(crate) next_send_id: u64,
    pub(crate) last_reply_at: MilliTime,
    /// Random delay that keeps outdated routers from reading the platform all at once.
    pub(crate) repair_jitter: MilliDuration,
    pub(crate) outputs: VecDeque<FleetOutput>,
    pub(crate) observed: Arc<[HostName]>,
    pub(crate) observed_hosts_generation: u64,
    pub(crate) observed_due: MilliTime,
}

impl FleetNode {
    /// Creates the node of the router `local_host`, which carries the current incarnation.
    #[must_use]
    pub fn new(settings: FleetSettings, local_host: HostEntry, now: MilliTime, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let jitter = settings.start_jitter.as_millis().max(1);
        let mut delay = || MilliDuration::from_millis(rng.random_range(0..jitter));
        let platform = PlatformSchedule {
            hosts_due: now + delay(),
            config_due: Some(now + delay()),
            ..PlatformSchedule::default()
        };
        let interval = settings.round_interval.as_millis().max(1);
        let round_due = now + MilliDuration::from_millis(rng.random_range(0..interval));
        let repair_jitter = MilliDuration::from_millis(rng.random_range(0..MAX_REPAIR_JITTER_MS));
        let repair = RepairState {
            load_pulls_remaining: MAX_LOAD_PULLS,
            ..RepairState::default()
        };
        Self {
            codec: FrameCodec::new(settings.keys.clone()),
            local_notice: HostNotice {
                incarnation: local_host.incarnation,
                ..HostNotice::default()
            },
            is_leaving: false,
            notice_digest: 0,
            round: rng.random_range(0..64),
            rng,
            budget: ByteBudget::new(
                now,
                settings.budget_bytes_per_s,
                settings.budget_burst_bytes,
            ),
            counters: FleetCounters::default(),
            hosts: HostTable::new(local_host.region.clone()),
            ring: PeerRing::default(),
            ring_generation: 0,
            suspects: BTreeSet::new(),
            probe_requested_at: BTreeMap::new(),
            config: ConfigAdopter::default(),
            loads: LoadTable::default(),
            notices: BTreeMap::new(),
            platform,
            repair,
            broadcast: BroadcastState::default(),
            peer_sequences: BTreeMap::new(),
            round_due,
            pending_sends: BTreeMap::new(),
            next_send_id: 0,
            last_reply_at: now,
            repair_jitter,
            outputs: VecDeque::new(),
            observed: Arc::new([]),
            observed_hosts_generation: 0,
            observed_due: now,
            settings,
            local_host,
        }
    }

    /// Runs everything that is due at `now`.
    pub fn on_tick(&mut self, now: MilliTime) {
        self.refresh_ring();
        self.retry_sends(now);
        self.read_platform(now);
        self.start_broadcast(now);
        self.start_round(now);
        self.refresh_observed_targets(now);
    }

    /// Announces that this router takes no new work.
    pub fn leave(&mut self, _now: MilliTime) {
        self.is_leaving = true;
        self.local_notice.state = NoticeState::Leaving;
        self.publish_notice(host_code(&self.local_host.name), self.local_notice);
    }

    /// Handles a load that this router read from a target.
    pub fn on_load_report(&mut self, _now: MilliTime, target: &HostName, record: &LoadRecord) {
        let distances = self.ring.distance_mask();
        let refresh = self.settings.load_refresh_interval;
        self.loads
            .observe(host_code(target), record, distances, refresh);
    }

    /// Publishes a count of this router under a code that belongs to no host.
    ///
    /// Counts are distributed like load records; the caller decides which are worth the bandwidth.
    pub fn publish_count(&mut self, code: u32, record: &LoadRecord) {
        let distances = self.ring.distance_mask();
        self.loads.publish(code, record, distances);
    }

    /// Returns the latest count published under a code.
    #[must_use]
    pub fn count(&self, code: u32) -> Option<LoadRecord> {
        self.loads.get(code)
    }

    /// Takes the pending outputs, in the order in which they are to be executed.
    pub fn take_outputs(&mut self) -> VecDeque<FleetOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the active configuration, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.config.snapshot()
    }

    /// Returns the sequence number of the active configuration; 0 before the first one.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.config.sequence()
    }

    /// Returns the highest sequence number that this router or any of its peers has reported.
    #[must_use]
    pub fn highest_known_sequence(&self) -> u64 {
        self.repair.highest_peer_sequence.max(self.sequence())
    }

    /// Returns whether the router can take traffic.
    ///
    /// It needs a host list and a configuration, and must not be leaving. Since the start, the
    /// configuration must have been confirmed by a read of the object API or by a quorum of peers
    /// of which none reports a higher sequence number.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let configured = self.config.snapshot().is_some() && self.is_confirmed();
        configured && self.hosts.is_loaded() && !self.is_leaving
    }

    fn is_confirmed(&self) -> bool {
        let peers = self.ring.region_len().saturating_sub(1);
        let quorum = peers.clamp(1, PEER_QUORUM);
        let by_peers = self.peer_sequences.len() >= quorum;
        self.repair.has_read_config
            || (by_peers && self.sequence() >= self.repair.highest_peer_sequence)
    }

    /// Returns the sequence number that each peer reported last.
    #[must_use]
    pub fn peer_sequences(&self) -> &BTreeMap<HostName, u64> {
        &self.peer_sequences
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Returns the table of known hosts.
    #[must_use]
    pub fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Returns the phase of a host, if it is known.
    #[must_use]
    pub fn host_phase(&self, name: &HostName) -> Option<EffectivePhase> {
        self.hosts.phase(self.hosts.key(name)?)
    }

    /// Returns routers and targets with their phases.
    ///
    /// The result is unchanged as long as `hosts().generation()` is.
    #[must_use]
    pub fn view(&self) -> FleetView {
        let mut view = FleetView {
            revision: self.hosts.revision(),
            ..FleetView::default()
        };
        for (_, slot) in self.hosts.slots() {
            let host = HostView {
                entry: Arc::clone(&slot.entry),
                phase: slot.phase(),
            };
            let is_router = slot.entry.service == self.local_host.service;
            let list = if is_router {
                &mut view.routers
            } else {
                &mut view.targets
            };
            list.push(host);
        }
        view
    }

    /// Returns the load records, keyed by target code.
    #[must_use]
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Returns the latest load record of a target.
    #[must_use]
    pub fn load_of(&self, target: &HostName) -> Option<LoadRecord> {
        self.loads.get(host_code(target))
    }

    /// Returns the targets whose load this router reads.
    #[must_use]
    pub fn observed_targets(&self) -> &Arc<[HostName]> {
        &self.observed
    }

    /// Returns this router's rank among the relays of its data centre, or `None` if it is no relay.
    #[must_use]
    pub fn relay_rank(&self) -> Option<usize> {
        self.ring.relay_rank(self.hosts.key(&self.local_host.name)?)
    }

    /// Charges bytes that the caller spent outside the exchange, such as load reads, to the budget.
    pub fn charge_external(&mut self, bytes: usize) {
        self.budget.charge(bytes);
    }

    pub(crate) fn publish_notice(&mut self, host: u32, notice: HostNotice) {
        if let Some(key) = self.hosts.key_by_code(host) {
            self.hosts.apply_notice(key, notice);
        }
        let distances = self.ring.distance_mask();
        self.notices
            .insert(host, PendingNotice { notice, distances });
    }

    pub(crate) fn notice_item(host: u32, pending: &PendingNotice) -> NoticeItem {
        NoticeItem {
            host,
            distance_mask: pending.distances,
            notice: pending.notice,
        }
    }

    pub(crate) fn jitter(&mut self, span: MilliDuration) -> MilliDuration {
        let half = span.as_millis() / 2;
        MilliDuration::from_millis(half + self.rng.random_range(0..=half))
    }

    /// Forces the rings to be recomputed after a change of the suspects.
    pub(crate) fn reset_ring(&mut self) {
        self.ring_generation = u64::MAX;
    }

    fn refresh_ring(&mut self) {
        if self.ring_generation == self.hosts.generation() {
            return;
        }
        self.ring_generation = self.hosts.generation();
        self.notice_digest = self.hosts.notice_digest();
        let suspects = &self.suspects;
        self.ring = PeerRing::new(
            &self.hosts,
            &self.local_host,
            self.settings.relays_per_data_centre,
            suspects,
        );
    }
}
