//! Sending and retrying frames, and detecting failed peers.

use std::cmp::Reverse;

use briarrail_model::{MilliDuration, MilliTime, hash_pair};
use briarrail_peer::{
    Envelope, ExchangeMessage, HostNotice, MessageKind, NoticeState, REPLY_HEADER_BYTES,
    REQUEST_HEADER_BYTES,
};
use bytes::Bytes;

use crate::pending_send::{PendingSend, SendPurpose};
use crate::{EffectivePhase, FleetNode, FleetOutput, HostKey, SendId};

/// Minimum time between two requests to probe the same suspect.
const MIN_PROBE_REQUEST_INTERVAL: MilliDuration = MilliDuration::from_secs(5);
/// Time without any reply after which a router assumes that it is isolated itself.
const ISOLATION_TIMEOUT: MilliDuration = MilliDuration::from_secs(3);
/// Time after which a frame with neither a reply nor a reported failure counts as failed.
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
            from: self.local_host.name.clone(),
            incarnation: self.local_host.incarnation,
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
        let id = SendId(self.next_send_id);
        self.next_send_id += 1;
        let pending = PendingSend {
            to,
            frame,
            purpose,
            attempt: 0,
            retry_at: None,
            sent_at: now,
        };
        self.pending_sends.insert(id, pending);
        self.queue_send(now, id);
    }

    fn queue_send(&mut self, now: MilliTime, id: SendId) {
        let Some(pending) = self.pending_sends.get_mut(&id) else {
            return;
        };
        let Some(entry) = self.hosts.entry(pending.to) else {
            self.pending_sends.remove(&id);
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

    /// Handles the reply to a frame; `reply` is empty when the peer had no updates to send.
    pub fn on_reply(&mut self, now: MilliTime, id: SendId, reply: &[u8]) {
        self.count_received(reply.len() + REPLY_HEADER_BYTES);
        let Some(pending) = self.pending_sends.remove(&id) else {
            return;
        };
        self.clear_suspicion(pending.to);
        self.last_reply_at = now;
        if !reply.is_empty() {
            self.open_reply(now, reply);
        }
    }

    /// Handles a frame that was not delivered or whose reply timed out.
    pub fn on_send_failed(&mut self, now: MilliTime, id: SendId) {
        let Some(pending) = self.pending_sends.get_mut(&id) else {
            return;
        };
        pending.attempt += 1;
        let is_suspect = self.suspects.contains(&pending.to);
        if pending.attempt < pending.purpose.max_attempts(is_suspect) {
            pending.retry_at = Some(now + self.settings.retry_delay);
            return;
        }
        if let Some(pending) = self.pending_sends.remove(&id) {
            self.on_unresponsive(now, pending);
        }
    }

    pub(crate) fn retry_sends(&mut self, now: MilliTime) {
        let mut due = Vec::new();
        let mut timed_out = Vec::new();
        for (&id, pending) in &self.pending_sends {
            match pending.retry_at {
                Some(retry_at) if now >= retry_at => due.push(id),
                None if now.since(pending.sent_at) >= SEND_TIMEOUT => timed_out.push(id),
                _ => {}
            }
        }
        due.into_iter().for_each(|id| self.queue_send(now, id));
        timed_out
            .into_iter()
            .for_each(|id| self.on_send_failed(now, id));
    }

    fn on_unresponsive(&mut self, now: MilliTime, pending: PendingSend) {
        let to = pending.to;
        match pending.purpose {
            SendPurpose::Probe => {
                if !self.is_isolated(now) {
                    self.declare_down(to);
                }
                return;
            }
            SendPurpose::ProbeRequest { suspect } => self.request_probe(now, suspect, Some(to)),
            SendPurpose::Round {
                distance,
                loads,
                notices,
            } => self.reroute_round(now, distance, loads, notices),
            SendPurpose::Broadcast { distance, message } => {
                self.reroute_broadcast(now, distance, &message);
            }
        }
        self.suspect(now, to);
    }

    /// Returns whether no peer has replied recently, so that the fault is more likely local.
    fn is_isolated(&self, now: MilliTime) -> bool {
        now.since(self.last_reply_at) >= ISOLATION_TIMEOUT
    }

    fn suspect(&mut self, now: MilliTime, peer: HostKey) {
        if self.suspects.insert(peer) {
            self.reset_ring();
        }
        if self.is_isolated(now) {
            return;
        }
        let requested_at = self.probe_requested_at.get(&peer);
        if requested_at
            .is_some_and(|&requested_at| now.since(requested_at) < MIN_PROBE_REQUEST_INTERVAL)
        {
            return;
        }
        self.probe_requested_at.insert(peer, now);
        self.request_probe(now, peer, None);
    }

    pub(crate) fn clear_suspicion(&mut self, peer: HostKey) {
        self.probe_requested_at.remove(&peer);
        if self.suspects.remove(&peer) {
            self.reset_ring();
        }
    }

    /// Asks another router to probe the suspect; declares it down if there is no router to ask.
    ///
    /// The prober is the reachable router of the region with the highest rendezvous hash for the
    /// suspect.
    fn request_probe(
        &mut self,
        now: MilliTime,
        suspect: HostKey,
        unresponsive_prober: Option<HostKey>,
    ) {
        let phase = self.hosts.phase(suspect);
        if self.is_isolated(now) || phase.is_none_or(|phase| phase == EffectivePhase::Down) {
            return;
        }
        let Some(code) = self.hosts.slot(suspect).map(|slot| slot.hash.0 as u32) else {
            return;
        };
        let Some(prober) = self.choose_prober(suspect, unresponsive_prober) else {
            self.declare_down(suspect);
            return;
        };
        let message = ExchangeMessage {
            probe_host: Some(code),
            ..self.digest_message()
        };
        self.send(now, prober, &message, SendPurpose::ProbeRequest { suspect });
    }

    fn choose_prober(
        &self,
        suspect: HostKey,
        unresponsive_prober: Option<HostKey>,
    ) -> Option<HostKey> {
        let suspect_hash = self.hosts.slot(suspect)?.hash;
        let candidates = self.hosts.slots().filter(|&(key, slot)| {
            let is_regional_peer = slot.entry.service == self.local_host.service
                && slot.entry.region == self.local_host.region
                && slot.entry.name != self.local_host.name;
            let is_reachable =
                slot.phase() != EffectivePhase::Down && !self.suspects.contains(&key);
            is_regional_peer && is_reachable && key != suspect && Some(key) != unresponsive_prober
        });
        candidates
            .min_by_key(|(_, slot)| Reverse(hash_pair(suspect_hash, slot.hash)))
            .map(|(key, _)| key)
    }

    /// Probes a host that another router could not reach.
    pub(crate) fn probe(&mut self, now: MilliTime, suspect: HostKey) {
        let is_probe = |pending: &PendingSend| {
            pending.to == suspect && matches!(pending.purpose, SendPurpose::Probe)
        };
        let is_down = self.hosts.phase(suspect) == Some(EffectivePhase::Down);
        if is_down || self.pending_sends.values().any(is_probe) {
            return;
        }
        let digest = self.digest_message();
        self.send(now, suspect, &digest, SendPurpose::Probe);
    }

    fn declare_down(&mut self, host: HostKey) {
        let Some(slot) = self.hosts.slot(host) else {
            return;
        };
        if slot.phase() == EffectivePhase::Down {
            return;
        }
        let incarnation = slot.incarnation();
        let is_same_incarnation = slot.notice.incarnation == incarnation;
        let notice = HostNotice {
            incarnation,
            refutation: if is_same_incarnation {
                slot.notice.refutation
            } else {
                0
            },
            state: NoticeState::Down,
        };
        let code = slot.hash.0 as u32;
        let host = slot.entry.name.clone();
        self.outputs.push_back(FleetOutput::DeclaredDown { host });
        self.counters.down_notices += 1;
        self.publish_notice(code, notice);
    }
}
