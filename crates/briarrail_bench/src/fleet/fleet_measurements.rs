//! Measurements of the fleet simulation.

use briarrail_fleet::EffectivePhase;

use super::case_report::CaseReport;
use super::fleet_scenario::WARM_UP_S;
use super::fleet_simulation::{
    EDIT_SETTLE_MS, FleetSimulation, LOAD_UPDATE_INTERVAL_MS, MEAN_STREAMS, PER_MILLE, WINDOW_MS,
    resident_bytes,
};
use super::simulation_event::{SimulatedNode, SimulationEvent};

impl FleetSimulation {
    /// Records the delay of each edit that a router has adopted.
    pub(super) fn record_config_adoption(&mut self, router: usize, sequence: u64) {
        let now = self.now;
        let node = &mut self.nodes[router];
        let before = std::mem::replace(&mut node.sequence, sequence);
        self.reverts += u64::from(sequence <= before && before > 0);
        let since = node.reachable_since;
        if before == 0 || now < WARM_UP_S * 1_000 || !self.is_reachable(router) {
            return;
        }
        for edit in before..sequence {
            let accepted = self.accepted_edits_ms[edit as usize].max(since);
            self.config_delays_ms
                .record(now - accepted.min(now))
                .expect("the histogram resizes");
        }
    }

    /// Records the delay with which a router learned that targets are leaving.
    pub(super) fn record_leaving_notices(&mut self, router: usize) {
        let generation = self.nodes[router].fleet_node.hosts().generation();
        if self.nodes[router].generation == generation {
            return;
        }
        self.nodes[router].generation = generation;
        let reachable = self.is_reachable(router);
        let node = &self.nodes[router];
        for target in &mut self.leaving {
            let is_pending = target.region == node.location.region && target.unaware[router];
            if !is_pending || node.fleet_node.host_phase(&target.name) == Some(EffectivePhase::Live)
            {
                continue;
            }
            target.unaware[router] = false;
            if reachable {
                let since = target.since.max(node.reachable_since);
                self.max_leaving_delay_ms = self
                    .max_leaving_delay_ms
                    .max(self.now - since.min(self.now));
            }
        }
        self.leaving.retain(|target| target.unaware.contains(&true));
    }

    /// Postpones the reachable time of routers that the platform does not answer, so that their
    /// delays are measured from the end of the outage or partition.
    pub(super) fn update_reachability(&mut self) {
        for router in 0..self.nodes.len() {
            if !self.platform_answers(router) {
                self.nodes[router].reachable_since = self.now + LOAD_UPDATE_INTERVAL_MS;
            }
        }
    }

    /// Updates the highest bytes per window and samples the error of the known loads.
    pub(super) fn end_measurement_window(&mut self) {
        self.schedule(WINDOW_MS, SimulationEvent::EndWindow);
        let is_warm_up_end = self.now == WARM_UP_S * 1_000;
        let now_s = self.scenario_s();
        for node in &mut self.nodes {
            let bytes = node.control_bytes();
            if is_warm_up_end {
                node.measured_start_bytes = bytes;
            } else {
                self.max_window_bytes = self.max_window_bytes.max(bytes - node.window_start_bytes);
            }
            node.window_start_bytes = bytes;
        }
        for node in self.nodes.iter().step_by(self.nodes.len().div_ceil(20)) {
            if !self.scenario.platform_answers(now_s, node.location) {
                continue;
            }
            for (target, &(streams, _)) in &self.streams {
                if streams <= MEAN_STREAMS {
                    continue;
                }
                let Some(record) = node.fleet_node.load_of(target) else {
                    continue;
                };
                let error = (f64::from(record.streams) - streams).abs() / MEAN_STREAMS;
                let error = (error * PER_MILLE) as u64;
                self.load_error
                    .record(error)
                    .expect("the histogram resizes");
            }
        }
    }

    /// Computes the report at the end of the case.
    pub(super) fn report(&mut self) -> CaseReport {
        let seconds = self.scenario.measured_s;
        let latest = self
            .accepted_edits_ms
            .iter()
            .filter(|&&at| at + EDIT_SETTLE_MS < self.end)
            .count() as u64;
        let behind = (0..self.nodes.len())
            .filter(|&index| self.is_reachable(index))
            .filter(|&index| self.nodes[index].sequence < latest);
        let behind_at_end = behind.count();
        let outstanding = self.leaving.iter().filter(|target| {
            let mut unaware = target.unaware.iter().enumerate();
            unaware.any(|(index, &is_unaware)| is_unaware && self.is_reachable(index))
        });
        let outstanding = outstanding
            .map(|target| self.end - target.since)
            .max()
            .unwrap_or(0);
        let rates: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.control_bytes() - node.measured_start_bytes) as f64 / seconds as f64)
            .collect();
        let routers = self.nodes.len();
        let sum =
            |value: fn(&SimulatedNode) -> u64| self.nodes.iter().map(value).sum::<u64>() as f64;
        let duplicates = sum(|node| node.fleet_node.counters().duplicate_loads);
        let fresh = sum(|node| node.fleet_node.counters().fresh_loads);
        let whole_run = self.end as f64 / 1_000.0 * routers as f64;
        CaseReport {
            scenario: self.scenario.name,
            routers,
            seed: self.seed,
            baseline: self.baseline,
            seconds,
            config_s_p50: self.config_delays_ms.value_at_quantile(0.5) as f64 / 1_000.0,
            config_s_max: self.config_delays_ms.max() as f64 / 1_000.0,
            behind_at_end,
            leaving_s_max: self
                .max_leaving_delay_ms
                .max(outstanding.saturating_sub(3_000)) as f64
                / 1_000.0,
            control_bytes_per_router_s_mean: rates.iter().sum::<f64>() / routers as f64,
            control_bytes_per_router_s_max: rates.iter().copied().fold(0.0, f64::max),
            control_bytes_worst_window: self.max_window_bytes as f64 * 1_000.0 / WINDOW_MS as f64,
            read_bytes_per_router_s: sum(|node| node.read_bytes) / whole_run,
            reads_per_s: self.platform_reads as f64 / seconds as f64,
            writes_per_s: 0.0,
            cpu_us_per_router_s: self.cpu_ns as f64 / 1e3 / seconds as f64 / routers as f64,
            state_bytes: resident_bytes().saturating_sub(self.initial_resident_bytes)
                / routers as u64,
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
