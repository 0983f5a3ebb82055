//! Building of placement views.

use briarrail_model::MilliTime;

use crate::load_forecast::LoadForecast;
use crate::load_sum::LoadSum;
use crate::shed_limits::ShedLimits;
use crate::target_state::TargetState;
use crate::view_target::{OpenTarget, ViewTarget};
use crate::{PlacementSettings, PlacementView, RouterTopology, TargetIndex, TargetInput};

const FULL_SHARE: f32 = 255.0;
/// Weight of the router's own change, scaled to the fleet, against no change.
const OWN_CHANGE_WEIGHT: f32 = 0.5;
const MIN_KEPT_MEAN: f32 = 0.1;

/// Makes the view of one pool from inputs and the states that belong to them.
pub(crate) struct ViewBuilder<'a> {
    pub(crate) inputs: &'a [TargetInput],
    pub(crate) states: &'a [&'a TargetState],
    pub(crate) settings: PlacementSettings,
    pub(crate) topology: RouterTopology,
    pub(crate) now: MilliTime,
}

impl ViewBuilder<'_> {
    /// Returns the view in which the targets at `open` positions take new work.
    pub(crate) fn build(&self, open: &[usize]) -> PlacementView {
        let is_near = |&position: &usize| self.inputs[position].region == self.topology.region;
        let (near, far): (Vec<_>, Vec<_>) = open.iter().copied().partition(is_near);
        let mut targets = vec![ViewTarget::default(); self.inputs.len()];
        let near_mean = self.forecast(&near, &mut targets);
        let far_mean = self.forecast(&far, &mut targets);
        let home = if near.is_empty() { &far } else { &near };
        PlacementView {
            settings: self.settings,
            created_at: self.now,
            mean: if near.is_empty() { far_mean } else { near_mean },
            fleet_load: self.fleet_load(home, &targets),
            targets,
            near: self.open_targets(&near),
            far: self.open_targets(&far),
        }
    }

    fn open_targets(&self, positions: &[usize]) -> Vec<OpenTarget> {
        let target = |&position: &usize| OpenTarget {
            name: self.inputs[position].name,
            index: TargetIndex::new(position),
        };
        positions.iter().map(target).collect()
    }

    /// Fills in loads and limits of the members of a region; returns their mean load in streams.
    fn forecast(&self, members: &[usize], targets: &mut [ViewTarget]) -> f32 {
        let reported_mean = self.reported_mean(members);
        let mut deviations = Vec::with_capacity(members.len());
        for &position in members {
            let target = &mut targets[position];
            let deviation = match reported_mean {
                Some(mean) => self.forecast_reported(position, mean, target),
                None => self.forecast_unreported(position, target),
            };
            deviations.push(deviation);
        }
        let mean = self.settled_mean(members, targets);
        for (&position, deviation) in members.iter().zip(deviations) {
            let limits = ShedLimits::new(&self.settings, mean, deviation);
            let target = &mut targets[position];
            target.shed_limit = limits.shed;
            target.promise_limit = limits.promise;
            target.shed_band = limits.band;
            target.share = self.share(position);
        }
        self.expect_inflow(members, targets);
        mean
    }

    /// Fills in the load to which the admitted arrivals lead.
    ///
    /// What the targets shed reaches the others in proportion to what these keep.
    fn expect_inflow(&self, members: &[usize], targets: &mut [ViewTarget]) {
        let mut kept_sum = LoadSum::default();
        for &position in members {
            let own_change = self.own_change(position, &targets[position]);
            let target = &mut targets[position];
            let kept = target.kept_part(target.expected + own_change);
            target.inflow = self.states[position].home_ratio * kept;
            kept_sum.add(target.inflow);
        }
        let mean = kept_sum.mean().max(MIN_KEPT_MEAN);
        for &position in members {
            targets[position].inflow /= mean;
        }
    }

    fn own_change(&self, position: usize, target: &ViewTarget) -> f32 {
        self.inputs[position].in_flight as f32 - target.own_at_report as f32
    }

    /// Returns the mean load with the router's own change scaled to the fleet.
    fn fleet_load(&self, members: &[usize], targets: &[ViewTarget]) -> Option<f32> {
        self.reported_mean(members)?;
        let mut load = LoadSum::default();
        for &position in members {
            let target = &targets[position];
            let own_change = self.own_change(position, target);
            load.add(
                target.expected
                    + own_change * self.topology.router_count as f32 * OWN_CHANGE_WEIGHT,
            );
        }
        Some(load.mean().max(0.0))
    }

    /// Returns the mean load of the targets that have settled, or of all when none has.
    ///
    /// A target that has just joined holds little yet; counted in, it would make all others shed.
    fn settled_mean(&self, members: &[usize], targets: &[ViewTarget]) -> f32 {
        let mut settled = LoadSum::default();
        let mut all = LoadSum::default();
        for &position in members {
            let target = &targets[position];
            let load = (target.expected + self.own_change(position, target)).max(0.0);
            all.add(load);
            if self.states[position].is_settled(self.now) {
                settled.add(load);
            }
        }
        let sum = if settled.is_empty() { all } else { settled };
        sum.mean()
    }

    fn reported_mean(&self, members: &[usize]) -> Option<f32> {
        let mut sum = LoadSum::default();
        for &position in members {
            if let Some(record) = self.states[position].usable_record(self.now) {
                sum.add(record.streams as f32);
            }
        }
        (!sum.is_empty()).then(|| sum.mean())
    }

    /// Forecasts from the target's report, or its usual load while it has none.
    ///
    /// The part that this router sends is known from its own counts; returns the deviation.
    fn forecast_reported(&self, position: usize, mean: f32, target: &mut ViewTarget) -> f32 {
        let state = self.states[position];
        let own_now = self.inputs[position].in_flight;
        let Some((reported, reported_at)) = state.known_load(self.now) else {
            target.expected = state.home_ratio * mean;
            target.own_at_report = own_now;
            return 0.0;
        };
        let forecast = LoadForecast {
            reported: reported as f32,
            reported_at,
            mean,
            usual_inflow: state.home_ratio,
            stream_time: self.settings.stream_time,
        };
        let others = 1.0 - 1.0 / self.topology.router_count.max(1) as f32;
        let drift = forecast.expected(&state.history, self.now) - reported as f32;
        target.expected = (reported as f32 + others * drift).max(0.0);
        target.own_at_report = state.history.own_at(reported_at).unwrap_or(own_now);
        let age = self.now.since(reported_at);
        let known_age = age.min(self.settings.report_delay);
        forecast.deviation(known_age) * others.sqrt()
    }

    /// Takes the router's own in-flight count for the load.
    fn forecast_unreported(&self, position: usize, target: &mut ViewTarget) -> f32 {
        let own = self.inputs[position].in_flight;
        target.expected = own as f32;
        target.own_at_report = own;
        0.0
    }

    fn share(&self, position: usize) -> f32 {
        let state = self.states[position];
        let ramp = state.ramp_share(self.settings.join_ramp, self.now);
        let kept = state
            .record
            .map_or(FULL_SHARE, |record| f32::from(record.keep_share));
        ramp * kept / FULL_SHARE
    }
}
