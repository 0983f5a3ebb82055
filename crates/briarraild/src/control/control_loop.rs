//! The event loop that owns the control state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use briarrail_fleet::{FleetNode, FleetOutput, FleetView};
use briarrail_model::{HostEntry, HostName, LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::FrameCodec;
use briarrail_platform::{HostDirectory, ObjectStore};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::claim_service::{ClaimService, PendingStoreCall};
use super::peer_in_flight_counts::PeerInFlightCounts;
use super::snapshot_builder::SnapshotBuilder;
use super::{ControlEvent, PlatformTasks};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const PUBLISH_INTERVAL: MilliDuration = MilliDuration::from_millis(200);
/// Size of the request and reply of a load read on the wire, headers included.
const LOAD_READ_BYTES: usize = 420;

/// Components that the control loop drives.
#[derive(Debug)]
pub(crate) struct ControlParts {
    /// Host list entry of this router.
    pub(crate) local_host: HostEntry,
    /// Protocol node for membership, exchange and configuration.
    pub(crate) fleet: FleetNode,
    /// Claims in the buckets of this router.
    pub(crate) claims: ClaimService,
    /// Seals and opens claim messages.
    pub(crate) codec: FrameCodec,
    /// Builds snapshots for the traffic threads.
    pub(crate) snapshot_builder: SnapshotBuilder,
    /// State shared with the traffic threads.
    pub(crate) state: Arc<SharedState>,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
}

/// Owns the control state and publishes it to the traffic threads.
#[derive(Debug)]
pub(crate) struct ControlLoop<S, D> {
    pub(super) parts: ControlParts,
    pub(super) tasks: PlatformTasks<S, D>,
    events: mpsc::Receiver<ControlEvent>,
    pub(super) observed_loads: HashMap<HostName, LoadRecord>,
    pub(super) peer_in_flight: PeerInFlightCounts,
    pub(super) view: FleetView,
    pub(super) view_generation: Option<u64>,
    needs_publish: bool,
    /// Whether the router has ever been ready; a router that is leaving continues to serve.
    pub(super) has_been_ready: bool,
    publish_due: MilliTime,
    load_read_due: MilliTime,
    handover_done: Option<oneshot::Sender<()>>,
}

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Creates the loop of a router that has no hosts and no configuration yet.
    pub(crate) fn new(
        parts: ControlParts,
        tasks: PlatformTasks<S, D>,
        events: mpsc::Receiver<ControlEvent>,
    ) -> Self {
        let peer_in_flight = PeerInFlightCounts::new(&parts.local_host.name);
        Self {
            parts,
            tasks,
            events,
            observed_loads: HashMap::new(),
            peer_in_flight,
            view: FleetView::default(),
            view_generation: None,
            needs_publish: true,
            has_been_ready: false,
            publish_due: MilliTime::default(),
            load_read_due: MilliTime::default(),
            handover_done: None,
        }
    }

    /// Runs until all event senders are dropped.
    pub(crate) async fn run(mut self) {
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => self.tick(),
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            }
            self.execute_outputs();
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.parts.fleet.on_tick(now);
        let wake = self.parts.claims.next_wake();
        if wake.is_some_and(|wake| wake <= now) {
            let calls = self.parts.claims.tick(now);
            self.start_store_calls(calls);
        }
        if now >= self.publish_due {
            self.publish_due = now + PUBLISH_INTERVAL;
            self.publish(now);
        }
        if now >= self.load_read_due {
            self.load_read_due = now + self.parts.fleet.load_interval();
            self.read_loads();
            self.sample_control_rate(now);
        }
        self.finish_handover();
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.now();
        let fleet = &mut self.parts.fleet;
        match event {
            ControlEvent::FrameReceived { path, frame, reply } => {
                self.handle_frame(path, &frame, reply);
            }
            ControlEvent::SendCompleted(id, Some(reply)) => fleet.on_reply(now, id, &reply),
            ControlEvent::SendCompleted(id, None) => fleet.on_send_failed(now, id),
            ControlEvent::HostListRead(change) => fleet.on_hosts_read(now, change.as_ref()),
            ControlEvent::ConfigRead(read) => fleet.on_config_read(now, read),
            ControlEvent::ConfigWatchEnded(outcome) => fleet.on_watch(now, outcome),
            ControlEvent::LoadRead(target, record) => self.handle_load(now, target, record),
            ControlEvent::StoreReplied(id, reply) => {
                let calls = self.parts.claims.handle_store_reply(id, reply, now);
                self.start_store_calls(calls);
            }
            ControlEvent::Claim(request, reply) => {
                let calls = self.parts.claims.handle_claim(request, reply, now);
                self.start_store_calls(calls);
            }
            ControlEvent::Report(report, reply) => {
                let calls = self.parts.claims.handle_report(report, reply, now);
                self.start_store_calls(calls);
            }
            ControlEvent::Leave => {
                tracing::info!("control: announcing that this router is leaving");
                fleet.leave(now);
            }
            ControlEvent::HandOver(done) => {
                self.parts.claims.hand_over();
                self.handover_done = Some(done);
            }
        }
    }

    fn handle_load(&mut self, now: MilliTime, target: HostName, record: Option<LoadRecord>) {
        self.parts.fleet.charge_external(LOAD_READ_BYTES);
        let Some(record) = record else {
            tracing::debug!(%target, "control: could not read the load of a target");
            return;
        };
        self.parts.fleet.on_load_report(now, &target, &record);
        self.observed_loads.insert(target, record);
    }

    fn execute_outputs(&mut self) {
        for output in self.parts.fleet.take_outputs() {
            match output {
                FleetOutput::Send {
                    id, address, frame, ..
                } => {
                    self.tasks.send_frame(id, address, frame);
                }
                FleetOutput::ReadHostList { since } => {
                    self.parts.state.metrics.count_platform_call("hosts");
                    self.tasks.read_hosts(since);
                }
                FleetOutput::ReadConfig { after } => {
                    self.parts.state.metrics.count_platform_call("config");
                    self.tasks.read_config(after);
                }
                FleetOutput::WatchConfig { after } => {
                    self.parts.state.metrics.count_platform_call("watch");
                    self.tasks.watch_config(after);
                }
                FleetOutput::ConfigChanged { sequence } => {
                    tracing::info!(sequence, "control: new configuration in force");
                    self.needs_publish = true;
                    self.update_objectives();
                }
                _ => {}
            }
        }
        let is_view_stale = self.view_generation != Some(self.parts.fleet.hosts().generation());
        if is_view_stale || self.needs_publish {
            self.needs_publish = false;
            self.publish(self.now());
        }
    }

    pub(super) fn start_store_calls(&self, calls: Vec<PendingStoreCall>) {
        for call in calls {
            self.parts.state.metrics.count_platform_call("claims");
            self.tasks.start_store_call(call);
        }
    }

    fn finish_handover(&mut self) {
        if self.parts.claims.is_idle()
            && let Some(done) = self.handover_done.take()
        {
            tracing::info!("claims: handover of buckets completed");
            // The receiver is gone if the stop timed out.
            let _ = done.send(());
        }
    }

    pub(super) fn now(&self) -> MilliTime {
        self.parts.clock.now()
    }
}
