//! Calls of the routers to the platform.

use briarrail_fleet::{ConfigRead, WatchOutcome};
use briarrail_peer::{REPLY_HEADER_BYTES, REQUEST_HEADER_BYTES};

use super::bench_event::BenchEvent;
use super::bench_fleet::{BenchFleet, PLATFORM_DELAY_MS};

const WATCH_TIMEOUT_MS: u64 = 30_000;
/// Bytes of a read and of its answer beside the headers.
const READ_BYTES: usize = 80;
/// Bytes of the head object: edits, references to segments and to the base.
const HEAD_BYTES: usize = 3_600;
/// Edits that the head object carries itself.
const HEAD_EDITS: usize = 4;
const SEGMENT_BYTES: usize = 32_000;
const BYTES_PER_HOST: usize = 200;

impl BenchFleet {
    pub(super) fn count_read(&mut self, router: usize, calls: u64, bytes: usize) {
        let bytes = REQUEST_HEADER_BYTES + REPLY_HEADER_BYTES + READ_BYTES + bytes;
        self.nodes[router].node.charge_external(bytes);
        self.nodes[router].read_bytes += bytes as u64;
        if self.is_measured() {
            self.reads += calls;
        }
    }

    pub(super) fn platform_answers(&self, router: usize) -> bool {
        let place = self.nodes[router].place;
        self.scenario.platform_answers(self.scenario_s(), place)
    }

    pub(super) fn hosts_read(&mut self, to: usize, since: u64) {
        if !self.platform_answers(to) {
            self.count_read(to, 1, 0);
            self.drive(to, |node, now| node.on_hosts_read(now, None));
            return;
        }
        let change = self.platform.read_hosts(since);
        // A first read of the whole list belongs to the start of a router, not to its rate.
        let listed = if since == 0 { 0 } else { change.upserts.len() };
        self.count_read(to, 1, listed * BYTES_PER_HOST);
        self.drive(to, |node, now| node.on_hosts_read(now, Some(&change)));
    }

    pub(super) fn config_read(&mut self, to: usize, after: u64) {
        if !self.platform_answers(to) {
            self.count_read(to, 1, 0);
            self.drive(to, |node, now| node.on_config_read(now, ConfigRead::Failed));
            return;
        }
        let read = self.platform.read_config(after);
        // A first read of the whole tables belongs to the start of a router, not to its rate.
        let (calls, bytes) = match &read {
            ConfigRead::Edits(edits) if edits.len() > HEAD_EDITS => (2, HEAD_BYTES + SEGMENT_BYTES),
            ConfigRead::Edits(_) => (1, HEAD_BYTES),
            _ => (3, HEAD_BYTES),
        };
        self.count_read(to, calls, bytes);
        self.drive(to, |node, now| node.on_config_read(now, read));
    }

    pub(super) fn watch(&mut self, router: usize, after: u64) {
        self.count_read(router, 1, 0);
        let outcome = if !self.platform_answers(router) {
            WatchOutcome::Failed
        } else if self.platform.sequence() > after {
            WatchOutcome::Changed
        } else {
            self.watchers.push((router, self.now + WATCH_TIMEOUT_MS));
            return;
        };
        let event = BenchEvent::Watched {
            to: router,
            outcome,
        };
        self.push_for(router, PLATFORM_DELAY_MS, event);
    }

    pub(super) fn end_watches(&mut self, changed: bool) {
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
            let event = BenchEvent::Watched {
                to: router,
                outcome,
            };
            self.push_for(router, PLATFORM_DELAY_MS, event);
        }
    }
}
