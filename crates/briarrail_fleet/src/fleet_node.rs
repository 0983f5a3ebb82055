//! One router's part in the fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use briarrail_model::{ConfigSnapshot, HostEntry, HostName, LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::{ByteBudget, FrameCodec, HostNotice, NoticeItem, NoticeState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::pending_send::PendingSend;
use crate::{
    ConfigAdopter, FleetCounters, FleetOutput, FleetSettings, FleetView, HostKey, HostTable,
    HostView, LoadTable, PeerRing, SendId, ViewPhase, host_code,
};

/// Rounds in which a router asks for the load records after its start.
const LOAD_PULLS: u8 = 25;
const LONGEST_DELAY_MS: u64 = 5_000;
/// Peers that must have named their sequence number before a router trusts the highest of them.
const PEER_QUORUM: usize = 3;

/// When the platform is read next.
#[derive(Debug, Default)]
pub(crate) struct PlatformClock {
    pub(crate) hosts_due: MilliTime,
    pub(crate) hosts_reading: bool,
    pub(crate) hosts_failures: u32,
    pub(crate) config_due: Option<MilliTime>,
    /// Sequence number above which the read that is due is not needed any more.
    pub(crate) config_unless_above: Option<u64>,
    pub(crate) config_reading: bool,
    pub(crate) config_failures: u32,
    pub(crate) watch_due: MilliTime,
    pub(crate) watching: bool,
    pub(crate) watch_failures: u32,
}

/// What this router knows to be behind in, and since when.
#[derive(Debug, Default)]
pub(crate) struct RepairState {
    /// Highest sequence number that a peer named.
    pub(crate) sequence_seen: u64,
    /// Highest revision that a peer named.
    pub(crate) revision_seen: u64,
    pub(crate) behind_since: Option<MilliTime>,
    /// Messages in a row whose senders held other notices.
    pub(crate) notice_mismatches: u32,
    /// Whether a whole configuration of a peer is wanted.
    pub(crate) wants_whole: bool,
    /// Rounds in which the load records of a peer are still asked for.
    pub(crate) load_pulls_left: u8,
    /// Whether the object API has answered since the start.
    pub(crate) has_read: bool,
}

/// The state of broadcasts in the data centre.
#[derive(Debug, Default)]
pub(crate) struct BroadcastState {
    pub(crate) told_sequence: Option<u64>,
    pub(crate) told_revision: Option<u64>,
    pub(crate) due: Option<MilliTime>,
    pub(crate) seen: VecDeque<u64>,
}

/// A notice that still has to go some ring distances.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingNotice {
    pub(crate) notice: HostNotice,
    pub(crate) distances: u16,
}

/// One router's membership, exchange and configuration, as a state machine without I/O.
///
/// The caller calls [`on_tick`](Self::on_tick) about every 100 ms, hands over what arrives, and
/// carries out what [`take_outputs`](Self::take_outputs) returns. Times are Unix times.
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
    pub(crate) own: HostEntry,
    pub(crate) own_notice: HostNotice,
    pub(crate) is_leaving: bool,
    /// Hash over the notices that this router holds.
    pub(crate) notice_digest: u32,
    pub(crate) rng: SmallRng,
    pub(crate) budget: ByteBudget,
    pub(crate) counters: FleetCounters,
    pub(crate) hosts: HostTable,
    pub(crate) ring: PeerRing,
    ring_generation: u64,
    pub(crate) suspects: BTreeSet<HostKey>,
    pub(crate) accused_at: BTreeMap<HostKey, MilliTime>,
    pub(crate) config: ConfigAdopter,
    pub(crate) loads: LoadTable,
    pub(crate) notices: BTreeMap<u32, PendingNotice>,
    pub(crate) platform: PlatformClock,
    pub(crate) repair: RepairState,
    pub(crate) broadcast: BroadcastState,
    pub(crate) peer_sequences: BTreeMap<HostName, u64>,
    pub(crate) round: u32,
    pub(crate) round_due: MilliTime,
    pub(crate) sends: BTreeMap<SendId, PendingSend>,
    pub(crate) next_send: u64,
    pub(crate) last_reply_at: MilliTime,
    /// Random delay of this router, so that not all of them read the platform at once.
    pub(crate) own_delay: MilliDuration,
    pub(crate) outputs: VecDeque<FleetOutput>,
    pub(crate) observed: Arc<[HostName]>,
    pub(crate) observed_generation: u64,
    pub(crate) observed_due: MilliTime,
}

impl FleetNode {
    /// Makes the fleet part of the router `own`, started with its incarnation number.
    #[must_use]
    pub fn new(settings: FleetSettings, own: HostEntry, now: MilliTime, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let jitter = settings.start_jitter.as_millis().max(1);
        let mut delay = || MilliDuration::from_millis(rng.random_range(0..jitter));
        let platform = PlatformClock {
            hosts_due: now + delay(),
            config_due: Some(now + delay()),
            ..PlatformClock::default()
        };
        let interval = settings.round_interval.as_millis().max(1);
        let round_due = now + MilliDuration::from_millis(rng.random_range(0..interval));
        let own_delay = MilliDuration::from_millis(rng.random_range(0..LONGEST_DELAY_MS));
        let repair = RepairState {
            load_pulls_left: LOAD_PULLS,
            ..RepairState::default()
        };
        Self {
            codec: FrameCodec::new(settings.keys.clone()),
            own_notice: HostNotice {
                incarnation: own.incarnation,
                ..HostNotice::default()
            },
            is_leaving: false,
            notice_digest: 0,
            round: rng.random_range(0..64),
            rng,
            budget: ByteBudget::new(now, settings.budget_rate, settings.budget_burst),
            counters: FleetCounters::default(),
            hosts: HostTable::new(own.region.clone()),
            ring: PeerRing::default(),
            ring_generation: 0,
            suspects: BTreeSet::new(),
            accused_at: BTreeMap::new(),
            config: ConfigAdopter::default(),
            loads: LoadTable::default(),
            notices: BTreeMap::new(),
            platform,
            repair,
            broadcast: BroadcastState::default(),
            peer_sequences: BTreeMap::new(),
            round_due,
            sends: BTreeMap::new(),
            next_send: 0,
            last_reply_at: now,
            own_delay,
            outputs: VecDeque::new(),
            observed: Arc::new([]),
            observed_generation: 0,
            observed_due: now,
            settings,
            own,
        }
    }

    /// Does what is due at the present time.
    pub fn on_tick(&mut self, now: MilliTime) {
        self.refresh_ring();
        self.retry_sends(now);
        self.read_platform(now);
        self.start_broadcast(now);
        self.start_round(now);
        self.refresh_observed(now);
    }

    /// Announces that this router takes no new work.
    pub fn leave(&mut self, _now: MilliTime) {
        self.is_leaving = true;
        self.own_notice.state = NoticeState::Leaving;
        self.publish_notice(host_code(&self.own.name), self.own_notice);
    }

    /// Takes over this router's own reading of a target's load.
    pub fn on_load_report(&mut self, _now: MilliTime, target: &HostName, record: &LoadRecord) {
        let distances = self.ring.distance_mask();
        let refresh = self.settings.load_refresh;
        self.loads
            .observe(host_code(target), record, distances, refresh);
    }

    /// Publishes this router's own count under a code that no host has.
    ///
    /// The caller decides which counts are worth their bytes; they travel as load records do.
    pub fn publish_count(&mut self, code: u32, record: &LoadRecord) {
        let distances = self.ring.distance_mask();
        self.loads.publish(code, record, distances);
    }

    /// Returns the latest count that was published under a code.
    #[must_use]
    pub fn count(&self, code: u32) -> Option<LoadRecord> {
        self.loads.get(code)
    }

    /// Returns the actions that are due, in their order.
    pub fn take_outputs(&mut self) -> VecDeque<FleetOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.config.snapshot()
    }

    /// Returns the sequence number in force; 0 before the first configuration.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.config.sequence()
    }

    /// Returns the highest sequence number that this router has heard of.
    #[must_use]
    pub fn sequence_seen(&self) -> u64 {
        self.repair.sequence_seen.max(self.sequence())
    }

    /// Returns whether the router has a host list and a configuration, which the object API or
    /// the highest of several peers confirmed since the start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let configured = self.config.snapshot().is_some() && self.is_confirmed();
        configured && self.hosts.is_loaded() && !self.is_leaving
    }

    fn is_confirmed(&self) -> bool {
        let peers = self.ring.region_len().saturating_sub(1);
        let quorum = peers.clamp(1, PEER_QUORUM);
        let by_peers = self.peer_sequences.len() >= quorum;
        self.repair.has_read || (by_peers && self.sequence() >= self.repair.sequence_seen)
    }

    /// Returns the sequence number that each peer named last.
    #[must_use]
    pub fn peer_sequences(&self) -> &BTreeMap<HostName, u64> {
        &self.peer_sequences
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Returns the hosts that the router knows.
    #[must_use]
    pub fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// Returns the phase of a host, if it is known.
    #[must_use]
    pub fn host_phase(&self, name: &HostName) -> Option<ViewPhase> {
        self.hosts.phase(self.hosts.key(name)?)
    }

    /// Returns routers and targets with their phases; equal while `hosts().generation()` is.
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
            let is_router = slot.entry.service == self.own.service;
            let list = if is_router {
                &mut view.routers
            } else {
                &mut view.targets
            };
            list.push(host);
        }
        view
    }

    /// Returns the load records, by the codes of their targets.
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

    /// Returns this router's rank among the relays of its data centre, if it is one.
    #[must_use]
    pub fn relay_rank(&self) -> Option<usize> {
        self.ring.relay_rank(self.hosts.key(&self.own.name)?)
    }

    /// Counts control bytes that the caller spent outside the exchange, such as load reads.
    pub fn charge_external(&mut self, bytes: usize) {
        self.budget.charge(bytes);
    }

    pub(crate) fn publish_notice(&mut self, host: u32, notice: HostNotice) {
        if let Some(key) = self.hosts.key_of(host) {
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

    /// Forces the rings to be computed anew, after a change of the suspects.
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
        self.ring = PeerRing::new(&self.hosts, &self.own, self.settings.relays, suspects);
    }
}
