//! Simulated fleet: several nodes connected by an event queue.

use std::collections::BTreeMap;

use briarrail_fleet::{ConfigRead, FleetNode, FleetOutput, FleetSettings, SendId, WatchOutcome};
use briarrail_model::{HostEntry, HostName, HostPhase, MilliDuration, MilliTime};
use briarrail_peer::{KeyRing, SharedKey};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::store_oracle::StoreOracle;

pub(crate) const TICK_MS: u64 = 100;
const SEND_TIMEOUT_MS: u64 = 1_000;
const START_MS: u64 = 1_700_000_000_000;

enum Event {
    Frame {
        from: usize,
        to: usize,
        id: SendId,
        frame: Bytes,
    },
    Reply {
        to: usize,
        id: SendId,
        frame: Bytes,
    },
    Failed {
        to: usize,
        id: SendId,
    },
    HostsRead {
        to: usize,
        since: u64,
    },
    ConfigRead {
        to: usize,
        after: u64,
    },
    Watched {
        to: usize,
        after: u64,
        until_ms: u64,
    },
}

impl Event {
    fn owner(&self) -> usize {
        match self {
            Self::Frame { from, .. } => *from,
            Self::Reply { to, .. }
            | Self::Failed { to, .. }
            | Self::HostsRead { to, .. }
            | Self::ConfigRead { to, .. }
            | Self::Watched { to, .. } => *to,
        }
    }
}

pub(crate) struct FakeRouter {
    pub(crate) node: FleetNode,
    pub(crate) entry: HostEntry,
    pub(crate) is_up: bool,
    /// Routers reach each other only within the same partition.
    pub(crate) partition: u8,
    /// Highest sequence number that was active since the router started.
    pub(crate) highest_sequence: u64,
}

/// Routers and the store, with injected faults.
pub(crate) struct FakeFleet {
    pub(crate) routers: Vec<FakeRouter>,
    pub(crate) store: StoreOracle,
    pub(crate) store_up: bool,
    pub(crate) loss_rate: f64,
    pub(crate) duplicate_rate: f64,
    pub(crate) max_delay_ms: u64,
    pub(crate) seed: u64,
    router_indices: BTreeMap<HostName, usize>,
    events: BTreeMap<(u64, u64), (u64, Event)>,
    next_order: u64,
    pub(crate) now_ms: u64,
    rng: SmallRng,
}

pub(crate) fn router_name(index: usize) -> HostName {
    format!("entry-{index}").as_str().into()
}

pub(crate) fn target_name(index: usize) -> HostName {
    format!("engine-{index}").as_str().into()
}

pub(crate) fn entry(name: HostName, service: &str, centre: usize) -> HostEntry {
    HostEntry {
        name,
        service: service.to_owned(),
        data_centre: format!("centre-{centre}").as_str().into(),
        region: "coast".into(),
        address: ([127, 0, 0, 1], 7_400).into(),
        phase: HostPhase::Live,
        incarnation: 1,
        labels: BTreeMap::new(),
    }
}

pub(crate) fn keys() -> KeyRing {
    KeyRing::new(SharedKey::new(b"secret"))
}

impl FakeFleet {
    /// Creates `count` routers in three data centres and as many targets.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let routers: Vec<_> = (0..count)
            .map(|index| entry(router_name(index), "briarraild", index % 3))
            .collect();
        let targets = (0..count).map(|index| entry(target_name(index), "engine", index % 3));
        let hosts = routers.iter().cloned().chain(targets).collect();
        let mut fleet = Self {
            routers: Vec::new(),
            store: StoreOracle::new(hosts),
            store_up: true,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_delay_ms: 2,
            seed,
            router_indices: BTreeMap::new(),
            events: BTreeMap::new(),
            next_order: 0,
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for entry in routers {
            let index = fleet.routers.len();
            fleet.router_indices.insert(entry.name.clone(), index);
            let node = fleet.make_node(&entry);
            fleet.routers.push(FakeRouter {
                node,
                entry,
                is_up: true,
                partition: 0,
                highest_sequence: 0,
            });
        }
        fleet
    }

    fn make_node(&self, entry: &HostEntry) -> FleetNode {
        let seed = self.seed ^ entry.name.stable_hash().0 ^ entry.incarnation;
        let settings = FleetSettings::new(keys()).with_relays_per_data_centre(2);
        FleetNode::new(settings, entry.clone(), self.unix_time(), seed)
    }

    pub(crate) fn unix_time(&self) -> MilliTime {
        MilliTime::from_millis(START_MS) + MilliDuration::from_millis(self.now_ms)
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.routers[index].is_up = false;
    }

    /// Restarts a router with its next incarnation, which the host list shows as well.
    pub(crate) fn restart(&mut self, index: usize) {
        let mut entry = self.routers[index].entry.clone();
        entry.incarnation += 1;
        self.store.set_host(entry.clone());
        let node = self.make_node(&entry);
        let router = &mut self.routers[index];
        (router.node, router.entry) = (node, entry);
        (router.is_up, router.highest_sequence) = (true, 0);
    }

    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            for index in 0..self.routers.len() {
                self.drive(index, FleetNode::on_tick);
            }
            let tick_end = self.now_ms + TICK_MS;
            while let Some(next) = self.events.first_entry() {
                if next.key().0 > tick_end {
                    break;
                }
                let ((at, _), (incarnation, event)) = next.remove_entry();
                self.now_ms = self.now_ms.max(at);
                let owner = &self.routers[event.owner()];
                if owner.is_up && owner.entry.incarnation == incarnation {
                    self.handle(event);
                }
            }
            self.now_ms = tick_end;
        }
    }

    pub(crate) fn drive<F>(&mut self, index: usize, action: F)
    where
        F: FnOnce(&mut FleetNode, MilliTime),
    {
        if !self.routers[index].is_up {
            return;
        }
        let now = self.unix_time();
        action(&mut self.routers[index].node, now);
        for output in self.routers[index].node.take_outputs() {
            self.execute(index, output);
        }
        self.assert_router_invariants(index);
    }

    /// Asserts that the sequence number never decreases and that the tables are those that the
    /// store accepted with it.
    fn assert_router_invariants(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let sequence = router.node.sequence();
        let seed = self.seed;
        assert!(
            sequence >= router.highest_sequence,
            "seed {seed}: the sequence number of router {index} decreased"
        );
        if router.node.is_ready() {
            assert!(
                router.node.config().is_some(),
                "seed {seed}: router {index} is ready without a configuration"
            );
        }
        if sequence == router.highest_sequence && sequence > 0 {
            return;
        }
        router.highest_sequence = sequence;
        if let Some(config) = router.node.config() {
            let accepted = &self.store.states[usize::try_from(sequence).unwrap()];
            assert_eq!(
                config, accepted,
                "seed {seed}: router {index} at {sequence}"
            );
        }
    }

    fn schedule(&mut self, owner: usize, delay_ms: u64, event: Event) {
        self.next_order += 1;
        let incarnation = self.routers[owner].entry.incarnation;
        let key = (self.now_ms + delay_ms, self.next_order);
        self.events.insert(key, (incarnation, event));
    }

    fn random_delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..=self.max_delay_ms)
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.routers[from], &self.routers[to]);
        let is_partitioned = from.partition != to.partition || !to.is_up;
        let is_dropped = self.rng.random::<f64>() < self.loss_rate;
        is_partitioned || is_dropped
    }

    fn execute(&mut self, from: usize, output: FleetOutput) {
        match output {
            FleetOutput::Send { id, to, frame, .. } => self.send(from, &to, id, &frame),
            FleetOutput::ReadHostList { since } => {
                self.schedule(from, 5, Event::HostsRead { to: from, since });
            }
            FleetOutput::ReadConfig { after } => {
                self.schedule(from, 5, Event::ConfigRead { to: from, after });
            }
            FleetOutput::WatchConfig { after } => {
                let until_ms = self.now_ms + 5_000;
                self.schedule(
                    from,
                    5,
                    Event::Watched {
                        to: from,
                        after,
                        until_ms,
                    },
                );
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &HostName, id: SendId, frame: &Bytes) {
        let to = self.router_indices[to];
        if self.is_lost(from, to) {
            self.schedule(from, SEND_TIMEOUT_MS, Event::Failed { to: from, id });
            return;
        }
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplicate_rate);
        for _ in 0..copies {
            let delay_ms = self.random_delay_ms();
            let frame = frame.clone();
            self.schedule(
                from,
                delay_ms,
                Event::Frame {
                    from,
                    to,
                    id,
                    frame,
                },
            );
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Frame {
                from,
                to,
                id,
                frame,
            } => {
                let mut reply = None;
                self.drive(to, |node, now| reply = node.on_frame(now, &frame));
                if self.is_lost(to, from) || !self.routers[to].is_up {
                    self.schedule(from, SEND_TIMEOUT_MS, Event::Failed { to: from, id });
                    return;
                }
                let frame = reply.unwrap_or_default();
                let delay_ms = self.random_delay_ms();
                self.schedule(
                    from,
                    delay_ms,
                    Event::Reply {
                        to: from,
                        id,
                        frame,
                    },
                );
            }
            Event::Reply { to, id, frame } => {
                self.drive(to, |node, now| node.on_reply(now, id, &frame));
            }
            Event::Failed { to, id } => {
                self.drive(to, |node, now| node.on_send_failed(now, id));
            }
            Event::HostsRead { to, since } => {
                let change = self.store_up.then(|| self.store.read_hosts(since));
                self.drive(to, |node, now| node.on_hosts_read(now, change.as_ref()));
            }
            Event::ConfigRead { to, after } => {
                let read = if self.store_up {
                    self.store.read_config(after)
                } else {
                    ConfigRead::Failed
                };
                self.drive(to, |node, now| node.on_config_read(now, read));
            }
            Event::Watched {
                to,
                after,
                until_ms,
            } => self.watch(to, after, until_ms),
        }
    }

    fn watch(&mut self, to: usize, after: u64, until_ms: u64) {
        let outcome = if !self.store_up {
            WatchOutcome::Failed
        } else if self.store.sequence() > after {
            WatchOutcome::Changed
        } else if self.now_ms >= until_ms {
            WatchOutcome::TimedOut
        } else {
            self.schedule(
                to,
                20,
                Event::Watched {
                    to,
                    after,
                    until_ms,
                },
            );
            return;
        };
        self.drive(to, |node, now| node.on_watch(now, outcome));
    }

    /// Asserts that all running routers are ready and hold the latest tables and host list.
    pub(crate) fn assert_converged(&self) {
        self.assert_config_converged();
        for (index, router) in self.routers.iter().enumerate().filter(|(_, it)| it.is_up) {
            let revision = router.node.hosts().revision();
            let context = format!("seed {}: router {index}", self.seed);
            assert_eq!(revision, self.store.revision(), "{context}");
        }
    }

    /// Asserts that all running routers are ready and hold the latest accepted tables.
    pub(crate) fn assert_config_converged(&self) {
        for (index, router) in self.routers.iter().enumerate().filter(|(_, it)| it.is_up) {
            let context = format!("seed {}: router {index}", self.seed);
            assert!(router.node.is_ready(), "{context} is not ready");
            assert_eq!(router.node.sequence(), self.store.sequence(), "{context}");
            let accepted = self.store.states.last();
            assert_eq!(router.node.config(), accepted, "{context}");
        }
    }
}
