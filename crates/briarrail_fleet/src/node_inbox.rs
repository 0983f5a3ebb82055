//! Frames of peers.

use briarrail_model::MilliTime;
use briarrail_peer::{
    Envelope, ExchangeMessage, FrameError, HostNotice, MessageKind, NoticeItem, NoticeState,
    PullRequest, REPLY_HEADER_BYTES, REQUEST_HEADER_BYTES,
};
use bytes::{Bytes, BytesMut};

use crate::fleet_node::PendingNotice;
use crate::{FleetNode, FleetOutput, HostKey, ViewPhase, host_code};

/// Notices that a peer hands out at once.
const MAX_PULLED_NOTICES: usize = 512;
/// Largest configuration that a peer hands out.
const MAX_SNAPSHOT_BYTES: usize = 512 * 1024;

impl FleetNode {
    /// Takes over a frame of a peer and returns the reply, if there is one.
    ///
    /// Frames that are not authentic, malformed or from hosts that are not in the list are
    /// counted and dropped.
    pub fn on_frame(&mut self, now: MilliTime, frame: &[u8]) -> Option<Bytes> {
        self.count_received(frame.len() + REQUEST_HEADER_BYTES);
        let envelope = self.open(MessageKind::Exchange, frame)?;
        let from = self.accept_sender(&envelope)?;
        let message = &envelope.body;
        self.take_message(now, &envelope);
        self.forward_broadcast(now, message);
        if let Some(accused) = message.probe_host.and_then(|code| self.hosts.key_of(code)) {
            self.probe(now, accused);
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
        self.take_message(now, &envelope);
        if !envelope.body.loads.is_empty() {
            self.repair.load_pulls_left = 0;
        }
    }

    fn open(&mut self, kind: MessageKind, frame: &[u8]) -> Option<Envelope<ExchangeMessage>> {
        match self.codec.open(kind, &self.own.name, frame) {
            Ok(envelope) => Some(envelope),
            Err(error) => {
                self.count_bad(&error);
                None
            }
        }
    }

    fn count_bad(&mut self, error: &FrameError) {
        let reason = error.kind.to_string();
        *self.counters.bad_frames.entry(reason).or_default() += 1;
    }

    /// Returns the sender when it is a router of the list and not an earlier incarnation.
    fn accept_sender(&mut self, envelope: &Envelope<ExchangeMessage>) -> Option<HostKey> {
        let key = self.hosts.key(&envelope.from);
        let is_router = |key: &HostKey| {
            let entry = self.hosts.entry(*key);
            entry.is_some_and(|entry| entry.service == self.own.service)
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

    fn take_message(&mut self, now: MilliTime, envelope: &Envelope<ExchangeMessage>) {
        let message = &envelope.body;
        let before = (self.sequence(), self.hosts.region_revision());
        self.take_edits(message);
        if let Some(part) = &message.hosts {
            self.hosts.apply_part(part);
        }
        if (self.sequence(), self.hosts.region_revision()) != before {
            self.repair.behind_since = None;
        }
        self.note_peer(now, envelope);
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
            .for_each(|item| self.take_notice(&item, mask));
    }

    fn note_peer(&mut self, now: MilliTime, envelope: &Envelope<ExchangeMessage>) {
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
        repair.sequence_seen = repair.sequence_seen.max(message.sequence);
        repair.revision_seen = repair.revision_seen.max(message.revision);
        let behind = repair.sequence_seen > self.config.sequence()
            || repair.revision_seen > self.hosts.region_revision();
        if behind {
            repair.behind_since.get_or_insert(now);
        }
    }

    fn take_edits(&mut self, message: &ExchangeMessage) {
        let before = self.sequence();
        for encoded in &message.edits {
            if self.config.offer_encoded(encoded).is_err() {
                self.counters.refused_edits += 1;
            }
        }
        let snapshot = message.snapshot.as_deref();
        if snapshot.is_some_and(|encoded| self.config.adopt_encoded(encoded).is_err()) {
            self.counters.refused_edits += 1;
        }
        self.after_adoption(before);
    }

    pub(crate) fn after_adoption(&mut self, before: u64) {
        let sequence = self.sequence();
        if self.config.snapshot().is_some() {
            self.repair.wants_whole = self.config.needs_whole();
        }
        if sequence > before {
            self.outputs
                .push_back(FleetOutput::ConfigChanged { sequence });
        }
    }

    fn take_notice(&mut self, item: &NoticeItem, mask: u16) {
        if item.host == host_code(&self.own.name) {
            self.refute(item.notice);
            return;
        }
        let Some(key) = self.hosts.key_of(item.host) else {
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

    /// Answers a notice on this router by one with a later epoch.
    fn refute(&mut self, notice: HostNotice) {
        let about_this = notice.incarnation == self.own.incarnation;
        let wrong = about_this && notice.state == NoticeState::Down;
        if !wrong || notice.refutation < self.own_notice.refutation {
            return;
        }
        self.own_notice.refutation = notice.refutation.saturating_add(1);
        self.counters.refutations += 1;
        self.publish_notice(host_code(&self.own.name), self.own_notice);
    }

    fn reply_to(
        &mut self,
        now: MilliTime,
        from: HostKey,
        envelope: &Envelope<ExchangeMessage>,
    ) -> Option<ExchangeMessage> {
        let mut reply = self.digest();
        let mut is_news = envelope.body.sequence < self.sequence();
        if let Some(pull) = &envelope.body.pull {
            is_news |= self.answer_pull(now, pull, &mut reply);
        }
        let accused = envelope.body.probe_host;
        let accused = accused.and_then(|code| self.hosts.key_of(code));
        if reply.notices.is_empty() {
            reply.notices = self.down_notices([Some(from), accused]);
        }
        is_news |= !reply.notices.is_empty();
        is_news.then_some(reply)
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
            reply.notices = self.all_notices();
        }
        let can_spend = self.budget.available(now) > 0;
        if pull.full_config && reply.edits.is_empty() && can_spend {
            reply.snapshot = self.config.encoded_snapshot(MAX_SNAPSHOT_BYTES);
        }
        if pull.loads && can_spend {
            reply.loads = self.all_loads();
        }
        reply.hosts.is_some()
            || !reply.notices.is_empty()
            || !reply.edits.is_empty()
            || reply.snapshot.is_some()
            || !reply.loads.is_empty()
    }

    pub(crate) fn all_notices(&self) -> Bytes {
        let mut packed = BytesMut::new();
        let items = self.hosts.notice_items().take(MAX_PULLED_NOTICES);
        items.for_each(|item| item.pack(&mut packed));
        packed.freeze()
    }

    fn all_loads(&self) -> Bytes {
        let mut packed = BytesMut::new();
        for (code, record) in self.loads.iter() {
            briarrail_peer::LoadItem::new(code, 0, &record).pack(&mut packed);
        }
        packed.freeze()
    }

    /// Returns the notices that hold the sender or the host that it accuses to be down, so that
    /// the sender can refute the one and need not ask about the other.
    fn down_notices(&self, keys: [Option<HostKey>; 2]) -> Bytes {
        let mut packed = BytesMut::new();
        let slots = keys.into_iter().flatten();
        let slots = slots.filter_map(|key| self.hosts.slot(key));
        for slot in slots.filter(|slot| slot.phase() == ViewPhase::Down) {
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
