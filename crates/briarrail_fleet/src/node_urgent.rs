//! Broadcasts of edits and host changes within a data centre.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::ExchangeMessage;
use rand::Rng;

use crate::FleetNode;
use crate::pending_send::SendPurpose;

/// Parts into which a router splits the successors that it passes a broadcast on to.
const FAN_OUT: usize = 3;
/// Head start that a relay leaves to those ranked before it.
const RANK_DELAY: MilliDuration = MilliDuration::from_millis(200);
const MAX_SEEN_BROADCASTS: usize = 64;

impl FleetNode {
    /// Broadcasts what this relay knows and nobody has broadcast yet.
    pub(crate) fn start_broadcast(&mut self, now: MilliTime) {
        let Some(rank) = self.relay_rank() else {
            // What the data centre knows before this router is a relay is not told again.
            self.broadcast.due = None;
            self.broadcast.told_sequence = Some(self.sequence());
            self.broadcast.told_revision = Some(self.hosts.region_revision());
            return;
        };
        if !self.has_untold() {
            self.broadcast.due = None;
            return;
        }
        let delay = MilliDuration::from_millis(RANK_DELAY.as_millis() * rank as u64);
        let due = *self.broadcast.due.get_or_insert(now + delay);
        if now < due {
            return;
        }
        self.broadcast.due = None;
        let message = ExchangeMessage {
            edits: self
                .config
                .edits_after(self.broadcast.told_sequence.unwrap_or(0))
                .unwrap_or_default(),
            hosts: self
                .hosts
                .part_since(self.broadcast.told_revision.unwrap_or(0)),
            broadcast_id: Some(self.rng.random()),
            ..self.digest()
        };
        self.note_told(self.sequence(), self.hosts.region_revision());
        let hosts = message.hosts.as_ref();
        let no_hosts = hosts.is_none_or(|part| {
            part.upserts.is_empty() && part.patches.is_empty() && part.removed.is_empty()
        });
        if message.edits.is_empty() && no_hosts {
            return;
        }
        let span = self.ring.cell_len().saturating_sub(1);
        self.spread(now, &message, 0, span);
    }

    fn has_untold(&mut self) -> bool {
        let (sequence, revision) = (self.sequence(), self.hosts.region_revision());
        let told = &mut self.broadcast;
        // What a router starts with is known to the others.
        let told_sequence = *told.told_sequence.get_or_insert(sequence);
        let told_revision = *told.told_revision.get_or_insert(revision);
        sequence > told_sequence || revision > told_revision
    }

    pub(crate) fn note_told(&mut self, sequence: u64, revision: u64) {
        let told = &mut self.broadcast;
        told.told_sequence = told.told_sequence.max(Some(sequence));
        told.told_revision = told.told_revision.max(Some(revision));
    }

    /// Passes a broadcast of a peer on to the `span` successors that the peer left to this one.
    pub(crate) fn forward_broadcast(&mut self, now: MilliTime, message: &ExchangeMessage) {
        let (Some(span), Some(number)) = (message.relay_successors, message.broadcast_id) else {
            return;
        };
        self.note_told(message.sequence, message.revision);
        let seen = &mut self.broadcast.seen;
        if seen.contains(&number) {
            return;
        }
        seen.push_back(number);
        if seen.len() > MAX_SEEN_BROADCASTS {
            seen.pop_front();
        }
        self.spread(now, message, 0, usize::from(span));
    }

    /// Splits the `span` successors behind `offset` and sends to the first of each part.
    fn spread(&mut self, now: MilliTime, message: &ExchangeMessage, offset: usize, span: usize) {
        let span = span.min(self.ring.cell_len().saturating_sub(1 + offset));
        let mut first = offset + 1;
        for part in 0..FAN_OUT.min(span) {
            let size = span / FAN_OUT + usize::from(part < span % FAN_OUT);
            self.send_urgent(now, message.clone(), first, size - 1);
            first += size;
        }
    }

    fn send_urgent(
        &mut self,
        now: MilliTime,
        message: ExchangeMessage,
        distance: usize,
        span: usize,
    ) {
        let Some(to) = self.ring.cell_at_distance(distance) else {
            return;
        };
        let message = ExchangeMessage {
            relay_successors: u16::try_from(span).ok(),
            ..message
        };
        let purpose = SendPurpose::Urgent {
            distance,
            message: Box::new(message.clone()),
        };
        self.send(now, to, &message, purpose);
    }

    /// Takes over the part of a broadcast that a silent router should have passed on.
    pub(crate) fn reroute_urgent(
        &mut self,
        now: MilliTime,
        distance: usize,
        message: &ExchangeMessage,
    ) {
        let span = usize::from(message.relay_successors.unwrap_or(0));
        self.spread(now, message, distance, span);
    }
}
