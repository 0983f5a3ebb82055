//! What a load ledger remembers of a target.

use briarrail_model::{HostPhase, LoadRecord, MilliDuration, MilliTime};

use crate::TargetInput;
use crate::flap_damper::FlapDamper;
use crate::own_history::OwnHistory;

const WARM_ABSENCE: MilliDuration = MilliDuration::from_secs(300);
const MAX_RECORD_AGE: MilliDuration = MilliDuration::from_secs(120);
const SHARE_MEMORY_S: f64 = 30.0;
const FIRST_SHARE: f32 = 0.2;

/// What a load ledger remembers of one target.
#[derive(Debug, Clone)]
pub(crate) struct TargetState {
    pub(crate) last_seen: MilliTime,
    pub(crate) record: Option<LoadRecord>,
    /// Usual load as a multiple of the pool's mean.
    pub(crate) usual_ratio: f32,
    pub(crate) damper: FlapDamper,
    pub(crate) history: OwnHistory,
    incarnation: u64,
    live: bool,
    live_since: MilliTime,
    ramp_from: Option<MilliTime>,
}

impl TargetState {
    /// Makes the state of a target seen for the first time; `cold` starts its ramp.
    pub(crate) fn new(input: &TargetInput, cold: bool, now: MilliTime) -> Self {
        Self {
            last_seen: now,
            record: None,
            usual_ratio: 1.0,
            damper: FlapDamper::default(),
            history: OwnHistory::default(),
            incarnation: input.incarnation,
            live: input.phase == HostPhase::Live,
            live_since: if cold { now } else { MilliTime::default() },
            ramp_from: cold.then_some(now),
        }
    }

    /// Takes over phase, incarnation and own count of an input.
    pub(crate) fn observe(&mut self, input: &TargetInput, now: MilliTime) {
        let live = input.phase == HostPhase::Live;
        let restarted = input.incarnation > self.incarnation;
        let returned = live && !self.live;
        let long_gone = returned && now.since(self.last_seen) > WARM_ABSENCE;
        if restarted || long_gone {
            self.restart(now);
        }
        if self.live && (!live || restarted) {
            self.damper.record_departure(now);
        }
        self.incarnation = self.incarnation.max(input.incarnation);
        self.live = live;
        self.last_seen = now;
        self.history.record(input.in_flight, now);
    }

    /// Notes that the host list no longer holds the target.
    pub(crate) fn observe_absence(&mut self, now: MilliTime) {
        if self.live {
            self.damper.record_departure(now);
        }
        self.live = false;
    }

    /// Takes over a record unless it is older than the held one or than the last start.
    pub(crate) fn observe_load(&mut self, record: LoadRecord) -> bool {
        let current = self.record.is_none_or(|held| record.supersedes(&held));
        let accepted = current && record.version >= self.live_since;
        if accepted {
            self.record = Some(record);
        }
        accepted
    }

    /// Returns the held record unless it is too old to say anything.
    pub(crate) fn usable_record(&self, now: MilliTime) -> Option<LoadRecord> {
        let fresh = |record: &LoadRecord| now.since(record.version) <= MAX_RECORD_AGE;
        self.record.filter(fresh)
    }

    /// Moves the usual load towards a reported multiple of the mean.
    pub(crate) fn learn_ratio(&mut self, ratio: f32, elapsed: MilliDuration) {
        let weight = 1.0 - (-elapsed.as_secs_f64() / SHARE_MEMORY_S).exp();
        self.usual_ratio += weight as f32 * (ratio - self.usual_ratio);
    }

    /// Returns the part of its home chats that the target takes while its load is low.
    pub(crate) fn ramp_share(&self, ramp: MilliDuration, now: MilliTime) -> f32 {
        let Some(start) = self.ramp_from else {
            return 1.0;
        };
        let progress = now.since(start).as_millis() as f32 / ramp.as_millis().max(1) as f32;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * progress).min(1.0)
    }

    fn restart(&mut self, now: MilliTime) {
        self.record = None;
        self.usual_ratio = 1.0;
        self.live_since = now;
        self.ramp_from = Some(now);
    }
}
