//! State of a target in a load tracker.

use briarrail_model::{HostPhase, LoadRecord, MilliDuration, MilliTime};

use crate::TargetInput;
use crate::flap_damper::FlapDamper;
use crate::load_forecast::LoadForecast;
use crate::target_history::TargetHistory;

/// Longest absence after which a target's cache is still assumed to be warm.
const MAX_WARM_ABSENCE: MilliDuration = MilliDuration::from_secs(300);
const MAX_RECORD_AGE: MilliDuration = MilliDuration::from_secs(120);
/// Time constant of the moving average of the home load.
const HOME_LOAD_TIME_CONSTANT_S: f64 = 180.0;
const MIN_HOME_LOAD_RATIO: f32 = 0.5;
const MAX_HOME_LOAD_RATIO: f32 = 2.0;
/// Time after which a target is expected to carry its share of the load.
const SETTLE_TIME: MilliDuration = MilliDuration::from_secs(30);
/// Fraction of its home chats that a cold target receives at the start of its ramp-up.
const INITIAL_RAMP_FRACTION: f32 = 0.2;

/// State of one target in a [`LoadTracker`](crate::LoadTracker).
#[derive(Debug, Clone)]
pub(crate) struct TargetState {
    pub(crate) last_seen: MilliTime,
    pub(crate) record: Option<LoadRecord>,
    /// Mean load of the target's region when the record was accepted.
    pub(crate) mean_at_record: f32,
    /// Steady-state load of the target's home chats, as a multiple of the mean load.
    pub(crate) home_load_ratio: f32,
    pub(crate) flap_damper: FlapDamper,
    pub(crate) history: TargetHistory,
    incarnation: u64,
    live: bool,
    pub(crate) live_since: MilliTime,
    ramp_start: Option<MilliTime>,
}

impl TargetState {
    /// Creates the state of a target that is seen for the first time; `cold` starts its ramp-up.
    pub(crate) fn new(input: &TargetInput, cold: bool, now: MilliTime) -> Self {
        Self {
            last_seen: now,
            record: None,
            mean_at_record: 0.0,
            home_load_ratio: 1.0,
            flap_damper: FlapDamper::default(),
            history: TargetHistory::default(),
            incarnation: input.incarnation,
            live: input.phase == HostPhase::Live,
            live_since: if cold { now } else { MilliTime::default() },
            ramp_start: cold.then_some(now),
        }
    }

    /// Updates the phase and the incarnation from an input.
    pub(crate) fn observe(&mut self, input: &TargetInput, now: MilliTime) {
        let live = input.phase == HostPhase::Live;
        let restarted = input.incarnation > self.incarnation;
        let returned = live && !self.live;
        let absent_too_long = returned && now.since(self.last_seen) > MAX_WARM_ABSENCE;
        if restarted || absent_too_long {
            self.reset_load_state(now);
        }
        if self.live && (!live || restarted) {
            self.flap_damper.record_departure(now);
        }
        self.incarnation = self.incarnation.max(input.incarnation);
        self.live = live;
        self.last_seen = now;
    }

    /// Records that the target is missing from the host list.
    pub(crate) fn record_absence(&mut self, now: MilliTime) {
        if self.live {
            self.flap_damper.record_departure(now);
        }
        self.live = false;
    }

    /// Returns the newer of the target's load report and the sum of all routers' in-flight counts.
    pub(crate) fn newest_load(&self, input: &TargetInput) -> Option<LoadRecord> {
        let keep_share = input.load.map_or(u8::MAX, |record| record.keep_share);
        let from_counts = input.peer_in_flight.map(|peers| {
            let own = self.history.in_flight_at(peers.as_of);
            LoadRecord {
                version: peers.as_of,
                streams: peers.in_flight + own.unwrap_or(input.in_flight),
                keep_share,
            }
        });
        let records = input.load.into_iter().chain(from_counts);
        records.max_by_key(|record| record.version)
    }

    /// Stores a record unless it is older than the current one or than the target's last start.
    ///
    /// Returns whether the record was stored.
    pub(crate) fn accept_record(&mut self, record: LoadRecord) -> bool {
        let is_newer = self
            .record
            .is_none_or(|current| record.supersedes(&current));
        let accepted = is_newer && record.version >= self.live_since;
        if accepted {
            self.record = Some(record);
        }
        accepted
    }

    /// Returns the last known load in streams and its time, or `None` if it is too old.
    ///
    /// Without a record, the load is 0 at the time at which the target started.
    pub(crate) fn known_load(&self, now: MilliTime) -> Option<(u32, MilliTime)> {
        let reported = self.record.map(|record| (record.streams, record.version));
        let known = reported.unwrap_or((0, self.live_since));
        (now.since(known.1) <= MAX_RECORD_AGE).then_some(known)
    }

    /// Returns the current record unless it is too old to be useful.
    pub(crate) fn fresh_record(&self, now: MilliTime) -> Option<LoadRecord> {
        let is_fresh = |record: &LoadRecord| now.since(record.version) <= MAX_RECORD_AGE;
        self.record.filter(is_fresh)
    }

    /// Corrects the home load by the error of the forecast from the previous record.
    pub(crate) fn update_home_load(
        &mut self,
        previous: LoadRecord,
        mean: f32,
        stream_time: MilliDuration,
    ) {
        let Some(record) = self.record.filter(|_| self.mean_at_record > 0.0) else {
            return;
        };
        let forecast = LoadForecast {
            reported_load: previous.streams as f32 / self.mean_at_record,
            reported_at: previous.version,
            mean_load: 1.0,
            prior_load_ratio: self.home_load_ratio,
            stream_time,
        };
        let expected = forecast.expected_load(&self.history, record.version);
        let forecast_error = record.streams as f32 / mean - expected;
        let elapsed = record.version.since(previous.version);
        self.adjust_home_load(forecast_error, elapsed, stream_time);
    }

    /// Adjusts the home load by a weighted forecast error, given as a multiple of the mean load.
    fn adjust_home_load(
        &mut self,
        forecast_error: f32,
        elapsed: MilliDuration,
        stream_time: MilliDuration,
    ) {
        let span = elapsed + stream_time;
        let weight = (span.as_secs_f64() / HOME_LOAD_TIME_CONSTANT_S).min(1.0) as f32;
        let home_load_ratio = self.home_load_ratio + weight * forecast_error;
        self.home_load_ratio = home_load_ratio.clamp(MIN_HOME_LOAD_RATIO, MAX_HOME_LOAD_RATIO);
    }

    /// Returns the fraction of its home chats that the target receives during its ramp-up.
    pub(crate) fn ramp_fraction(&self, ramp: MilliDuration, now: MilliTime) -> f32 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let progress = now.since(start).as_millis() as f32 / ramp.as_millis().max(1) as f32;
        (INITIAL_RAMP_FRACTION + (1.0 - INITIAL_RAMP_FRACTION) * progress).min(1.0)
    }

    /// Returns whether the target has run long enough to carry its share of the load.
    pub(crate) fn is_settled(&self, now: MilliTime) -> bool {
        now.since(self.live_since) >= SETTLE_TIME
    }

    /// Discards the known load and starts the ramp-up, since the cache is cold.
    fn reset_load_state(&mut self, now: MilliTime) {
        self.record = None;
        self.home_load_ratio = 1.0;
        self.live_since = now;
        self.ramp_start = Some(now);
    }
}
