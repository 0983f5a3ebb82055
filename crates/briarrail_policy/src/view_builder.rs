//! Builder of placement views.

use briarrail_model::MilliTime;

use crate::eligible_target::EligibleTarget;
use crate::load_forecast::LoadForecast;
use crate::load_limits::LoadLimits;
use crate::load_sum::LoadSum;
use crate::target_estimate::TargetEstimate;
use crate::target_state::TargetState;
use crate::{PlacementSettings, PlacementView, RouterTopology, TargetIndex, TargetInput};

/// Value of [`LoadRecord::keep_share`](briarrail_model::LoadRecord::keep_share) for all chats.
const MAX_KEEP_SHARE: f32 = 255.0;
/// Weight of the local change, extrapolated to the fleet, against the assumption of no change.
const LOCAL_CHANGE_WEIGHT: f32 = 0.5;
/// Lower limit of the mean admitted load, which avoids a division by zero if all targets shed.
const MIN_ADMITTED_MEAN: f32 = 0.1;

/// Builds the view of one pool from its inputs and the tracked states in the same order.
pub(crate) struct ViewBuilder<'a> {
    pub(crate) inputs: &'a [TargetInput],
    pub(crate) states: &'a [&'a TargetState],
    pub(crate) settings: PlacementSettings,
    pub(crate) topology: RouterTopology,
    pub(crate) now: MilliTime,
}

impl ViewBuilder<'_> {
    /// Builds the view in which the targets at the `eligible` positions may receive new requests.
    pub(crate) fn build(&self, eligible: &[usize]) -> PlacementView {
        let is_local = |&position: &usize| self.inputs[position].region == self.topology.region;
        let (local, remote): (Vec<_>, Vec<_>) = eligible.iter().copied().partition(is_local);
        let mut targets = vec![TargetEstimate::default(); self.inputs.len()];
        let local_mean = self.forecast_region(&local, &mut targets);
        let remote_mean = self.forecast_region(&remote, &mut targets);
        let serving = if local.is_empty() { &remote } else { &local };
        PlacementView {
            settings: self.settings,
            created_at: self.now,
            mean_load: if local.is_empty() {
                remote_mean
            } else {
                local_mean
            },
            fleet_mean_load: self.fleet_mean_load(serving, &targets),
            targets,
            local: self.eligible_targets(&local),
            remote: self.eligible_targets(&remote),
        }
    }

    /// Returns the view entries of the targets at `positions`.
    fn eligible_targets(&self, positions: &[usize]) -> Vec<EligibleTarget> {
        let target = |&position: &usize| EligibleTarget {
            name: self.inputs[position].name,
            index: TargetIndex::new(position),
        };
        positions.iter().map(target).collect()
    }

    /// Sets the loads and limits of the members of a region and returns their mean load in streams.
    fn forecast_region(&self, members: &[usize], targets: &mut [TargetEstimate]) -> f32 {
        let reported_mean_load = self.reported_mean_load(members);
        let mut std_devs = Vec::with_capacity(members.len());
        for &position in members {
            let target = &mut targets[position];
            let std_dev = match reported_mean_load {
                Some(mean) => self.forecast_reported(position, mean, target),
                None => self.forecast_unreported(position, target),
            };
            std_devs.push(std_dev);
        }
        let mean = self.settled_mean_load(members, targets);
        for (&position, std_dev) in members.iter().zip(std_devs) {
            let limits = LoadLimits::new(&self.settings, mean, std_dev);
            let target = &mut targets[position];
            target.shed_limit = limits.shed_limit;
            target.hard_limit = limits.hard_limit;
            target.shed_band = limits.shed_band;
            target.max_keep_fraction = self.max_keep_fraction(position);
        }
        self.set_admitted_load(members, targets);
        mean
    }

    /// Sets the steady-state load of the arrivals that each target admits.
    ///
    /// Chats that a target sheds are assumed to go to the other targets in proportion to the load
    /// that these admit.
    fn set_admitted_load(&self, members: &[usize], targets: &mut [TargetEstimate]) {
        let mut admitted_sum = LoadSum::default();
        for &position in members {
            let local_change = self.local_change(position, &targets[position]);
            let target = &mut targets[position];
            let kept = target.keep_fraction(target.expected_load + local_change);
            target.admitted_load_ratio = self.states[position].home_load_ratio * kept;
            admitted_sum.add(target.admitted_load_ratio);
        }
        let mean = admitted_sum.mean().max(MIN_ADMITTED_MEAN);
        for &position in members {
            targets[position].admitted_load_ratio /= mean;
        }
    }

    /// Returns the change of this router's in-flight count since the target's load report.
    fn local_change(&self, position: usize, target: &TargetEstimate) -> f32 {
        self.inputs[position].in_flight as f32 - target.in_flight_at_report as f32
    }

    /// Returns the mean load with the change of this router's counts extrapolated to the fleet.
    ///
    /// Returns `None` if no member has a recent load record.
    fn fleet_mean_load(&self, members: &[usize], targets: &[TargetEstimate]) -> Option<f32> {
        self.reported_mean_load(members)?;
        let mut loads = LoadSum::default();
        for &position in members {
            let target = &targets[position];
            let local_change = self.local_change(position, target);
            loads.add(
                target.expected_load
                    + local_change * self.topology.router_count as f32 * LOCAL_CHANGE_WEIGHT,
            );
        }
        Some(loads.mean().max(0.0))
    }

    /// Returns the mean load of the settled targets, or of all targets if none has settled.
    ///
    /// A target that has just joined has little load; including it would lower the mean so far that
    /// all other targets would shed chats.
    fn settled_mean_load(&self, members: &[usize], targets: &[TargetEstimate]) -> f32 {
        let mut settled = LoadSum::default();
        let mut all = LoadSum::default();
        for &position in members {
            let target = &targets[position];
            let load = (target.expected_load + self.local_change(position, target)).max(0.0);
            all.add(load);
            if self.states[position].is_settled(self.now) {
                settled.add(load);
            }
        }
        let loads = if settled.is_empty() { all } else { settled };
        loads.mean()
    }

    /// Returns the mean of the recent load records, or `None` if there are none.
    fn reported_mean_load(&self, members: &[usize]) -> Option<f32> {
        let mut loads = LoadSum::default();
        for &position in members {
            if let Some(record) = self.states[position].fresh_record(self.now) {
                loads.add(record.streams as f32);
            }
        }
        (!loads.is_empty()).then(|| loads.mean())
    }

    /// Forecasts the load from the target's report, or from its usual load without a report.
    ///
    /// Returns the standard deviation of the forecast. The share of this router is excluded from
    /// the forecast because it is known from the in-flight counts.
    fn forecast_reported(&self, position: usize, mean: f32, target: &mut TargetEstimate) -> f32 {
        let state = self.states[position];
        let in_flight_now = self.inputs[position].in_flight;
        let Some((reported, reported_at)) = state.known_load(self.now) else {
            target.expected_load = state.home_load_ratio * mean;
            target.in_flight_at_report = in_flight_now;
            return 0.0;
        };
        let forecast = LoadForecast {
            reported_load: reported as f32,
            reported_at,
            mean_load: mean,
            prior_load_ratio: state.home_load_ratio,
            stream_time: self.settings.stream_time,
        };
        let others_fraction = 1.0 - 1.0 / self.topology.router_count.max(1) as f32;
        let drift = forecast.expected_load(&state.history, self.now) - reported as f32;
        target.expected_load = (reported as f32 + others_fraction * drift).max(0.0);
        target.in_flight_at_report = state
            .history
            .in_flight_at(reported_at)
            .unwrap_or(in_flight_now);
        let age = self.now.since(reported_at);
        let known_age = age.min(self.settings.report_delay);
        forecast.std_dev(known_age) * others_fraction.sqrt()
    }

    /// Uses this router's in-flight count as the load; returns a standard deviation of 0.
    fn forecast_unreported(&self, position: usize, target: &mut TargetEstimate) -> f32 {
        let in_flight = self.inputs[position].in_flight;
        target.expected_load = in_flight as f32;
        target.in_flight_at_report = in_flight;
        0.0
    }

    /// Returns the fraction of its home chats that a target keeps at low load: its ramp-up fraction
    /// times the share that it reported.
    fn max_keep_fraction(&self, position: usize) -> f32 {
        let state = self.states[position];
        let ramp = state.ramp_fraction(self.settings.join_ramp, self.now);
        let reported_share = state
            .record
            .map_or(MAX_KEEP_SHARE, |record| f32::from(record.keep_share));
        ramp * reported_share / MAX_KEEP_SHARE
    }
}
