//! What the bench measures of a case.

use briarrail_fleet::EffectivePhase;

use super::bench_event::{BenchEvent, BenchNode};
use super::bench_fleet::{
    BenchFleet, LOAD_TICK_MS, MEAN_STREAMS, PER_MILLE, SETTLE_MS, WINDOW_MS, resident_bytes,
};
use super::bench_scenario::WARM_UP_S;
use super::case_report::CaseReport;

impl BenchFleet {
    pub(super) fn note_config(&mut self, router: usize, sequence: u64) {
        let now = self.now;
        let node = &mut self.nodes[router];
        let before = std::mem::replace(&mut node.sequence, sequence);
        self.reverts += u64::from(sequence <= before && before > 0);
        let since = node.reachable_since;
        if before == 0 || now < WARM_UP_S * 1_000 || !self.is_reachable(router) {
            return;
        }
        for edit in before..sequence {
            let accepted = self.accepted[edit as usize].max(since);
            self.config_ms
                .record(now - accepted.min(now))
                .expect("the range grows");
        }
    }

    pub(super) fn note_leaving(&mut self, router: usize) {
        let generation = self.nodes[router].node.hosts().generation();
        if self.nodes[router].generation == generation {
            return;
        }
        self.nodes[router].generation = generation;
        let reachable = self.is_reachable(router);
        let node = &self.nodes[router];
        for target in &mut self.leaving {
            let known = target.region == node.place.region && target.unaware[router];
            if !known || node.node.host_phase(&target.name) == Some(EffectivePhase::Live) {
                continue;
            }
            target.unaware[router] = false;
            if reachable {
                let since = target.since.max(node.reachable_since);
                self.leaving_ms = self.leaving_ms.max(self.now - since.min(self.now));
            }
        }
        self.leaving.retain(|target| target.unaware.contains(&true));
    }

    /// A router that was cut off counts as reachable again from the end of the cut on.
    pub(super) fn note_reachability(&mut self) {
        for router in 0..self.nodes.len() {
            if !self.platform_answers(router) {
                self.nodes[router].reachable_since = self.now + LOAD_TICK_MS;
            }
        }
    }

    pub(super) fn close_window(&mut self) {
        self.push(WINDOW_MS, BenchEvent::Window);
        let first = self.now == WARM_UP_S * 1_000;
        let now_s = self.scenario_s();
        for node in &mut self.nodes {
            let bytes = node.bytes();
            if first {
                node.measured_start = bytes;
            } else {
                self.worst_window = self.worst_window.max(bytes - node.window_start);
            }
            node.window_start = bytes;
        }
        for node in self.nodes.iter().step_by(self.nodes.len().div_ceil(20)) {
            if !self.scenario.platform_answers(now_s, node.place) {
                continue;
            }
            for (target, &(streams, _)) in &self.streams {
                if streams <= MEAN_STREAMS {
                    continue;
                }
                let Some(record) = node.node.load_of(target) else {
                    continue;
                };
                let error = (f64::from(record.streams) - streams).abs() / MEAN_STREAMS;
                let error = (error * PER_MILLE) as u64;
                self.load_error.record(error).expect("the range grows");
            }
        }
    }

    pub(super) fn report(&mut self) -> CaseReport {
        let seconds = self.scenario.measured_s;
        let latest = self
            .accepted
            .iter()
            .filter(|&&at| at + SETTLE_MS < self.end)
            .count() as u64;
        let behind = (0..self.nodes.len())
            .filter(|&index| self.is_reachable(index))
            .filter(|&index| self.nodes[index].sequence < latest);
        let behind_at_end = behind.count();
        let waits = self.leaving.iter().filter(|target| {
            let mut unaware = target.unaware.iter().enumerate();
            unaware.any(|(index, &is_unaware)| is_unaware && self.is_reachable(index))
        });
        let waits = waits
            .map(|target| self.end - target.since)
            .max()
            .unwrap_or(0);
        let rates: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.bytes() - node.measured_start) as f64 / seconds as f64)
            .collect();
        let routers = self.nodes.len();
        let sum = |value: fn(&BenchNode) -> u64| self.nodes.iter().map(value).sum::<u64>() as f64;
        let duplicates = sum(|node| node.node.counters().duplicate_loads);
        let fresh = sum(|node| node.node.counters().fresh_loads);
        let whole_run = self.end as f64 / 1_000.0 * routers as f64;
        CaseReport {
            scenario: self.scenario.name,
            routers,
            seed: self.seed,
            baseline: self.baseline,
            seconds,
            config_s_p50: self.config_ms.value_at_quantile(0.5) as f64 / 1_000.0,
            config_s_max: self.config_ms.max() as f64 / 1_000.0,
            behind_at_end,
            leaving_s_max: self.leaving_ms.max(waits.saturating_sub(3_000)) as f64 / 1_000.0,
            control_bytes_per_router_s_mean: rates.iter().sum::<f64>() / routers as f64,
            control_bytes_per_router_s_max: rates.iter().copied().fold(0.0, f64::max),
            control_bytes_worst_window: self.worst_window as f64 * 1_000.0 / WINDOW_MS as f64,
            read_bytes_per_router_s: sum(|node| node.read_bytes) / whole_run,
            reads_per_s: self.reads as f64 / seconds as f64,
            writes_per_s: 0.0,
            cpu_us_per_router_s: self.cpu_ns as f64 / 1e3 / seconds as f64 / routers as f64,
            state_bytes: resident_bytes().saturating_sub(self.resident_before) / routers as u64,
            false_suspicions: self.false_suspicions,
            reverts: self.reverts,
            load_error_p50: self.load_error.value_at_quantile(0.5) as f64 / PER_MILLE,
            load_error_p99: self.load_error.value_at_quantile(0.99) as f64 / PER_MILLE,
            duplicate_load_part: duplicates / (duplicates + fresh).max(1.0),
            broken: Vec::new(),
        }
        .check()
    }
}
