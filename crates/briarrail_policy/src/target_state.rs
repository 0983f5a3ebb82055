//! What a load ledger remembers of a target.

use briarrail_model::{HostPhase, LoadRecord, MilliDuration, MilliTime};

use crate::TargetInput;
use crate::flap_damper::FlapDamper;
use crate::load_forecast::LoadForecast;
use crate::target_history::TargetHistory;

const WARM_ABSENCE: MilliDuration = MilliDuration::from_secs(300);
const MAX_RECORD_AGE: MilliDuration = MilliDuration::from_secs(120);
const HOME_MEMORY_S: f64 = 180.0;
const MIN_HOME_RATIO: f32 = 0.5;
const MAX_HOME_RATIO: f32 = 2.0;
const SETTLE_TIME: MilliDuration = MilliDuration::from_secs(30);
const FIRST_SHARE: f32 = 0.2;

/// What a load ledger remembers of one target.
#[derive(Debug, Clone)]
pub(crate) struct TargetState {
    pub(crate) last_seen: MilliTime,
    pub(crate) record: Option<LoadRecord>,
    /// Mean load of the target's region when the record arrived.
    pub(crate) record_mean: f32,
    /// Load to which the arrivals of its home chats lead, as a multiple of the pool's mean.
    pub(crate) home_ratio: f32,
    pub(crate) damper: FlapDamper,
    pub(crate) history: TargetHistory,
    incarnation: u64,
    live: bool,
    pub(crate) live_since: MilliTime,
    ramp_from: Option<MilliTime>,
}

impl TargetState {
    /// Makes the state of a target seen for the first time; `cold` starts its ramp.
    pub(crate) fn new(input: &TargetInput, cold: bool, now: MilliTime) -> Self {
        Self {
            last_seen: now,
            record: None,
            record_mean: 0.0,
            home_ratio: 1.0,
            damper: FlapDamper::default(),
            history: TargetHistory::default(),
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
    }

    /// Notes that the host list no longer holds the target.
    pub(crate) fn observe_absence(&mut self, now: MilliTime) {
        if self.live {
            self.damper.record_departure(now);
        }
        self.live = false;
    }

    /// Returns the newer of the target's report and the sum of all routers' counts.
    pub(crate) fn newest_load(&self, input: &TargetInput) -> Option<LoadRecord> {
        let keep_share = input.load.map_or(u8::MAX, |record| record.keep_share);
        let counted = input.peer_in_flight.map(|peers| LoadRecord {
            version: peers.as_of,
            streams: peers.in_flight + self.history.own_at(peers.as_of).unwrap_or(input.in_flight),
            keep_share,
        });
        let records = input.load.into_iter().chain(counted);
        records.max_by_key(|record| record.version)
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

    /// Returns the held record, or none at the time of a restart; none when both are too old.
    ///
    /// A target that started a short while ago holds no stream then.
    pub(crate) fn known_load(&self, now: MilliTime) -> Option<(u32, MilliTime)> {
        let reported = self.record.map(|record| (record.streams, record.version));
        let known = reported.unwrap_or((0, self.live_since));
        (now.since(known.1) <= MAX_RECORD_AGE).then_some(known)
    }

    /// Returns the held record unless it is too old to say anything.
    pub(crate) fn usable_record(&self, now: MilliTime) -> Option<LoadRecord> {
        let fresh = |record: &LoadRecord| now.since(record.version) <= MAX_RECORD_AGE;
        self.record.filter(fresh)
    }

    /// Learns from the held record what a forecast from the previous one missed.
    pub(crate) fn compare(&mut self, previous: LoadRecord, mean: f32, stream_time: MilliDuration) {
        let Some(record) = self.record.filter(|_| self.record_mean > 0.0) else {
            return;
        };
        let forecast = LoadForecast {
            reported: previous.streams as f32 / self.record_mean,
            reported_at: previous.version,
            mean: 1.0,
            usual_inflow: self.home_ratio,
            stream_time,
        };
        let expected = forecast.expected(&self.history, record.version);
        let surprise = record.streams as f32 / mean - expected;
        let elapsed = record.version.since(previous.version);
        self.learn_surprise(surprise, elapsed, stream_time);
    }

    /// Moves the home load by what a report gives above its forecast, in multiples of the mean.
    fn learn_surprise(
        &mut self,
        surprise: f32,
        elapsed: MilliDuration,
        stream_time: MilliDuration,
    ) {
        let span = elapsed + stream_time;
        let weight = (span.as_secs_f64() / HOME_MEMORY_S).min(1.0) as f32;
        let home_ratio = self.home_ratio + weight * surprise;
        self.home_ratio = home_ratio.clamp(MIN_HOME_RATIO, MAX_HOME_RATIO);
    }

    /// Returns the part of its home chats that the target takes while its load is low.
    pub(crate) fn ramp_share(&self, ramp: MilliDuration, now: MilliTime) -> f32 {
        let Some(start) = self.ramp_from else {
            return 1.0;
        };
        let progress = now.since(start).as_millis() as f32 / ramp.as_millis().max(1) as f32;
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * progress).min(1.0)
    }

    /// Returns whether the target has run for long enough to carry its part of the load.
    pub(crate) fn is_settled(&self, now: MilliTime) -> bool {
        now.since(self.live_since) >= SETTLE_TIME
    }

    fn restart(&mut self, now: MilliTime) {
        self.record = None;
        self.home_ratio = 1.0;
        self.live_since = now;
        self.ramp_from = Some(now);
    }
}
