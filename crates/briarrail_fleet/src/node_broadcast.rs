//! Broadcast of edits and host changes within a data centre.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::ExchangeMessage;
use rand::Rng;

use crate::FleetNode;
use crate::pending_send::SendPurpose;

/// Number of successors to which a router forwards a broadcast, each with its share of the rest.
const FAN_OUT: usize = 3;
/// Delay per relay rank, so that a relay starts a broadcast only if those ranked before it did not.
const RANK_STAGGER: MilliDuration = MilliDuration::from_millis(200);
/// Recent broadcast ids kept to detect duplicates.
const MAX_SEEN_IDS: usize = 64;

impl FleetNode {
    /// Starts a broadcast if this relay has changes that no relay has broadcast yet.
    pub(crate) fn start_broadcast(&mut self, now: MilliTime) {
        let Some(rank) = self.relay_rank() else {
            // Changes from before this router became a relay are not broadcast again.
            self.broadcast.due = None;
            self.broadcast.sent_sequence = Some(self.sequence());
            self.broadcast.sent_revision = Some(self.hosts.region_revision());
            return;
        };
        if !self.has_unsent_changes() {
            self.broadcast.due = None;
            return;
        }
        let delay = MilliDuration::from_millis(RANK_STAGGER.as_millis() * rank as u64);
        let due = *self.broadcast.due.get_or_insert(now + delay);
        if now < due {
            return;
        }
        self.broadcast.due = None;
        let message = ExchangeMessage {
            edits: self
                .config
                .edits_after(self.broadcast.sent_sequence.unwrap_or(0))
                .unwrap_or_default(),
            hosts: self
                .hosts
                .part_since(self.broadcast.sent_revision.unwrap_or(0)),
            broadcast_id: Some(self.rng.random()),
            ..self.digest_message()
        };
        self.mark_sent(self.sequence(), self.hosts.region_revision());
        let hosts = message.hosts.as_ref();
        let no_hosts = hosts.is_none_or(|part| {
            part.upserts.is_empty() && part.patches.is_empty() && part.removed.is_empty()
        });
        if message.edits.is_empty() && no_hosts {
            return;
        }
        let span = self.ring.data_centre_len().saturating_sub(1);
        self.fan_out(now, &message, 0, span);
    }

    fn has_unsent_changes(&mut self) -> bool {
        let (sequence, revision) = (self.sequence(), self.hosts.region_revision());
        let state = &mut self.broadcast;
        // The other routers already have what this router starts with.
        let sent_sequence = *state.sent_sequence.get_or_insert(sequence);
        let sent_revision = *state.sent_revision.get_or_insert(revision);
        sequence > sent_sequence || revision > sent_revision
    }

    pub(crate) fn mark_sent(&mut self, sequence: u64, revision: u64) {
        let state = &mut self.broadcast;
        state.sent_sequence = state.sent_sequence.max(Some(sequence));
        state.sent_revision = state.sent_revision.max(Some(revision));
    }

    /// Forwards a peer's broadcast to the `span` successors that the peer assigned to this router.
    pub(crate) fn forward_broadcast(&mut self, now: MilliTime, message: &ExchangeMessage) {
        let (Some(span), Some(id)) = (message.relay_successors, message.broadcast_id) else {
            return;
        };
        self.mark_sent(message.sequence, message.revision);
        let seen_ids = &mut self.broadcast.seen_ids;
        if seen_ids.contains(&id) {
            return;
        }
        seen_ids.push_back(id);
        if seen_ids.len() > MAX_SEEN_IDS {
            seen_ids.pop_front();
        }
        self.fan_out(now, message, 0, usize::from(span));
    }

    /// Splits the `span` successors after `offset` into parts and sends to the first of each part.
    fn fan_out(&mut self, now: MilliTime, message: &ExchangeMessage, offset: usize, span: usize) {
        let span = span.min(self.ring.data_centre_len().saturating_sub(1 + offset));
        let mut first = offset + 1;
        for part in 0..FAN_OUT.min(span) {
            let size = span / FAN_OUT + usize::from(part < span % FAN_OUT);
            self.send_broadcast(now, message.clone(), first, size - 1);
            first += size;
        }
    }

    fn send_broadcast(
        &mut self,
        now: MilliTime,
        message: ExchangeMessage,
        distance: usize,
        span: usize,
    ) {
        let Some(to) = self.ring.data_centre_at_distance(distance) else {
            return;
        };
        let message = ExchangeMessage {
            relay_successors: u16::try_from(span).ok(),
            ..message
        };
        let purpose = SendPurpose::Broadcast {
            distance,
            message: Box::new(message.clone()),
        };
        self.send(now, to, &message, purpose);
    }

    /// Forwards the part of a broadcast that was assigned to an unresponsive router.
    pub(crate) fn reroute_broadcast(
        &mut self,
        now: MilliTime,
        distance: usize,
        message: &ExchangeMessage,
    ) {
        let span = usize::from(message.relay_successors.unwrap_or(0));
        self.fan_out(now, message, distance, span);
    }
}
