//! Handling of frames from peers.

use briarrail_model::MilliTime;
use briarrail_peer::{
    Envelope, ExchangeMessage, FrameError, HostNotice, MessageKind, NoticeItem, NoticeState,
    PullRequest, REPLY_HEADER_BYTES, REQUEST_HEADER_BYTES,
};
use bytes::{Bytes, BytesMut};

use crate::fleet_node::PendingNotice;
use crate::{EffectivePhase, FleetNode, FleetOutput, HostKey, host_code};

/// Maximum number of notices in one reply.
const MAX_PULLED_NOTICES: usize = 512;
/// Maximum size of a configuration snapshot in a reply.
const MAX_SNAPSHOT_BYTES: usize = 512 * 1024;

impl FleetNode {
    /// Handles a frame from a peer and returns the reply, if there is one.
    ///
    /// Frames that are unauthenticated, malformed, stale or from hosts outside the list are counted
    /// and dropped.
    pub fn on_frame(&mut self, now: MilliTime, frame: &[u8]) -> Option<Bytes> {
        self.count_received(frame.len() + REQUEST_HEADER_BYTES);
        let envelope = self.open(MessageKind::Exchange, frame)?;
        let from = self.accept_sender(&envelope)?;
        let message = &envelope.body;
        self.apply_message(now, &envelope);
        self.forward_broadcast(now, message);
        if let Some(suspect) = message
            .probe_host
            .and_then(|code| self.hosts.key_by_code(code))
        {
            self.probe(now, suspect);
        }
        let reply = self.reply_to(now, from, &envelope);
        let frame = reply.and_then(|reply| self.seal(MessageKind::ExchangeReply, from, &reply));
        self.count_sent(frame.as_ref().map_or(0, Bytes::len) + REPLY_HEADER_BYTES);
        frame
    }

    pub(crate) fn open_reply(&mut self, now: MilliTime, frame: &[u8]) {
        let Some(envelope) = self.open(MessageKind::ExchangeReply, frame) else {
            return;
        };
        if self.accept_sender(&envelope).is_none() {
            return;
        }
        self.apply_message(now, &envelope);
        if !envelope.body.loads.is_empty() {
            self.repair.load_pulls_remaining = 0;
        }
    }

    fn open(&mut self, kind: MessageKind, frame: &[u8]) -> Option<Envelope<ExchangeMessage>> {
        match self.codec.open(kind, &self.local_host.name, frame) {
            Ok(envelope) => Some(envelope),
            Err(error) => {
                self.count_bad_frame(&error);
                None
            }
        }
    }

    fn count_bad_frame(&mut self, error: &FrameError) {
        let reason = error.kind.to_string();
        *self.counters.bad_frames.entry(reason).or_default() += 1;
    }

    /// Returns the sender if it is a listed router and not an earlier incarnation of it.
    fn accept_sender(&mut self, envelope: &Envelope<ExchangeMessage>) -> Option<HostKey> {
        let key = self.hosts.key(&envelope.from);
        let is_router = |key: &HostKey| {
            let entry = self.hosts.entry(*key);
            entry.is_some_and(|entry| entry.service == self.local_host.service)
        };
        let Some(key) = key.filter(is_router) else {
            self.counters.unlisted_frames += 1;
            return None;
        };
        let known = self.hosts.slot(key)?.incarnation();
        if envelope.incarnation < known {
            self.counters.stale_frames += 1;
            return None;
        }
        if envelope.incarnation > known {
            let notice = HostNotice {
                incarnation: envelope.incarnation,
                ..HostNotice::default()
            };
            self.hosts.apply_notice(key, notice);
        }
        self.clear_suspicion(key);
        Some(key)
    }

    fn apply_message(&mut self, now: MilliTime, envelope: &Envelope<ExchangeMessage>) {
        let message = &envelope.body;
        let before = (self.sequence(), self.hosts.region_revision());
        self.apply_edits(message);
        if let Some(part) = &message.hosts {
            self.hosts.apply_part(part);
        }
        if (self.sequence(), self.hosts.region_revision()) != before {
            self.repair.behind_since = None;
        }
        self.record_peer_state(now, envelope);
        let mask = self.ring.distance_mask();
        for item in message.load_items() {
            if self.loads.merge(now, &item, mask) {
                self.counters.fresh_loads += 1;
            } else {
                self.counters.duplicate_loads += 1;
            }
        }
        message
            .notice_items()
            .for_each(|item| self.apply_notice(&item, mask));
    }

    fn record_peer_state(&mut self, now: MilliTime, envelope: &Envelope<ExchangeMessage>) {
        let message = &envelope.body;
        self.peer_sequences
            .insert(envelope.from.clone(), message.sequence);
        let agrees = message.notice_digest == self.notice_digest;
        let repair = &mut self.repair;
        repair.notice_mismatches = if agrees {
            0
        } else {
            repair.notice_mismatches + 1
        };
        repair.highest_peer_sequence = repair.highest_peer_sequence.max(message.sequence);
        repair.highest_peer_revision = repair.highest_peer_revision.max(message.revision);
        let is_behind = repair.highest_peer_sequence > self.config.sequence()
            || repair.highest_peer_revision > self.hosts.region_revision();
        if is_behind {
            repair.behind_since.get_or_insert(now);
        }
    }

    fn apply_edits(&mut self, message: &ExchangeMessage) {
        let before = self.sequence();
        for encoded in &message.edits {
            if self.config.receive_encoded_edit(encoded).is_err() {
                self.counters.rejected_edits += 1;
            }
        }
        let snapshot = message.snapshot.as_deref();
        if snapshot.is_some_and(|encoded| self.config.adopt_encoded_snapshot(encoded).is_err()) {
            self.counters.rejected_edits += 1;
        }
        self.on_config_applied(before);
    }

    pub(crate) fn on_config_applied(&mut self, before: u64) {
        let sequence = self.sequence();
        if self.config.snapshot().is_some() {
            self.repair.wants_snapshot = self.config.needs_snapshot();
        }
        if sequence > before {
            self.outputs
                .push_back(FleetOutput::ConfigChanged { sequence });
        }
    }

    fn apply_notice(&mut self, item: &NoticeItem, mask: u16) {
        if item.host == host_code(&self.local_host.name) {
            self.refute(item.notice);
            return;
        }
        let Some(key) = self.hosts.key_by_code(item.host) else {
            return;
        };
        if self.hosts.apply_notice(key, item.notice) {
            let pending = PendingNotice {
                notice: item.notice,
                distances: item.distance_mask & mask,
            };
            self.notices.insert(item.host, pending);
        }
    }

    /// Refutes a notice that this router is down with a notice that has a higher refutation number.
    fn refute(&mut self, notice: HostNotice) {
        let is_current = notice.incarnation == self.local_host.incarnation;
        let is_false_report = is_current && notice.state == NoticeState::Down;
        if !is_false_report || notice.refutation < self.local_notice.refutation {
            return;
        }
        self.local_notice.refutation = notice.refutation.saturating_add(1);
        self.counters.refutations += 1;
        self.publish_notice(host_code(&self.local_host.name), self.local_notice);
    }

    fn reply_to(
        &mut self,
        now: MilliTime,
        from: HostKey,
        envelope: &Envelope<ExchangeMessage>,
    ) -> Option<ExchangeMessage> {
        let mut reply = self.digest_message();
        let mut has_updates = envelope.body.sequence < self.sequence();
        if let Some(pull) = &envelope.body.pull {
            has_updates |= self.answer_pull(now, pull, &mut reply);
        }
        let suspect = envelope.body.probe_host;
        let suspect = suspect.and_then(|code| self.hosts.key_by_code(code));
        if reply.notices.is_empty() {
            reply.notices = self.pack_down_notices([Some(from), suspect]);
        }
        has_updates |= !reply.notices.is_empty();
        has_updates.then_some(reply)
    }

    fn answer_pull(
        &mut self,
        now: MilliTime,
        pull: &PullRequest,
        reply: &mut ExchangeMessage,
    ) -> bool {
        if let Some(revision) = pull.after_revision {
            reply.hosts = self.hosts.part_since(revision);
        }
        let edits = pull
            .after_sequence
            .map(|after| self.config.edits_after(after));
        reply.edits = edits.flatten().unwrap_or_default();
        if pull.notices {
            reply.notices = self.pack_all_notices();
        }
        let can_spend = self.budget.available(now) > 0;
        if pull.full_config && reply.edits.is_empty() && can_spend {
            reply.snapshot = self.config.encoded_snapshot(MAX_SNAPSHOT_BYTES);
        }
        if pull.loads && can_spend {
            reply.loads = self.pack_all_loads();
        }
        reply.hosts.is_some()
            || !reply.notices.is_empty()
            || !reply.edits.is_empty()
            || reply.snapshot.is_some()
            || !reply.loads.is_empty()
    }

    pub(crate) fn pack_all_notices(&self) -> Bytes {
        let mut packed = BytesMut::new();
        let items = self.hosts.notice_items().take(MAX_PULLED_NOTICES);
        items.for_each(|item| item.pack(&mut packed));
        packed.freeze()
    }

    fn pack_all_loads(&self) -> Bytes {
        let mut packed = BytesMut::new();
        for (code, record) in self.loads.iter() {
            briarrail_peer::LoadItem::new(code, 0, &record).pack(&mut packed);
        }
        packed.freeze()
    }

    /// Returns the notices that report the sender or its suspect as down.
    ///
    /// They let the sender refute its own notice and spare it further requests about the suspect.
    fn pack_down_notices(&self, keys: [Option<HostKey>; 2]) -> Bytes {
        let mut packed = BytesMut::new();
        let slots = keys.into_iter().flatten();
        let slots = slots.filter_map(|key| self.hosts.slot(key));
        for slot in slots.filter(|slot| slot.phase() == EffectivePhase::Down) {
            let item = NoticeItem {
                host: slot.hash.0 as u32,
                distance_mask: 0,
                notice: slot.notice,
            };
            item.pack(&mut packed);
        }
        packed.freeze()
    }
}
