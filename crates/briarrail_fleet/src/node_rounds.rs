//! Periodic exchange with ring partners.

use briarrail_model::MilliTime;
use briarrail_peer::{ExchangeMessage, LoadItem, NoticeItem, PullRequest};
use bytes::{Bytes, BytesMut};

use crate::pending_send::SendPurpose;
use crate::{FleetNode, HostKey};

/// Budget that load records leave in each round for broadcasts and other urgent messages.
const BROADCAST_RESERVE_BYTES: usize = 600;
/// Maximum number of load records in one round.
const MAX_ROUND_LOADS: usize = 600;
/// Consecutive messages with a different notice digest, per ring distance, that are tolerated
/// before a router asks for all notices.
const MAX_MISMATCHES_PER_DISTANCE: u32 = 2;

impl FleetNode {
    /// Returns a message with only the sequence number, revision and notice digest of this router.
    pub(crate) fn digest_message(&self) -> ExchangeMessage {
        ExchangeMessage {
            sequence: self.sequence(),
            revision: self.hosts.advertised_revision(),
            notice_digest: self.notice_digest,
            ..ExchangeMessage::default()
        }
    }

    /// Sends to the router at the next distance 1, 2, 4, ... of the region's ring.
    ///
    /// Each router sends a record once at each distance that is still pending for it. In a ring of
    /// 2^n routers the record thus reaches every router exactly once, in any order of distances.
    pub(crate) fn start_round(&mut self, now: MilliTime) {
        if now < self.round_due {
            return;
        }
        self.round_due = now + self.settings.round_interval;
        let count = self.ring.distance_count();
        if count == 0 {
            return;
        }
        self.round = self.round.wrapping_add(1);
        let exponent = self.round % count;
        let distance = 1_usize << exponent;
        let Some(partner) = self.ring.at_distance(distance) else {
            return;
        };
        if Some(partner) == self.hosts.key(&self.local_host.name) {
            return;
        }
        let bit = 1_u16 << exponent;
        let notices = self.take_due_notices(bit);
        let loads = self.take_due_loads(now, bit);
        self.send_round(now, partner, distance, loads, notices);
    }

    fn send_round(
        &mut self,
        now: MilliTime,
        partner: HostKey,
        distance: usize,
        loads: Vec<LoadItem>,
        notices: Vec<NoticeItem>,
    ) {
        let pull = self.pull_request(now);
        // A router whose notices differ from its peers' requests theirs and sends all of its own.
        let notices_differ = pull.is_some_and(|pull| pull.notices);
        let message = ExchangeMessage {
            loads: pack_loads(&loads),
            notices: if notices_differ {
                self.pack_all_notices()
            } else {
                pack_notices(&notices)
            },
            pull,
            ..self.digest_message()
        };
        let purpose = SendPurpose::Round {
            distance,
            loads,
            notices,
        };
        self.send(now, partner, &message, purpose);
    }

    /// Sends the records for an unresponsive partner to its successor instead.
    pub(crate) fn reroute_round(
        &mut self,
        now: MilliTime,
        distance: usize,
        loads: Vec<LoadItem>,
        notices: Vec<NoticeItem>,
    ) {
        let is_empty = loads.is_empty() && notices.is_empty();
        // A distance that is not a power of two shows that the records have been rerouted already;
        // they are not rerouted again. Those from distance 1 go to distance 2, which is a power of
        // two, so they can be rerouted a second time.
        let was_rerouted = distance > 1 && !distance.is_power_of_two();
        if is_empty || was_rerouted || distance + 1 >= self.ring.region_len() {
            return;
        }
        let Some(partner) = self.ring.at_distance(distance + 1) else {
            return;
        };
        self.send_round(now, partner, distance + 1, loads, notices);
    }

    fn take_due_notices(&mut self, bit: u16) -> Vec<NoticeItem> {
        let mut taken = Vec::new();
        for (&host, pending) in &mut self.notices {
            if pending.distances & bit != 0 {
                pending.distances &= !bit;
                taken.push(Self::notice_item(host, pending));
            }
        }
        self.notices.retain(|_, pending| pending.distances != 0);
        taken
    }

    fn take_due_loads(&mut self, now: MilliTime, bit: u16) -> Vec<LoadItem> {
        let available = self.budget.available(now);
        let available = available.saturating_sub(BROADCAST_RESERVE_BYTES);
        let limit = (available / LoadItem::PACKED_BYTES).min(MAX_ROUND_LOADS);
        let loads = self.loads.take_due(bit, limit);
        if loads.len() == limit {
            self.counters.deferred_loads += self.loads.due_count(bit) as u64;
        }
        loads
    }

    fn pull_request(&mut self, now: MilliTime) -> Option<PullRequest> {
        let lacks_config = self.repair.highest_peer_sequence > self.sequence();
        let lacks_hosts = self.repair.highest_peer_revision > self.hosts.region_revision();
        let wants_loads = self.repair.load_pulls_remaining > 0;
        self.repair.load_pulls_remaining = self.repair.load_pulls_remaining.saturating_sub(1);
        let threshold = MAX_MISMATCHES_PER_DISTANCE * self.ring.distance_count();
        let wants_notices = self.repair.notice_mismatches > threshold;
        let pulls_at_once = self.repair.wants_snapshot || wants_loads || wants_notices;
        if !lacks_config && !lacks_hosts {
            self.repair.behind_since = None;
        }
        let delay = self.settings.repair_delay;
        let is_overdue = |since: MilliTime| now.since(since) >= delay;
        let overdue = self.repair.behind_since.is_some_and(is_overdue);
        if !overdue && !pulls_at_once {
            return None;
        }
        let long_overdue = self
            .repair
            .behind_since
            .is_some_and(|since| now.since(since) >= delay + delay);
        let wants_edits = (overdue && lacks_config) || self.repair.wants_snapshot;
        Some(PullRequest {
            after_sequence: wants_edits.then(|| self.sequence()),
            after_revision: (overdue && lacks_hosts).then(|| self.hosts.region_revision()),
            full_config: self.repair.wants_snapshot || (long_overdue && lacks_config),
            notices: wants_notices,
            loads: wants_loads,
        })
    }
}

fn pack_loads(items: &[LoadItem]) -> Bytes {
    let mut packed = BytesMut::with_capacity(items.len() * LoadItem::PACKED_BYTES);
    items.iter().for_each(|item| item.pack(&mut packed));
    packed.freeze()
}

fn pack_notices(items: &[NoticeItem]) -> Bytes {
    let mut packed = BytesMut::with_capacity(items.len() * NoticeItem::PACKED_BYTES);
    items.iter().for_each(|item| item.pack(&mut packed));
    packed.freeze()
}
