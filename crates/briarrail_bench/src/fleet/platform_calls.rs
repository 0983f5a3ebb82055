//! Simulated calls from routers to the platform.

use briarrail_fleet::{ConfigRead, WatchOutcome};
use briarrail_peer::{REPLY_HEADER_BYTES, REQUEST_HEADER_BYTES};

use super::fleet_simulation::{FleetSimulation, PLATFORM_DELAY_MS};
use super::simulation_event::SimulationEvent;

const WATCH_TIMEOUT_MS: u64 = 30_000;
/// Bytes of a read request and its reply without the headers.
const READ_BODY_BYTES: usize = 80;
/// Size of the head object, which contains edits and the references to the segments and the base.
const HEAD_OBJECT_BYTES: usize = 3_600;
/// Edits that the head object contains; a reader further behind also reads a segment.
const MAX_HEAD_EDITS: usize = 4;
const SEGMENT_BYTES: usize = 32_000;
const BYTES_PER_HOST: usize = 200;

impl FleetSimulation {
    /// Charges a read of `bytes` bytes to a router and counts `calls` platform reads.
    pub(super) fn count_read(&mut self, router: usize, calls: u64, bytes: usize) {
        let bytes = REQUEST_HEADER_BYTES + REPLY_HEADER_BYTES + READ_BODY_BYTES + bytes;
        self.nodes[router].fleet_node.charge_external(bytes);
        self.nodes[router].read_bytes += bytes as u64;
        if self.is_measured() {
            self.platform_reads += calls;
        }
    }

    pub(super) fn platform_answers(&self, router: usize) -> bool {
        let location = self.nodes[router].location;
        self.scenario.platform_answers(self.scenario_s(), location)
    }

    pub(super) fn complete_host_read(&mut self, to: usize, since: u64) {
        if !self.platform_answers(to) {
            self.count_read(to, 1, 0);
            self.drive_node(to, |node, now| node.on_hosts_read(now, None));
            return;
        }
        let change = self.platform.read_hosts(since);
        // The first read of the whole list is a cost of starting a router; its bytes are left out
        // of the control rate.
        let changed_hosts = if since == 0 { 0 } else { change.upserts.len() };
        self.count_read(to, 1, changed_hosts * BYTES_PER_HOST);
        self.drive_node(to, |node, now| node.on_hosts_read(now, Some(&change)));
    }

    pub(super) fn complete_config_read(&mut self, to: usize, after: u64) {
        if !self.platform_answers(to) {
            self.count_read(to, 1, 0);
            self.drive_node(to, |node, now| node.on_config_read(now, ConfigRead::Failed));
            return;
        }
        let read = self.platform.read_config(after);
        // The first read of the whole tables is a cost of starting a router; their bytes are left
        // out of the control rate.
        let (calls, bytes) = match &read {
            ConfigRead::Edits(edits) if edits.len() > MAX_HEAD_EDITS => {
                (2, HEAD_OBJECT_BYTES + SEGMENT_BYTES)
            }
            ConfigRead::Edits(_) => (1, HEAD_OBJECT_BYTES),
            _ => (3, HEAD_OBJECT_BYTES),
        };
        self.count_read(to, calls, bytes);
        self.drive_node(to, |node, now| node.on_config_read(now, read));
    }

    pub(super) fn start_watch(&mut self, router: usize, after: u64) {
        self.count_read(router, 1, 0);
        let outcome = if !self.platform_answers(router) {
            WatchOutcome::Failed
        } else if self.platform.sequence() > after {
            WatchOutcome::Changed
        } else {
            self.watchers.push((router, self.now + WATCH_TIMEOUT_MS));
            return;
        };
        let event = SimulationEvent::WatchCompleted {
            to: router,
            outcome,
        };
        self.schedule_for(router, PLATFORM_DELAY_MS, event);
    }

    /// Ends the watches that changed, failed or timed out.
    pub(super) fn complete_watches(&mut self, changed: bool) {
        let watchers = std::mem::take(&mut self.watchers);
        for (router, until) in watchers {
            let outcome = if !self.platform_answers(router) {
                WatchOutcome::Failed
            } else if changed {
                WatchOutcome::Changed
            } else if self.now >= until {
                WatchOutcome::TimedOut
            } else {
                self.watchers.push((router, until));
                continue;
            };
            let event = SimulationEvent::WatchCompleted {
                to: router,
                outcome,
            };
            self.schedule_for(router, PLATFORM_DELAY_MS, event);
        }
    }
}
