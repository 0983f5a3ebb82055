//! Periodic exchanges.

use briarrail_model::MilliTime;
use briarrail_peer::{ExchangeMessage, LoadItem, NoticeItem, PullRequest};
use bytes::{Bytes, BytesMut};

use crate::pending_send::SendPurpose;
use crate::{FleetNode, HostKey};

/// Bytes kept back in each round for what is urgent.
const URGENT_RESERVE_BYTES: usize = 600;
const MAX_ROUND_LOADS: usize = 600;
/// Messages with other notices, for each ring distance, after which a router asks for them.
const MISMATCHES_PER_DISTANCE: u32 = 2;

impl FleetNode {
    /// Returns a message that only says how far this router has come.
    pub(crate) fn digest(&self) -> ExchangeMessage {
        ExchangeMessage {
            sequence: self.sequence(),
            revision: self.hosts.told_revision(),
            notice_digest: self.notice_digest,
            ..ExchangeMessage::default()
        }
    }

    /// Sends to the router at the next distance 1, 2, 4, ... of the region's ring.
    ///
    /// A record goes each distance once from each router that holds it, so that it reaches every
    /// router of a ring of 2^n routers exactly once, whatever the order of the distances.
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
        if Some(partner) == self.hosts.key(&self.own.name) {
            return;
        }
        let bit = 1_u16 << exponent;
        let notices = self.take_notices(bit);
        let loads = self.take_loads(now, bit);
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
        // A router whose notices differ from its peers' both asks for theirs and tells its own.
        let differs = pull.is_some_and(|pull| pull.notices);
        let message = ExchangeMessage {
            loads: pack_loads(&loads),
            notices: if differs {
                self.all_notices()
            } else {
                pack_notices(&notices)
            },
            pull,
            ..self.digest()
        };
        let purpose = SendPurpose::Round {
            distance,
            loads,
            notices,
        };
        self.send(now, partner, &message, purpose);
    }

    /// Hands the records of a silent partner to its successor.
    pub(crate) fn reroute_round(
        &mut self,
        now: MilliTime,
        distance: usize,
        loads: Vec<LoadItem>,
        notices: Vec<NoticeItem>,
    ) {
        let empty = loads.is_empty() && notices.is_empty();
        // One step further only: at odd distances the records have been handed on already.
        let rerouted = distance > 1 && !distance.is_power_of_two();
        if empty || rerouted || distance + 1 >= self.ring.region_len() {
            return;
        }
        let Some(partner) = self.ring.at_distance(distance + 1) else {
            return;
        };
        self.send_round(now, partner, distance + 1, loads, notices);
    }

    fn take_notices(&mut self, bit: u16) -> Vec<NoticeItem> {
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

    fn take_loads(&mut self, now: MilliTime, bit: u16) -> Vec<LoadItem> {
        let spare = self.budget.available(now);
        let spare = spare.saturating_sub(URGENT_RESERVE_BYTES);
        let limit = (spare / LoadItem::PACKED_BYTES).min(MAX_ROUND_LOADS);
        let loads = self.loads.take_due(bit, limit);
        if loads.len() == limit {
            self.counters.deferred_loads += self.loads.due_count(bit) as u64;
        }
        loads
    }

    fn pull_request(&mut self, now: MilliTime) -> Option<PullRequest> {
        let lacks_config = self.repair.sequence_seen > self.sequence();
        let lacks_hosts = self.repair.revision_seen > self.hosts.region_revision();
        let wants_loads = self.repair.load_pulls_left > 0;
        self.repair.load_pulls_left = self.repair.load_pulls_left.saturating_sub(1);
        let patience = MISMATCHES_PER_DISTANCE * self.ring.distance_count();
        let wants_notices = self.repair.notice_mismatches > patience;
        let starting = self.repair.wants_whole || wants_loads || wants_notices;
        if !lacks_config && !lacks_hosts {
            self.repair.behind_since = None;
        }
        let delay = self.settings.repair_delay;
        let waited = |since: MilliTime| now.since(since) >= delay;
        let overdue = self.repair.behind_since.is_some_and(waited);
        if !overdue && !starting {
            return None;
        }
        let long_overdue = self
            .repair
            .behind_since
            .is_some_and(|since| now.since(since) >= delay + delay);
        let wants_edits = (overdue && lacks_config) || self.repair.wants_whole;
        Some(PullRequest {
            after_sequence: wants_edits.then(|| self.sequence()),
            after_revision: (overdue && lacks_hosts).then(|| self.hosts.region_revision()),
            full_config: self.repair.wants_whole || (long_overdue && lacks_config),
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
