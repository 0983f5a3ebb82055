//! Measurement of load skew between engines.

use super::engine_model::EngineModel;

/// Uptime after which an engine is included in the skew.
const MIN_UPTIME_MS: u64 = 30_000;

/// Load of the busiest engine as a multiple of the mean load.
#[derive(Debug, Default)]
pub(crate) struct SkewMeter {
    is_counted: Vec<bool>,
    counted_load: f64,
    counted_engines: f64,
    live_load: f64,
    live_engines: f64,
    samples: Vec<f64>,
    /// Maximum over the engines that have been up for `MIN_UPTIME_MS`.
    pub(crate) max: f64,
    /// Maximum of the same engines against the mean of all live engines.
    pub(crate) max_live: f64,
}

impl SkewMeter {
    /// Updates which engines are included, and samples the busiest of them.
    pub(crate) fn sample(&mut self, engines: &[EngineModel], now: u64, measured: bool) {
        self.is_counted = engines
            .iter()
            .map(|engine| engine.has_been_up_for(now, MIN_UPTIME_MS))
            .collect();
        let load = |engine: &EngineModel| f64::from(engine.load());
        let counted = || engines.iter().zip(&self.is_counted).filter(|pair| *pair.1);
        self.counted_engines = counted().count() as f64;
        self.counted_load = counted().map(|pair| load(pair.0)).sum();
        self.live_engines = engines.iter().filter(|engine| engine.is_up).count() as f64;
        self.live_load = engines.iter().map(load).sum();
        let busiest = counted().map(|pair| load(pair.0)).fold(0.0, f64::max);
        if measured && self.counted_load > 0.0 {
            self.samples
                .push(busiest * self.counted_engines / self.counted_load);
        }
    }

    /// Updates the totals after an engine's load changed by `delta` to `load`.
    pub(crate) fn record_change(&mut self, engine: usize, delta: f64, load: u32, measured: bool) {
        self.live_load += delta;
        if !self.is_counted[engine] {
            return;
        }
        self.counted_load += delta;
        if measured && delta > 0.0 && self.counted_load > 0.0 {
            self.max = self
                .max
                .max(f64::from(load) * self.counted_engines / self.counted_load);
            let live = f64::from(load) * self.live_engines / self.live_load;
            self.max_live = self.max_live.max(live);
        }
    }

    /// Returns a quantile of the samples.
    pub(crate) fn quantile(&mut self, quantile: f64) -> f64 {
        self.samples.sort_by(f64::total_cmp);
        let last = self.samples.len().saturating_sub(1);
        let position = (quantile * last as f64).round() as usize;
        self.samples.get(position).copied().unwrap_or_default()
    }
}
