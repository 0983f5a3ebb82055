//! Building of placement views.

use briarrail_model::{MilliDuration, MilliTime};

use crate::load_forecast::LoadForecast;
use crate::load_sum::LoadSum;
use crate::shed_limits::ShedLimits;
use crate::target_state::TargetState;
use crate::view_target::{OpenTarget, ViewTarget};
use crate::{PlacementSettings, PlacementView, RouterSite, TargetIndex, TargetInput};

const FULL_SHARE: f32 = 255.0;

/// Makes the view of one pool from inputs and the states that belong to them.
pub(crate) struct ViewBuilder<'a> {
    pub(crate) inputs: &'a [TargetInput],
    pub(crate) states: &'a [&'a TargetState],
    pub(crate) settings: PlacementSettings,
    pub(crate) site: RouterSite,
    pub(crate) now: MilliTime,
}

impl ViewBuilder<'_> {
    /// Returns the view in which the targets at `open` positions take new work.
    pub(crate) fn build(&self, open: &[usize]) -> PlacementView {
        let is_near = |&position: &usize| self.inputs[position].region == self.site.region;
        let (near, far): (Vec<_>, Vec<_>) = open.iter().copied().partition(is_near);
        let mut targets = vec![ViewTarget::default(); self.inputs.len()];
        let near_mean = self.forecast(&near, &mut targets);
        let far_mean = self.forecast(&far, &mut targets);
        let home = if near.is_empty() { &far } else { &near };
        PlacementView {
            settings: self.settings,
            made_at: self.now,
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
        let mut mean = LoadSum::default();
        let mut deviations = Vec::with_capacity(members.len());
        for &position in members {
            let target = &mut targets[position];
            let deviation = match reported_mean {
                Some(mean) => self.forecast_reported(position, mean, target),
                None => self.forecast_unreported(position, target),
            };
            let own_change = self.inputs[position].in_flight as f32 - target.own_at_report as f32;
            mean.add((target.expected + own_change).max(0.0));
            deviations.push(deviation);
        }
        let mean = mean.mean();
        for (&position, deviation) in members.iter().zip(deviations) {
            let limits = ShedLimits::new(&self.settings, mean, deviation);
            let target = &mut targets[position];
            target.shed_limit = limits.shed;
            target.promise_limit = limits.promise;
            target.shed_band = limits.band;
            target.share = self.share(position);
        }
        mean
    }

    /// Returns the mean load with the router's own change scaled to the fleet.
    fn fleet_load(&self, members: &[usize], targets: &[ViewTarget]) -> Option<f32> {
        self.reported_mean(members)?;
        let mut load = LoadSum::default();
        for &position in members {
            let target = &targets[position];
            let own_change = self.inputs[position].in_flight as f32 - target.own_at_report as f32;
            load.add(target.expected + own_change * self.site.routers as f32);
        }
        Some(load.mean().max(0.0))
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
    fn forecast_reported(&self, position: usize, mean: f32, target: &mut ViewTarget) -> f32 {
        let state = self.states[position];
        let usual = state.usual_ratio * mean;
        let Some(record) = state.usable_record(self.now) else {
            target.expected = usual;
            target.own_at_report = self.inputs[position].in_flight;
            return 0.0;
        };
        let forecast = LoadForecast {
            reported: record.streams as f32,
            usual,
            others: 1.0 - 1.0 / self.site.routers.max(1) as f32,
        };
        let age = self.now.since(record.version);
        let known_age = age.min(self.settings.report_delay);
        let own_then = state.history.count_at(record.version);
        target.expected = forecast.expected(self.remaining(age));
        target.own_at_report = own_then.unwrap_or(self.inputs[position].in_flight);
        forecast.deviation(self.remaining(known_age))
    }

    /// Takes the router's own in-flight count for the load.
    fn forecast_unreported(&self, position: usize, target: &mut ViewTarget) -> f32 {
        let own = self.inputs[position].in_flight;
        target.expected = own as f32;
        target.own_at_report = own;
        0.0
    }

    /// Returns the part of streams that still run after a span.
    fn remaining(&self, span: MilliDuration) -> f32 {
        let stream_time = self.settings.stream_time.as_secs_f64().max(0.001);
        (-span.as_secs_f64() / stream_time).exp() as f32
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
