//! Load and history of a pool's targets.

use std::collections::HashMap;

use briarrail_model::{HostPhase, MilliDuration, MilliTime, StableHash};
use slotmap::{SlotMap, new_key_type};

use crate::load_sum::LoadSum;
use crate::target_history::HistorySample;
use crate::target_state::TargetState;
use crate::view_builder::ViewBuilder;
use crate::{PlacementSettings, PlacementView, RouterTopology, TargetInput};

const WARM_UP: MilliDuration = MilliDuration::from_secs(30);
const FORGET_AFTER: MilliDuration = MilliDuration::from_secs(900);

new_key_type! {
    /// Key of a target in a tracker.
    struct TargetKey;
}

/// Load and history of one pool's targets, kept by the control thread.
///
/// ```
/// use briarrail_model::{HostPhase, MilliTime, RoutingPreference, StableHash};
/// use briarrail_policy::{
///     LoadTracker, PlacementRequest, PlacementSettings, RouterTopology, TargetInput, place,
/// };
///
/// let topology = RouterTopology { data_centre: StableHash(1), region: StableHash(2), router_count: 9 };
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
    started: MilliTime,
    targets: SlotMap<TargetKey, TargetState>,
    keys: HashMap<StableHash, TargetKey>,
}

impl LoadTracker {
    /// Makes an empty tracker.
    #[must_use]
    pub fn new(now: MilliTime) -> Self {
        Self {
            started: now,
            targets: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Takes over what is known of the targets and returns the view for traffic threads.
    ///
    /// Positions in `inputs` are the [`TargetIndex`] of the view.
    pub fn refresh(
        &mut self,
        inputs: &[TargetInput],
        settings: PlacementSettings,
        topology: RouterTopology,
        now: MilliTime,
    ) -> PlacementView {
        let keys = self.observe(inputs, now);
        self.mark_absent(now);
        let open = self.open_targets(inputs, &keys, now);
        self.learn(inputs, &keys, &open, settings, now);
        let states: Vec<_> = keys.iter().map(|&key| &self.targets[key]).collect();
        let builder = ViewBuilder {
            inputs,
            states: &states,
            settings,
            topology,
            now,
        };
        let view = builder.build(&open);
        self.record_history(inputs, &keys, &view, now);
        view
    }

    /// Notes what the view leads to, for the forecasts of later views.
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
                own: input.in_flight,
                inflow: view.targets[position].inflow,
            };
            self.targets[keys[position]].history.record(sample);
        }
    }

    /// Returns the bytes of the tracker.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let states = self.targets.capacity() * size_of::<TargetState>();
        let keys = self.keys.capacity() * size_of::<(StableHash, TargetKey)>();
        size_of::<Self>() + states + keys
    }

    fn observe(&mut self, inputs: &[TargetInput], now: MilliTime) -> Vec<TargetKey> {
        let established = now.since(self.started) >= WARM_UP;
        let mut keys = Vec::with_capacity(inputs.len());
        for input in inputs {
            let targets = &mut self.targets;
            let first_state = || TargetState::new(input, established, now);
            let entry = self.keys.entry(input.name);
            let key = *entry.or_insert_with(|| targets.insert(first_state()));
            self.targets[key].observe(input, now);
            keys.push(key);
        }
        keys
    }

    /// Notes departures, and forgets targets that have been gone for long.
    fn mark_absent(&mut self, now: MilliTime) {
        for state in self.targets.values_mut() {
            if state.last_seen < now {
                state.observe_absence(now);
            }
        }
        self.targets
            .retain(|_, state| now.since(state.last_seen) < FORGET_AFTER);
        let targets = &self.targets;
        self.keys.retain(|_, key| targets.contains_key(*key));
    }

    /// Returns the positions of live targets, without flapping ones while enough others remain.
    fn open_targets(
        &mut self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        now: MilliTime,
    ) -> Vec<usize> {
        let live = |position: &usize| inputs[*position].phase == HostPhase::Live;
        let live: Vec<_> = (0..inputs.len()).filter(live).collect();
        let mut steady = live.clone();
        steady.retain(|&position| !self.targets[keys[position]].damper.is_suppressed(now));
        if steady.len() * 2 >= live.len() {
            steady
        } else {
            live
        }
    }

    /// Takes over new load records and learns the home load of each target from them.
    fn learn(
        &mut self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        open: &[usize],
        settings: PlacementSettings,
        now: MilliTime,
    ) {
        if !settings.reports_load {
            return;
        }
        let mut fresh = Vec::new();
        for &position in open {
            let state = &mut self.targets[keys[position]];
            let Some(record) = state.newest_load(&inputs[position]) else {
                continue;
            };
            let previous = state.record;
            if state.observe_load(record) {
                fresh.push((position, previous));
            }
        }
        let means = self.region_means(inputs, keys, open, now);
        for (position, previous) in fresh {
            let mean = means
                .get(&inputs[position].region)
                .map_or(0.0, LoadSum::mean);
            let state = &mut self.targets[keys[position]];
            if let Some(previous) = previous
                && mean > 0.0
            {
                state.compare(previous, mean, settings.stream_time);
            }
            state.record_mean = mean;
        }
    }

    fn region_means(
        &self,
        inputs: &[TargetInput],
        keys: &[TargetKey],
        open: &[usize],
        now: MilliTime,
    ) -> HashMap<StableHash, LoadSum> {
        let mut sums: HashMap<StableHash, LoadSum> = HashMap::new();
        for &position in open {
            let record = self.targets[keys[position]].usable_record(now);
            if let Some(record) = record {
                let sum = sums.entry(inputs[position].region).or_default();
                sum.add(record.streams as f32);
            }
        }
        sums
    }
}
