//! Sending of frames, their retries, and what silence leads to.

use std::cmp::Reverse;

use briarrail_model::{MilliDuration, MilliTime, hash_pair};
use briarrail_peer::{
    Envelope, ExchangeMessage, HostNotice, MessageKind, NoticeState, REPLY_HEADER_BYTES,
    REQUEST_HEADER_BYTES,
};
use bytes::Bytes;

use crate::pending_send::{PendingSend, SendPurpose};
use crate::{FleetNode, FleetOutput, HostKey, SendId, ViewPhase};

const ACCUSATION_GAP: MilliDuration = MilliDuration::from_secs(5);
/// Time without any reply after which a router accuses nobody.
const ISOLATION_TIME: MilliDuration = MilliDuration::from_secs(3);
/// Time after which a frame without reply or failure counts as failed.
const SEND_TIMEOUT: MilliDuration = MilliDuration::from_secs(5);

impl FleetNode {
    pub(crate) fn seal(
        &self,
        kind: MessageKind,
        to: HostKey,
        body: &ExchangeMessage,
    ) -> Option<Bytes> {
        let to = self.hosts.entry(to)?.name.clone();
        let envelope = Envelope {
            from: self.own.name.clone(),
            incarnation: self.own.incarnation,
            to,
            body,
        };
        self.codec.seal(kind, &envelope).ok()
    }

    pub(crate) fn send(
        &mut self,
        now: MilliTime,
        to: HostKey,
        message: &ExchangeMessage,
        purpose: SendPurpose,
    ) {
        let Some(frame) = self.seal(MessageKind::Exchange, to, message) else {
            return;
        };
        let id = SendId(self.next_send);
        self.next_send += 1;
        let pending = PendingSend {
            to,
            frame,
            purpose,
            attempt: 0,
            retry_at: None,
            sent_at: now,
        };
        self.sends.insert(id, pending);
        self.emit_send(now, id);
    }

    fn emit_send(&mut self, now: MilliTime, id: SendId) {
        let Some(pending) = self.sends.get_mut(&id) else {
            return;
        };
        let Some(entry) = self.hosts.entry(pending.to) else {
            self.sends.remove(&id);
            return;
        };
        pending.retry_at = None;
        pending.sent_at = now;
        let output = FleetOutput::Send {
            id,
            to: entry.name.clone(),
            address: entry.address,
            frame: pending.frame.clone(),
        };
        let bytes = pending.frame.len() + REQUEST_HEADER_BYTES;
        self.outputs.push_back(output);
        self.count_sent(bytes);
    }

    pub(crate) fn count_sent(&mut self, bytes: usize) {
        self.counters.frames_sent += 1;
        self.counters.bytes_sent += bytes as u64;
        self.budget.charge(bytes);
    }

    pub(crate) fn count_received(&mut self, bytes: usize) {
        self.counters.frames_received += 1;
        self.counters.bytes_received += bytes as u64;
        self.budget.charge(bytes);
    }

    /// Takes over the reply to a frame; `reply` is empty when the peer had nothing to say.
    pub fn on_reply(&mut self, now: MilliTime, id: SendId, reply: &[u8]) {
        self.count_received(reply.len() + REPLY_HEADER_BYTES);
        let Some(pending) = self.sends.remove(&id) else {
            return;
        };
        self.clear_suspicion(pending.to);
        self.last_reply_at = now;
        if !reply.is_empty() {
            self.open_reply(now, reply);
        }
    }

    /// Takes over that a frame was not delivered, or that its reply did not come in time.
    pub fn on_send_failed(&mut self, now: MilliTime, id: SendId) {
        let Some(pending) = self.sends.get_mut(&id) else {
            return;
        };
        pending.attempt += 1;
        let is_suspect = self.suspects.contains(&pending.to);
        if pending.attempt < pending.purpose.max_attempts(is_suspect) {
            pending.retry_at = Some(now + self.settings.retry_delay);
            return;
        }
        if let Some(pending) = self.sends.remove(&id) {
            self.on_silence(now, pending);
        }
    }

    pub(crate) fn retry_sends(&mut self, now: MilliTime) {
        let mut due = Vec::new();
        let mut lost = Vec::new();
        for (&id, pending) in &self.sends {
            match pending.retry_at {
                Some(retry_at) if now >= retry_at => due.push(id),
                None if now.since(pending.sent_at) >= SEND_TIMEOUT => lost.push(id),
                _ => {}
            }
        }
        due.into_iter().for_each(|id| self.emit_send(now, id));
        lost.into_iter().for_each(|id| self.on_send_failed(now, id));
    }

    fn on_silence(&mut self, now: MilliTime, pending: PendingSend) {
        let to = pending.to;
        match pending.purpose {
            SendPurpose::Probe => {
                if !self.is_isolated(now) {
                    self.declare_down(to);
                }
                return;
            }
            SendPurpose::Accusation { accused } => self.accuse(now, accused, Some(to)),
            SendPurpose::Round {
                distance,
                loads,
                notices,
            } => self.reroute_round(now, distance, loads, notices),
            SendPurpose::Urgent { distance, message } => {
                self.reroute_urgent(now, distance, &message);
            }
        }
        self.suspect(now, to);
    }

    /// Returns whether nobody answers, so that the fault is rather on this side.
    fn is_isolated(&self, now: MilliTime) -> bool {
        now.since(self.last_reply_at) >= ISOLATION_TIME
    }

    fn suspect(&mut self, now: MilliTime, peer: HostKey) {
        if self.suspects.insert(peer) {
            self.reset_ring();
        }
        if self.is_isolated(now) {
            return;
        }
        let last = self.accused_at.get(&peer);
        if last.is_some_and(|&last| now.since(last) < ACCUSATION_GAP) {
            return;
        }
        self.accused_at.insert(peer, now);
        self.accuse(now, peer, None);
    }

    pub(crate) fn clear_suspicion(&mut self, peer: HostKey) {
        self.accused_at.remove(&peer);
        if self.suspects.remove(&peer) {
            self.reset_ring();
        }
    }

    /// Asks the router with the highest score for the accused host to probe it as well.
    fn accuse(&mut self, now: MilliTime, accused: HostKey, silent: Option<HostKey>) {
        let phase = self.hosts.phase(accused);
        if self.is_isolated(now) || phase.is_none_or(|phase| phase == ViewPhase::Down) {
            return;
        }
        let Some(code) = self.hosts.slot(accused).map(|slot| slot.hash.0 as u32) else {
            return;
        };
        let Some(judge) = self.choose_judge(accused, silent) else {
            self.declare_down(accused);
            return;
        };
        let message = ExchangeMessage {
            probe_host: Some(code),
            ..self.digest()
        };
        self.send(now, judge, &message, SendPurpose::Accusation { accused });
    }

    fn choose_judge(&self, accused: HostKey, silent: Option<HostKey>) -> Option<HostKey> {
        let accused_hash = self.hosts.slot(accused)?.hash;
        let able = self.hosts.slots().filter(|&(key, slot)| {
            let near = slot.entry.service == self.own.service
                && slot.entry.region == self.own.region
                && slot.entry.name != self.own.name;
            let reachable = slot.phase() != ViewPhase::Down && !self.suspects.contains(&key);
            near && reachable && key != accused && Some(key) != silent
        });
        able.min_by_key(|(_, slot)| Reverse(hash_pair(accused_hash, slot.hash)))
            .map(|(key, _)| key)
    }

    /// Probes a host that another router could not reach.
    pub(crate) fn probe(&mut self, now: MilliTime, accused: HostKey) {
        let probing = |pending: &PendingSend| {
            pending.to == accused && matches!(pending.purpose, SendPurpose::Probe)
        };
        let down = self.hosts.phase(accused) == Some(ViewPhase::Down);
        if down || self.sends.values().any(probing) {
            return;
        }
        let digest = self.digest();
        self.send(now, accused, &digest, SendPurpose::Probe);
    }

    fn declare_down(&mut self, host: HostKey) {
        let Some(slot) = self.hosts.slot(host) else {
            return;
        };
        if slot.phase() == ViewPhase::Down {
            return;
        }
        let incarnation = slot.incarnation();
        let same = slot.notice.incarnation == incarnation;
        let notice = HostNotice {
            incarnation,
            refutation: if same { slot.notice.refutation } else { 0 },
            state: NoticeState::Down,
        };
        let code = slot.hash.0 as u32;
        let host = slot.entry.name.clone();
        self.outputs.push_back(FleetOutput::DeclaredDown { host });
        self.counters.down_notices += 1;
        self.publish_notice(code, notice);
    }
}
