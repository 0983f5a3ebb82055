//! Load and history of the targets of a pool.

use std::collections::HashMap;

use briarrail_model::{HostPhase, MilliDuration, MilliTime, StableHash};
use slotmap::{SlotMap, new_key_type};

use crate::load_sum::LoadSum;
use crate::target_history::HistorySample;
use crate::target_state::TargetState;
use crate::view_builder::ViewBuilder;
use crate::{PlacementSettings, PlacementView, RouterTopology, TargetInput};

/// Targets that are first seen within this time after the start are assumed to have a warm cache.
const STARTUP_PERIOD: MilliDuration = MilliDuration::from_secs(30);
const ABSENT_TARGET_RETENTION: MilliDuration = MilliDuration::from_secs(900);

new_key_type! {
    /// Key of a target in a tracker.
    struct TargetKey;
}

/// Tracks load and history of the targets of one pool; owned by the control thread.
///
/// ```
/// use briarrail_model::{HostPhase, MilliTime, RoutingPreference, StableHash};
/// use briarrail_policy::{
///     LoadTracker, PlacementRequest, PlacementSettings, RouterTopology, TargetInput, place,
/// };
///
/// let topology = RouterTopology {
///     data_centre: StableHash(1),
///     region: StableHash(2),
///     router_count: 9,
/// };
/// let settings = PlacementSettings::new(1.4, RoutingPreference::EvenLoad);
/// let targets: Vec<_> = (10..14)
///     .map(|name| TargetInput {
///         name: StableHash(name),
///         data_centre: StableHash(1),
///         region: StableHash(2),
///         phase: HostPhase::Live,
///         incarnation: 0,
///         load: None,
///         peer_in_flight: None,
///         in_flight: 0,
///     })
///     .collect();
/// let now = MilliTime::from_millis(1_000);
/// let mut tracker = LoadTracker::new(now);
/// let view = tracker.refresh(&targets, settings, topology, now);
/// let request = PlacementRequest::for_chat(StableHash(7));
/// let counts = vec![0; targets.len()];
/// assert!(place(&view, &request, &counts, 1).target().is_some());
/// ```
#[derive(Debug, Clone)]
pub struct LoadTracker {
    started_at: MilliTime,
    targets: SlotMap<TargetKey, TargetState>,
    keys: HashMap<StableHash, TargetKey>,
}

impl LoadTracker {
    /// Creates an empty tracker.
    #[must_use]
    pub fn new(now: MilliTime) -> Self {
        Self {
            started_at: now,
            targets: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Updates the state of the targets from `inputs` and returns the view for traffic threads.
    ///
    /// A target's position in `inputs` is its [`TargetIndex`](crate::TargetIndex) in the view.
    pub fn refresh(
        &mut self,
        inputs: &[TargetInput],
        settings: PlacementSettings,
        topology: RouterTopology,
        now: MilliTime,
    ) -> PlacementView {
        let keys = self.observe(inputs, now);
        self.record_absences(now);
        let eligible = self.eligible_targets(inputs, &keys, now);
        self.update_loads(inputs, &keys, &eligible, settings, now);
        let states: Vec<_> = keys.iter().map(|&key| &self.targets[key]).collect();
        let builder = ViewBuilder {
            inputs,
            states: &states,
            settings,
            topology,
            now,
        };
        let view = builder.build(&eligible);
        self.record_history(inputs, &keys, &view, now);
        view
    }

    /// Records the admitted load of each target, for the forecasts of later views.
    fn record_history(
        &mut self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        view: &PlacementView,
        now: MilliTime,
    ) {
        for (position, input) in inputs.iter().enumerate() {
            let sample = HistorySample {
                at: now,
                in_flight: input.in_flight,
                admitted_load_ratio: view.targets[position].admitted_load_ratio,
            };
            self.targets[keys[position]].history.record(sample);
        }
    }

    /// Returns the memory used by the tracker, in bytes.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let states = self.targets.capacity() * size_of::<TargetState>();
        let keys = self.keys.capacity() * size_of::<(StableHash, TargetKey)>();
        size_of::<Self>() + states + keys
    }

    /// Updates or creates the state of each target in `inputs`; returns the keys in that order.
    fn observe(&mut self, inputs: &[TargetInput], now: MilliTime) -> Vec<TargetKey> {
        let is_cold = now.since(self.started_at) >= STARTUP_PERIOD;
        let mut keys = Vec::with_capacity(inputs.len());
        for input in inputs {
            let targets = &mut self.targets;
            let new_state = || TargetState::new(input, is_cold, now);
            let entry = self.keys.entry(input.name);
            let key = *entry.or_insert_with(|| targets.insert(new_state()));
            self.targets[key].observe(input, now);
            keys.push(key);
        }
        keys
    }

    /// Records the targets that are missing from the inputs, and removes those absent for too long.
    fn record_absences(&mut self, now: MilliTime) {
        for state in self.targets.values_mut() {
            if state.last_seen < now {
                state.record_absence(now);
            }
        }
        self.targets
            .retain(|_, state| now.since(state.last_seen) < ABSENT_TARGET_RETENTION);
        let targets = &self.targets;
        self.keys.retain(|_, key| targets.contains_key(*key));
    }

    /// Returns the positions of the live targets.
    ///
    /// Excludes flapping targets if at least half of the live targets remain.
    fn eligible_targets(
        &mut self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        now: MilliTime,
    ) -> Vec<usize> {
        let live = |position: &usize| inputs[*position].phase == HostPhase::Live;
        let live: Vec<_> = (0..inputs.len()).filter(live).collect();
        let mut stable = live.clone();
        stable.retain(|&position| !self.targets[keys[position]].flap_damper.is_suppressed(now));
        if stable.len() * 2 >= live.len() {
            stable
        } else {
            live
        }
    }

    /// Stores new load records and updates the home load of each target from them.
    fn update_loads(
        &mut self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        eligible: &[usize],
        settings: PlacementSettings,
        now: MilliTime,
    ) {
        if !settings.reports_load {
            return;
        }
        let mut updated = Vec::new();
        for &position in eligible {
            let state = &mut self.targets[keys[position]];
            let Some(record) = state.newest_load(&inputs[position]) else {
                continue;
            };
            let previous = state.record;
            if state.accept_record(record) {
                updated.push((position, previous));
            }
        }
        let loads = self.region_loads(inputs, keys, eligible, now);
        for (position, previous) in updated {
            let mean = loads
                .get(&inputs[position].region)
                .map_or(0.0, LoadSum::mean);
            let state = &mut self.targets[keys[position]];
            if let Some(previous) = previous
                && mean > 0.0
            {
                state.update_home_load(previous, mean, settings.stream_time);
            }
            state.mean_at_record = mean;
        }
    }

    /// Returns the sum of the recent load records of each region.
    fn region_loads(
        &self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        eligible: &[usize],
        now: MilliTime,
    ) -> HashMap<StableHash, LoadSum> {
        let mut sums: HashMap<StableHash, LoadSum> = HashMap::new();
        for &position in eligible {
            let record = self.targets[keys[position]].fresh_record(now);
            if let Some(record) = record {
                let sum = sums.entry(inputs[position].region).or_default();
                sum.add(record.streams as f32);
            }
        }
        sums
    }
}
