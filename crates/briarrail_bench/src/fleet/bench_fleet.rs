//! The loop that hands frames between the state machines.

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

use super::bench_event::{BenchEvent, BenchNode, LeavingTarget, Scheduled};
use super::bench_platform::BenchPlatform;
use super::bench_scenario::{BenchScenario, WARM_UP_S};
use super::case_report::CaseReport;

const TICK_MS: u64 = 100;
const SEND_TIMEOUT_MS: u64 = 1_000;
pub(super) const PLATFORM_DELAY_MS: u64 = 10;
pub(super) const LOAD_TICK_MS: u64 = 250;
pub(super) const WINDOW_MS: u64 = 10_000;
/// 28,000 edits a day.
const EDIT_INTERVAL_MS: u64 = 86_400_000 / 28_000;
const LEAVING_INTERVAL_MS: u64 = 7_000;
const RESTART_MS: u64 = 3_000;
const LIST_LAG_MS: u64 = 2_000;
pub(super) const PER_MILLE: f64 = 1_000.0;
pub(super) const MEAN_STREAMS: f64 = 180.0;
const STREAM_S: f64 = 12.6;
/// Chance in a load tick that a target's share moves: once in 200 s.
const SHARE_CHANGE: f64 = 0.001_25;
/// Time after which every edit must be in force, for the check at the end.
pub(super) const SETTLE_MS: u64 = 6_000;

/// Where a router stands, for the drop predicate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    pub(crate) region: usize,
    pub(crate) cell: usize,
    pub(crate) is_paused: bool,
}

/// The routers, the platform and the queue of one case.
#[derive(Debug)]
pub(crate) struct BenchFleet {
    pub(super) scenario: BenchScenario,
    pub(super) settings: FleetSettings,
    pub(super) seed: u64,
    pub(super) baseline: bool,
    pub(super) now: u64,
    pub(super) end: u64,
    pub(super) order: u64,
    pub(super) queue: BinaryHeap<Scheduled>,
    pub(super) rng: SmallRng,
    pub(super) nodes: Vec<BenchNode>,
    pub(super) index: BTreeMap<HostName, usize>,
    pub(super) streams: BTreeMap<HostName, (f64, u8)>,
    pub(super) platform: BenchPlatform,
    pub(super) accepted: Vec<u64>,
    pub(super) watchers: Vec<(usize, u64)>,
    pub(super) leaving: Vec<LeavingTarget>,
    pub(super) targets: usize,
    pub(super) config_ms: Histogram<u64>,
    pub(super) load_error: Histogram<u64>,
    pub(super) leaving_ms: u64,
    pub(super) reads: u64,
    pub(super) cpu_ns: u64,
    pub(super) worst_window: u64,
    pub(super) false_suspicions: u64,
    pub(super) reverts: u64,
    pub(super) resident_before: u64,
}

impl BenchFleet {
    pub(crate) fn new(count: usize, seed: u64, scenario: BenchScenario, baseline: bool) -> Self {
        let resident_before = resident_bytes();
        let keys = KeyRing::new(SharedKey::new(b"bench"));
        let mut settings = FleetSettings::new(keys);
        if baseline {
            let settings_of_all = settings.with_relays_per_data_centre(usize::MAX);
            settings = settings_of_all.with_relay_stagger(MilliDuration::ZERO);
        }
        let (regions, cells) = if count < 30 { (1, 3) } else { (4, 15) };
        let targets = (count * 10_000).div_ceil(3_600);
        let entries: Vec<_> = (0..count + targets)
            .map(|index| host_entry(index, count, regions, cells))
            .collect();
        let mut fleet = Self {
            end: (WARM_UP_S + scenario.measured_s) * 1_000,
            scenario,
            seed,
            baseline,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            index: BTreeMap::new(),
            streams: BTreeMap::new(),
            platform: BenchPlatform::new(entries.clone()),
            accepted: Vec::new(),
            watchers: Vec::new(),
            leaving: Vec::new(),
            targets,
            config_ms: Histogram::new(3).expect("3 digits are supported"),
            load_error: Histogram::new(3).expect("3 digits are supported"),
            leaving_ms: 0,
            reads: 0,
            cpu_ns: 0,
            worst_window: 0,
            false_suspicions: 0,
            reverts: 0,
            resident_before,
            settings,
        };
        let paused = count.div_ceil(100);
        for (index, entry) in entries.iter().enumerate() {
            if index >= count {
                fleet
                    .streams
                    .insert(entry.name.clone(), (MEAN_STREAMS, u8::MAX));
                continue;
            }
            let place = Place {
                is_paused: index < paused,
                ..place_of(index, regions, cells)
            };
            fleet.index.insert(entry.name.clone(), index);
            fleet.add_router(entry.clone(), place);
        }
        fleet.push_first();
        fleet
    }

    pub(super) fn add_router(&mut self, entry: HostEntry, place: Place) {
        let node = self.make_node(&entry, self.nodes.len());
        self.nodes.push(BenchNode {
            node,
            incarnation: entry.incarnation,
            entry,
            place,
            is_up: true,
            sequence: 0,
            generation: 0,
            read_bytes: 0,
            window_start: 0,
            measured_start: 0,
            reachable_since: 0,
            loads_due: 0,
        });
    }

    pub(super) fn make_node(&self, entry: &HostEntry, index: usize) -> FleetNode {
        let seed = self.seed.wrapping_mul(1_000_003) ^ (index as u64) ^ (entry.incarnation << 32);
        FleetNode::new(self.settings.clone(), entry.clone(), at(self.now), seed)
    }

    pub(super) fn push_first(&mut self) {
        for index in 0..self.nodes.len() {
            let delay = self.rng.random_range(0..TICK_MS);
            self.push_for(index, delay, BenchEvent::Tick(index));
        }
        let warm_up = WARM_UP_S * 1_000;
        self.push(2_500, BenchEvent::Loads);
        self.push(3_000, BenchEvent::Edit);
        self.push(warm_up, BenchEvent::Leaving);
        self.push(warm_up, BenchEvent::Window);
        for index in 0..self.nodes.len() {
            if self.nodes[index].place.cell != 0 {
                continue;
            }
            if let Some(start) = self.scenario.restart_cell_at_s {
                self.push(start * 1_000, BenchEvent::Restart(index));
            }
            if let Some(start) = self.scenario.lost_cell_at_s {
                self.push(start * 1_000 + 30_000, BenchEvent::Removed(index));
            }
        }
    }

    pub(super) fn push(&mut self, delay: u64, event: BenchEvent) {
        self.push_with(delay, 0, event);
    }

    pub(super) fn push_for(&mut self, router: usize, delay: u64, event: BenchEvent) {
        self.push_with(delay, self.nodes[router].incarnation, event);
    }

    pub(super) fn push_with(&mut self, delay: u64, incarnation: u64, event: BenchEvent) {
        self.order += 1;
        let at = self.now + delay;
        let order = self.order;
        self.queue.push(Scheduled {
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

    pub(super) fn handle(&mut self, next: Scheduled) {
        let incarnation = next.incarnation;
        let current = |nodes: &[BenchNode], to: usize| {
            nodes[to].is_up && (incarnation == 0 || nodes[to].incarnation == incarnation)
        };
        match next.event {
            BenchEvent::Tick(to) if current(&self.nodes, to) => {
                self.drive(to, FleetNode::on_tick);
                self.push_for(to, TICK_MS, BenchEvent::Tick(to));
            }
            BenchEvent::Frame {
                from,
                to,
                id,
                frame,
            } => self.deliver(from, to, id, &frame),
            BenchEvent::Reply { to, id, frame } if current(&self.nodes, to) => {
                self.drive(to, |node, now| node.on_reply(now, id, &frame));
            }
            BenchEvent::Failed { to, id } if current(&self.nodes, to) => {
                self.drive(to, |node, now| node.on_send_failed(now, id));
            }
            BenchEvent::HostsRead { to, since } if current(&self.nodes, to) => {
                self.hosts_read(to, since);
            }
            BenchEvent::ConfigRead { to, after } if current(&self.nodes, to) => {
                self.config_read(to, after);
            }
            BenchEvent::Watched { to, outcome } if current(&self.nodes, to) => {
                self.drive(to, |node, now| node.on_watch(now, outcome));
            }
            BenchEvent::Loads => self.read_loads(),
            BenchEvent::Edit => self.accept_edit(),
            BenchEvent::Leaving => self.start_leaving(),
            BenchEvent::Window => self.close_window(),
            BenchEvent::Restart(index) => self.restart(index),
            BenchEvent::Listed(index) => {
                let incarnation = self.nodes[index].incarnation;
                self.platform.set_host(index, HostPhase::Live, incarnation);
            }
            BenchEvent::Removed(index) => self.platform.remove_host(index),
            _ => {}
        }
    }

    pub(super) fn is_measured(&self) -> bool {
        self.now >= WARM_UP_S * 1_000
    }

    /// Seconds since the measurement began, as scenarios count them.
    pub(super) fn scenario_s(&self) -> u64 {
        self.now / 1_000
    }

    pub(super) fn drive<F>(&mut self, to: usize, action: F)
    where
        F: FnOnce(&mut FleetNode, MilliTime),
    {
        let now = at(self.now);
        let start = Instant::now();
        action(&mut self.nodes[to].node, now);
        let outputs = self.nodes[to].node.take_outputs();
        if self.is_measured() {
            self.cpu_ns += start.elapsed().as_nanos() as u64;
        }
        for output in outputs {
            self.carry_out(to, output);
        }
        self.note_leaving(to);
    }

    pub(super) fn carry_out(&mut self, from: usize, output: FleetOutput) {
        match output {
            FleetOutput::Send { id, to, frame, .. } => self.send(from, &to, id, frame),
            FleetOutput::ReadHostList { since } => {
                self.push_for(
                    from,
                    PLATFORM_DELAY_MS,
                    BenchEvent::HostsRead { to: from, since },
                );
            }
            FleetOutput::ReadConfig { after } => {
                self.push_for(
                    from,
                    PLATFORM_DELAY_MS,
                    BenchEvent::ConfigRead { to: from, after },
                );
            }
            FleetOutput::WatchConfig { after } => self.watch(from, after),
            FleetOutput::ConfigChanged { sequence } => self.note_config(from, sequence),
            FleetOutput::DeclaredDown { host } => {
                let is_up = self
                    .index
                    .get(&host)
                    .is_some_and(|&index| self.is_reachable(index));
                let is_false = is_up && self.is_reachable(from);
                self.false_suspicions += u64::from(is_false);
            }
            _ => {}
        }
    }

    pub(super) fn is_reachable(&self, index: usize) -> bool {
        let lost = self.scenario.lost_cell_at_s;
        let lost = lost.is_some_and(|start| self.scenario_s() >= start);
        self.nodes[index].is_up && !(lost && self.nodes[index].place.cell == 0)
    }

    pub(super) fn send(&mut self, from: usize, to: &HostName, id: SendId, frame: Bytes) {
        let to = self.index[to];
        let delay = self.delay(from, to);
        if !self.nodes[to].is_up {
            self.push_for(from, 2 * delay, BenchEvent::Failed { to: from, id });
        } else if self.is_lost(from, to) {
            self.push_for(from, SEND_TIMEOUT_MS, BenchEvent::Failed { to: from, id });
        } else {
            self.push_for(
                from,
                delay,
                BenchEvent::Frame {
                    from,
                    to,
                    id,
                    frame,
                },
            );
        }
    }

    pub(super) fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].place, self.nodes[to].place);
        let loss = self.scenario.loss;
        self.scenario.drops(self.scenario_s(), from, to) || self.rng.random::<f64>() < loss
    }

    pub(super) fn delay(&mut self, from: usize, to: usize) -> u64 {
        let (from, to) = (self.nodes[from].place, self.nodes[to].place);
        let base = if from.region == to.region { 1 } else { 40 };
        base + self.rng.random_range(0..2)
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, id: SendId, frame: &Bytes) {
        if !self.nodes[to].is_up {
            self.push_for(from, 1, BenchEvent::Failed { to: from, id });
            return;
        }
        let mut reply = None;
        self.drive(to, |node, now| reply = node.on_frame(now, frame));
        let delay = self.delay(to, from);
        let frame = reply.unwrap_or_default();
        if self.is_lost(to, from) {
            self.push_for(from, SEND_TIMEOUT_MS, BenchEvent::Failed { to: from, id });
        } else {
            self.push_for(
                from,
                delay,
                BenchEvent::Reply {
                    to: from,
                    id,
                    frame,
                },
            );
        }
    }

    pub(super) fn accept_edit(&mut self) {
        let next = self.rng.random_range(1..2 * EDIT_INTERVAL_MS);
        self.push(next, BenchEvent::Edit);
        let down = self.scenario.store_down_s;
        if down.is_some_and(|(a, b)| (a..b).contains(&self.scenario_s())) {
            return;
        }
        self.platform.accept_edit(at(self.now));
        self.accepted.push(self.now);
        self.end_watches(true);
    }

    pub(super) fn start_leaving(&mut self) {
        self.push(LEAVING_INTERVAL_MS, BenchEvent::Leaving);
        let index = self.nodes.len() + self.rng.random_range(0..self.targets);
        let change = self.platform.read_hosts(0);
        let entry = &change.upserts[index];
        if entry.phase == HostPhase::Leaving {
            return;
        }
        let (name, incarnation) = (entry.name.clone(), entry.incarnation);
        let region = entry.region.as_str().trim_start_matches("region-");
        let region: usize = region.parse().expect("the name ends in a number");
        self.platform
            .set_host(index, HostPhase::Leaving, incarnation);
        let unaware = self.nodes.iter().map(|node| node.place.region == region);
        let unaware = unaware.collect();
        self.leaving.push(LeavingTarget {
            name,
            region,
            since: self.now,
            unaware,
        });
    }

    pub(super) fn read_loads(&mut self) {
        self.push(LOAD_TICK_MS, BenchEvent::Loads);
        self.end_watches(false);
        self.note_reachability();
        let ticks = STREAM_S * 1_000.0 / LOAD_TICK_MS as f64;
        let noise = Normal::new(0.0, (2.0 * MEAN_STREAMS / ticks).sqrt());
        let noise = noise.expect("the deviation is positive");
        for (streams, share) in self.streams.values_mut() {
            *streams += (MEAN_STREAMS - *streams) / ticks + noise.sample(&mut self.rng);
            if self.rng.random::<f64>() < SHARE_CHANGE {
                *share = self.rng.random_range(200..=u8::MAX);
            }
        }
        let now = at(self.now);
        for router in 0..self.nodes.len() {
            if !self.is_reachable(router) {
                continue;
            }
            let interval = self.nodes[router].node.load_interval().as_millis();
            if self.now < self.nodes[router].loads_due {
                continue;
            }
            self.nodes[router].loads_due = self.now + interval;
            let observed = std::sync::Arc::clone(self.nodes[router].node.observed_targets());
            for target in observed.iter() {
                self.count_read(router, 0, 0);
                let (streams, keep_share) = self.streams[target];
                let streams = streams.max(0.0) as u32;
                let record = LoadRecord {
                    version: now,
                    streams,
                    keep_share,
                };
                self.nodes[router].node.on_load_report(now, target, &record);
            }
        }
    }

    pub(super) fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.is_up {
            node.is_up = false;
            self.push(RESTART_MS, BenchEvent::Restart(index));
            return;
        }
        node.incarnation += 1;
        node.entry.incarnation += 1;
        node.read_bytes = node.bytes();
        (node.is_up, node.sequence, node.generation) = (true, 0, 0);
        node.reachable_since = self.now;
        let entry = node.entry.clone();
        self.nodes[index].node = self.make_node(&entry, index);
        self.push_for(index, 0, BenchEvent::Tick(index));
        self.push(LIST_LAG_MS, BenchEvent::Listed(index));
    }
}

/// Unix-like times, so that load versions have room before them.
pub(super) fn at(now: u64) -> MilliTime {
    MilliTime::from_millis(1_700_000_000_000) + MilliDuration::from_millis(now)
}

pub(super) fn place_of(index: usize, regions: usize, cells: usize) -> Place {
    let cell = index % cells;
    Place {
        region: cell % regions,
        cell,
        is_paused: false,
    }
}

pub(super) fn host_entry(index: usize, routers: usize, regions: usize, cells: usize) -> HostEntry {
    let place = place_of(index, regions, cells);
    let is_router = index < routers;
    let kind = if is_router { "entry" } else { "engine" };
    let bytes = (index as u32 + 0x0a00_0000).to_be_bytes();
    HostEntry {
        name: format!("{kind}-{index}").as_str().into(),
        service: if is_router { "briarraild" } else { "engine" }.into(),
        data_centre: format!("centre-{}", place.cell).as_str().into(),
        region: format!("region-{}", place.region).as_str().into(),
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
