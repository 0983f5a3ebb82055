//! Event loop that delivers frames between the simulated routers.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

use briarrail_fleet::{FleetNode, FleetOutput, FleetSettings, SendId};
use briarrail_model::{HostEntry, HostName, HostPhase, LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::{KeyRing, SharedKey};
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};

use super::case_report::CaseReport;
use super::fleet_scenario::{FleetScenario, WARM_UP_S};
use super::simulated_platform::SimulatedPlatform;
use super::simulation_event::{LeavingTarget, ScheduledEvent, SimulatedNode, SimulationEvent};

const TICK_MS: u64 = 100;
const SEND_TIMEOUT_MS: u64 = 1_000;
pub(super) const PLATFORM_DELAY_MS: u64 = 10;
pub(super) const LOAD_UPDATE_INTERVAL_MS: u64 = 250;
pub(super) const WINDOW_MS: u64 = 10_000;
/// Mean interval at 28,000 edits per day.
const MEAN_EDIT_INTERVAL_MS: u64 = 86_400_000 / 28_000;
const LEAVING_INTERVAL_MS: u64 = 7_000;
const RESTART_DOWNTIME_MS: u64 = 3_000;
const HOST_LIST_DELAY_MS: u64 = 2_000;
pub(super) const PER_MILLE: f64 = 1_000.0;
pub(super) const MEAN_STREAMS: f64 = 180.0;
const MEAN_STREAM_SECONDS: f64 = 12.6;
/// Probability per load update that a target's keep share changes, once in 200 s on average.
const KEEP_SHARE_CHANGE_PROBABILITY: f64 = 0.001_25;
/// Edits accepted at least this long before the end must have been adopted by every router.
pub(super) const EDIT_SETTLE_MS: u64 = 6_000;

/// Location of a router, which decides which faults affect it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouterLocation {
    pub(crate) region: usize,
    pub(crate) data_centre: usize,
    pub(crate) is_paused: bool,
}

/// State of one case.
#[derive(Debug)]
pub(crate) struct FleetSimulation {
    pub(super) scenario: FleetScenario,
    pub(super) settings: FleetSettings,
    pub(super) seed: u64,
    pub(super) baseline: bool,
    pub(super) now: u64,
    pub(super) end: u64,
    pub(super) order: u64,
    pub(super) queue: BinaryHeap<ScheduledEvent>,
    pub(super) rng: SmallRng,
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) index_by_name: BTreeMap<HostName, usize>,
    /// Actual streams and keep share of each target.
    pub(super) streams: BTreeMap<HostName, (f64, u8)>,
    pub(super) platform: SimulatedPlatform,
    /// Time at which each edit was accepted.
    pub(super) accepted_edits_ms: Vec<u64>,
    /// Router and timeout of each open watch.
    pub(super) watchers: Vec<(usize, u64)>,
    pub(super) leaving: Vec<LeavingTarget>,
    pub(super) target_count: usize,
    pub(super) config_delays_ms: Histogram<u64>,
    pub(super) load_error: Histogram<u64>,
    pub(super) max_leaving_delay_ms: u64,
    pub(super) platform_reads: u64,
    pub(super) cpu_ns: u64,
    pub(super) max_window_bytes: u64,
    pub(super) false_suspicions: u64,
    pub(super) reverts: u64,
    /// Resident set of the process before the case.
    pub(super) initial_resident_bytes: u64,
}

impl FleetSimulation {
    pub(crate) fn new(count: usize, seed: u64, scenario: FleetScenario, baseline: bool) -> Self {
        let initial_resident_bytes = resident_bytes();
        let keys = KeyRing::new(SharedKey::new(b"bench"));
        let mut settings = FleetSettings::new(keys);
        if baseline {
            let all_relays = settings.with_relays_per_data_centre(usize::MAX);
            settings = all_relays.with_relay_stagger(MilliDuration::ZERO);
        }
        let (regions, data_centres) = if count < 30 { (1, 3) } else { (4, 15) };
        let target_count = (count * 10_000).div_ceil(3_600);
        let entries: Vec<_> = (0..count + target_count)
            .map(|index| host_entry(index, count, regions, data_centres))
            .collect();
        let mut simulation = Self {
            end: (WARM_UP_S + scenario.measured_s) * 1_000,
            scenario,
            seed,
            baseline,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            index_by_name: BTreeMap::new(),
            streams: BTreeMap::new(),
            platform: SimulatedPlatform::new(entries.clone()),
            accepted_edits_ms: Vec::new(),
            watchers: Vec::new(),
            leaving: Vec::new(),
            target_count,
            config_delays_ms: Histogram::new(3).expect("three digits are valid"),
            load_error: Histogram::new(3).expect("three digits are valid"),
            max_leaving_delay_ms: 0,
            platform_reads: 0,
            cpu_ns: 0,
            max_window_bytes: 0,
            false_suspicions: 0,
            reverts: 0,
            initial_resident_bytes,
            settings,
        };
        let paused = count.div_ceil(100);
        for (index, entry) in entries.iter().enumerate() {
            if index >= count {
                simulation
                    .streams
                    .insert(entry.name.clone(), (MEAN_STREAMS, u8::MAX));
                continue;
            }
            let location = RouterLocation {
                is_paused: index < paused,
                ..location_of(index, regions, data_centres)
            };
            simulation.index_by_name.insert(entry.name.clone(), index);
            simulation.add_router(entry.clone(), location);
        }
        simulation.schedule_initial_events();
        simulation
    }

    pub(super) fn add_router(&mut self, entry: HostEntry, location: RouterLocation) {
        let fleet_node = self.new_fleet_node(&entry, self.nodes.len());
        self.nodes.push(SimulatedNode {
            fleet_node,
            incarnation: entry.incarnation,
            entry,
            location,
            is_up: true,
            sequence: 0,
            generation: 0,
            read_bytes: 0,
            window_start_bytes: 0,
            measured_start_bytes: 0,
            reachable_since: 0,
            loads_due_at: 0,
        });
    }

    pub(super) fn new_fleet_node(&self, entry: &HostEntry, index: usize) -> FleetNode {
        let seed = self.seed.wrapping_mul(1_000_003) ^ (index as u64) ^ (entry.incarnation << 32);
        FleetNode::new(
            self.settings.clone(),
            entry.clone(),
            milli_time(self.now),
            seed,
        )
    }

    pub(super) fn schedule_initial_events(&mut self) {
        for index in 0..self.nodes.len() {
            let delay = self.rng.random_range(0..TICK_MS);
            self.schedule_for(index, delay, SimulationEvent::Tick(index));
        }
        let warm_up = WARM_UP_S * 1_000;
        self.schedule(2_500, SimulationEvent::UpdateLoads);
        self.schedule(3_000, SimulationEvent::AcceptEdit);
        self.schedule(warm_up, SimulationEvent::LeaveTarget);
        self.schedule(warm_up, SimulationEvent::EndWindow);
        for index in 0..self.nodes.len() {
            if self.nodes[index].location.data_centre != 0 {
                continue;
            }
            if let Some(start) = self.scenario.data_centre_restart_at_s {
                self.schedule(start * 1_000, SimulationEvent::RestartRouter(index));
            }
            if let Some(start) = self.scenario.data_centre_loss_at_s {
                self.schedule(start * 1_000 + 30_000, SimulationEvent::HostRemoved(index));
            }
        }
    }

    pub(super) fn schedule(&mut self, delay: u64, event: SimulationEvent) {
        self.schedule_with_incarnation(delay, 0, event);
    }

    pub(super) fn schedule_for(&mut self, router: usize, delay: u64, event: SimulationEvent) {
        self.schedule_with_incarnation(delay, self.nodes[router].incarnation, event);
    }

    pub(super) fn schedule_with_incarnation(
        &mut self,
        delay: u64,
        incarnation: u64,
        event: SimulationEvent,
    ) {
        self.order += 1;
        let at = self.now + delay;
        let order = self.order;
        self.queue.push(ScheduledEvent {
            at,
            order,
            incarnation,
            event,
        });
    }

    pub(crate) fn run(&mut self) -> CaseReport {
        while let Some(next) = self.queue.pop() {
            if next.at >= self.end {
                break;
            }
            self.now = next.at;
            self.handle(next);
        }
        self.report()
    }

    pub(super) fn handle(&mut self, next: ScheduledEvent) {
        let incarnation = next.incarnation;
        let is_current = |nodes: &[SimulatedNode], to: usize| {
            nodes[to].is_up && (incarnation == 0 || nodes[to].incarnation == incarnation)
        };
        match next.event {
            SimulationEvent::Tick(to) if is_current(&self.nodes, to) => {
                self.drive_node(to, FleetNode::on_tick);
                self.schedule_for(to, TICK_MS, SimulationEvent::Tick(to));
            }
            SimulationEvent::Frame {
                from,
                to,
                id,
                frame,
            } => self.deliver_frame(from, to, id, &frame),
            SimulationEvent::Reply { to, id, frame } if is_current(&self.nodes, to) => {
                self.drive_node(to, |node, now| node.on_reply(now, id, &frame));
            }
            SimulationEvent::SendFailed { to, id } if is_current(&self.nodes, to) => {
                self.drive_node(to, |node, now| node.on_send_failed(now, id));
            }
            SimulationEvent::HostsRead { to, since } if is_current(&self.nodes, to) => {
                self.complete_host_read(to, since);
            }
            SimulationEvent::ConfigRead { to, after } if is_current(&self.nodes, to) => {
                self.complete_config_read(to, after);
            }
            SimulationEvent::WatchCompleted { to, outcome } if is_current(&self.nodes, to) => {
                self.drive_node(to, |node, now| node.on_watch(now, outcome));
            }
            SimulationEvent::UpdateLoads => self.update_loads(),
            SimulationEvent::AcceptEdit => self.accept_edit(),
            SimulationEvent::LeaveTarget => self.start_target_leaving(),
            SimulationEvent::EndWindow => self.end_measurement_window(),
            SimulationEvent::RestartRouter(index) => self.restart_router(index),
            SimulationEvent::HostListed(index) => {
                let incarnation = self.nodes[index].incarnation;
                self.platform.set_host(index, HostPhase::Live, incarnation);
            }
            SimulationEvent::HostRemoved(index) => self.platform.remove_host(index),
            _ => {}
        }
    }

    pub(super) fn is_measured(&self) -> bool {
        self.now >= WARM_UP_S * 1_000
    }

    /// Seconds since the start of the case, which is the time base of scenarios.
    pub(super) fn scenario_s(&self) -> u64 {
        self.now / 1_000
    }

    /// Passes an input to a router's state machine and applies its outputs.
    pub(super) fn drive_node<F>(&mut self, to: usize, action: F)
    where
        F: FnOnce(&mut FleetNode, MilliTime),
    {
        let now = milli_time(self.now);
        let start = Instant::now();
        action(&mut self.nodes[to].fleet_node, now);
        let outputs = self.nodes[to].fleet_node.take_outputs();
        if self.is_measured() {
            self.cpu_ns += start.elapsed().as_nanos() as u64;
        }
        for output in outputs {
            self.apply_output(to, output);
        }
        self.record_leaving_notices(to);
    }

    pub(super) fn apply_output(&mut self, from: usize, output: FleetOutput) {
        match output {
            FleetOutput::Send { id, to, frame, .. } => self.send(from, &to, id, frame),
            FleetOutput::ReadHostList { since } => {
                self.schedule_for(
                    from,
                    PLATFORM_DELAY_MS,
                    SimulationEvent::HostsRead { to: from, since },
                );
            }
            FleetOutput::ReadConfig { after } => {
                self.schedule_for(
                    from,
                    PLATFORM_DELAY_MS,
                    SimulationEvent::ConfigRead { to: from, after },
                );
            }
            FleetOutput::WatchConfig { after } => self.start_watch(from, after),
            FleetOutput::ConfigChanged { sequence } => self.record_config_adoption(from, sequence),
            FleetOutput::DeclaredDown { host } => {
                let is_up = self
                    .index_by_name
                    .get(&host)
                    .is_some_and(|&index| self.is_reachable(index));
                let is_false = is_up && self.is_reachable(from);
                self.false_suspicions += u64::from(is_false);
            }
            _ => {}
        }
    }

    /// Returns whether a router runs and its data centre is not lost.
    pub(super) fn is_reachable(&self, index: usize) -> bool {
        let lost = self.scenario.data_centre_loss_at_s;
        let lost = lost.is_some_and(|start| self.scenario_s() >= start);
        self.nodes[index].is_up && !(lost && self.nodes[index].location.data_centre == 0)
    }

    pub(super) fn send(&mut self, from: usize, to: &HostName, id: SendId, frame: Bytes) {
        let to = self.index_by_name[to];
        let delay = self.network_delay(from, to);
        if !self.nodes[to].is_up {
            self.schedule_for(
                from,
                2 * delay,
                SimulationEvent::SendFailed { to: from, id },
            );
        } else if self.drops_frame(from, to) {
            self.schedule_for(
                from,
                SEND_TIMEOUT_MS,
                SimulationEvent::SendFailed { to: from, id },
            );
        } else {
            self.schedule_for(
                from,
                delay,
                SimulationEvent::Frame {
                    from,
                    to,
                    id,
                    frame,
                },
            );
        }
    }

    pub(super) fn drops_frame(&mut self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].location, self.nodes[to].location);
        let loss = self.scenario.loss;
        self.scenario.drops(self.scenario_s(), from, to) || self.rng.random::<f64>() < loss
    }

    pub(super) fn network_delay(&mut self, from: usize, to: usize) -> u64 {
        let (from, to) = (self.nodes[from].location, self.nodes[to].location);
        let base = if from.region == to.region { 1 } else { 40 };
        base + self.rng.random_range(0..2)
    }

    pub(super) fn deliver_frame(&mut self, from: usize, to: usize, id: SendId, frame: &Bytes) {
        if !self.nodes[to].is_up {
            self.schedule_for(from, 1, SimulationEvent::SendFailed { to: from, id });
            return;
        }
        let mut reply = None;
        self.drive_node(to, |node, now| reply = node.on_frame(now, frame));
        let delay = self.network_delay(to, from);
        let frame = reply.unwrap_or_default();
        if self.drops_frame(to, from) {
            self.schedule_for(
                from,
                SEND_TIMEOUT_MS,
                SimulationEvent::SendFailed { to: from, id },
            );
        } else {
            self.schedule_for(
                from,
                delay,
                SimulationEvent::Reply {
                    to: from,
                    id,
                    frame,
                },
            );
        }
    }

    pub(super) fn accept_edit(&mut self) {
        let next = self.rng.random_range(1..2 * MEAN_EDIT_INTERVAL_MS);
        self.schedule(next, SimulationEvent::AcceptEdit);
        let outage = self.scenario.store_outage_s;
        if outage.is_some_and(|(start, end)| (start..end).contains(&self.scenario_s())) {
            return;
        }
        self.platform.accept_edit(milli_time(self.now));
        self.accepted_edits_ms.push(self.now);
        self.complete_watches(true);
    }

    /// Marks a random target as leaving.
    pub(super) fn start_target_leaving(&mut self) {
        self.schedule(LEAVING_INTERVAL_MS, SimulationEvent::LeaveTarget);
        let index = self.nodes.len() + self.rng.random_range(0..self.target_count);
        let change = self.platform.read_hosts(0);
        let entry = &change.upserts[index];
        if entry.phase == HostPhase::Leaving {
            return;
        }
        let (name, incarnation) = (entry.name.clone(), entry.incarnation);
        let region = entry.region.as_str().trim_start_matches("region-");
        let region: usize = region.parse().expect("region name ends in a number");
        self.platform
            .set_host(index, HostPhase::Leaving, incarnation);
        let unaware = self.nodes.iter().map(|node| node.location.region == region);
        let unaware = unaware.collect();
        self.leaving.push(LeavingTarget {
            name,
            region,
            since: self.now,
            unaware,
        });
    }

    /// Changes the targets' loads, and lets each router read the targets that it observes.
    pub(super) fn update_loads(&mut self) {
        self.schedule(LOAD_UPDATE_INTERVAL_MS, SimulationEvent::UpdateLoads);
        self.complete_watches(false);
        self.update_reachability();
        let ticks = MEAN_STREAM_SECONDS * 1_000.0 / LOAD_UPDATE_INTERVAL_MS as f64;
        let noise = Normal::new(0.0, (2.0 * MEAN_STREAMS / ticks).sqrt());
        let noise = noise.expect("deviation is positive");
        for (streams, share) in self.streams.values_mut() {
            *streams += (MEAN_STREAMS - *streams) / ticks + noise.sample(&mut self.rng);
            if self.rng.random::<f64>() < KEEP_SHARE_CHANGE_PROBABILITY {
                *share = self.rng.random_range(200..=u8::MAX);
            }
        }
        let now = milli_time(self.now);
        for router in 0..self.nodes.len() {
            if !self.is_reachable(router) {
                continue;
            }
            let interval = self.nodes[router].fleet_node.load_interval().as_millis();
            if self.now < self.nodes[router].loads_due_at {
                continue;
            }
            self.nodes[router].loads_due_at = self.now + interval;
            let observed = std::sync::Arc::clone(self.nodes[router].fleet_node.observed_targets());
            for target in observed.iter() {
                self.count_read(router, 0, 0);
                let (streams, keep_share) = self.streams[target];
                let streams = streams.max(0.0) as u32;
                let record = LoadRecord {
                    version: now,
                    streams,
                    keep_share,
                };
                self.nodes[router]
                    .fleet_node
                    .on_load_report(now, target, &record);
            }
        }
    }

    /// Stops a running router, or starts a stopped one with a new incarnation.
    pub(super) fn restart_router(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.is_up {
            node.is_up = false;
            self.schedule(RESTART_DOWNTIME_MS, SimulationEvent::RestartRouter(index));
            return;
        }
        node.incarnation += 1;
        node.entry.incarnation += 1;
        node.read_bytes = node.control_bytes();
        (node.is_up, node.sequence, node.generation) = (true, 0, 0);
        node.reachable_since = self.now;
        let entry = node.entry.clone();
        self.nodes[index].fleet_node = self.new_fleet_node(&entry, index);
        self.schedule_for(index, 0, SimulationEvent::Tick(index));
        self.schedule(HOST_LIST_DELAY_MS, SimulationEvent::HostListed(index));
    }
}

/// Converts virtual milliseconds to a time far from zero, so that earlier load versions are valid.
pub(super) fn milli_time(now: u64) -> MilliTime {
    MilliTime::from_millis(1_700_000_000_000) + MilliDuration::from_millis(now)
}

pub(super) fn location_of(index: usize, regions: usize, data_centres: usize) -> RouterLocation {
    let data_centre = index % data_centres;
    RouterLocation {
        region: data_centre % regions,
        data_centre,
        is_paused: false,
    }
}

pub(super) fn host_entry(
    index: usize,
    routers: usize,
    regions: usize,
    data_centres: usize,
) -> HostEntry {
    let location = location_of(index, regions, data_centres);
    let is_router = index < routers;
    let kind = if is_router { "entry" } else { "engine" };
    let bytes = (index as u32 + 0x0a00_0000).to_be_bytes();
    HostEntry {
        name: format!("{kind}-{index}").as_str().into(),
        service: if is_router { "briarraild" } else { "engine" }.into(),
        data_centre: format!("centre-{}", location.data_centre).as_str().into(),
        region: format!("region-{}", location.region).as_str().into(),
        address: (bytes, 7_400).into(),
        phase: HostPhase::Live,
        incarnation: 1,
        labels: BTreeMap::new(),
    }
}

pub(super) fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
