//! Measurement of skew.

use super::engine_model::EngineModel;

/// Time after a join from which on an engine counts.
const SETTLE_MS: u64 = 30_000;

/// Multiples of the mean load that the busiest engine carries.
#[derive(Debug, Default)]
pub(crate) struct SkewMeter {
    settled: Vec<bool>,
    total: f64,
    count: f64,
    live_total: f64,
    live_count: f64,
    samples: Vec<f64>,
    pub(crate) max: f64,
    pub(crate) max_live: f64,
}

impl SkewMeter {
    /// Samples the busiest engine, and takes over which engines count.
    pub(crate) fn sample(&mut self, engines: &[EngineModel], now: u64, measured: bool) {
        self.settled = engines
            .iter()
            .map(|engine| engine.settled(now, SETTLE_MS))
            .collect();
        let load = |engine: &EngineModel| f64::from(engine.load());
        let counted = || engines.iter().zip(&self.settled).filter(|pair| *pair.1);
        self.count = counted().count() as f64;
        self.total = counted().map(|pair| load(pair.0)).sum();
        self.live_count = engines.iter().filter(|engine| engine.up).count() as f64;
        self.live_total = engines.iter().map(load).sum();
        let busiest = counted().map(|pair| load(pair.0)).fold(0.0, f64::max);
        if measured && self.total > 0.0 {
            self.samples.push(busiest * self.count / self.total);
        }
    }

    /// Notes the change of an engine's load, which is `load` now.
    pub(crate) fn change(&mut self, engine: usize, by: f64, load: u32, measured: bool) {
        self.live_total += by;
        if !self.settled[engine] {
            return;
        }
        self.total += by;
        if measured && by > 0.0 && self.total > 0.0 {
            self.max = self.max.max(f64::from(load) * self.count / self.total);
            let live = f64::from(load) * self.live_count / self.live_total;
            self.max_live = self.max_live.max(live);
        }
    }

    /// Returns a quantile of the samples.
    pub(crate) fn quantile(&mut self, part: f64) -> f64 {
        self.samples.sort_by(f64::total_cmp);
        let last = self.samples.len().saturating_sub(1);
        let position = (part * last as f64).round() as usize;
        self.samples.get(position).copied().unwrap_or_default()
    }
}
