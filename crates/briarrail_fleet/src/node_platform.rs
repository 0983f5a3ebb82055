//! Scheduling of platform reads and handling of their results.

use std::sync::Arc;

use briarrail_model::{HostEntry, MilliDuration, MilliTime};

use crate::{ConfigRead, FleetNode, FleetOutput, HostChange, WatchOutcome};

/// Upper bound of the delay after the first failure.
const FIRST_BACKOFF: MilliDuration = MilliDuration::from_millis(1_000);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Relays retry more often, because there are few of them and the other routers depend on them.
const MAX_RELAY_BACKOFF_DOUBLINGS: u32 = 1;
/// Upper bound of the random delay of the configuration read after a watch outage.
const CATCH_UP_JITTER: MilliDuration = MilliDuration::from_millis(500);
/// Time for which an outdated router asks its peers before it reads the platform itself.
const PEER_REPAIR_TIMEOUT: MilliDuration = MilliDuration::from_secs(5);

impl FleetNode {
    pub(crate) fn read_platform(&mut self, now: MilliTime) {
        let is_relay = self.relay_rank().is_some();
        self.read_hosts(now, is_relay);
        self.read_config(now);
        // A watch from an outdated sequence number would end at once.
        let is_reading = self.platform.config_read_in_flight || self.platform.config_due.is_some();
        let can_watch = !self.platform.watch_in_flight && !is_reading;
        if is_relay && can_watch && now >= self.platform.watch_due {
            self.platform.watch_in_flight = true;
            let after = self.sequence();
            self.outputs.push_back(FleetOutput::WatchConfig { after });
        }
    }

    fn read_hosts(&mut self, now: MilliTime, is_relay: bool) {
        let lacks_hosts = self.repair.highest_peer_revision > self.hosts.region_revision();
        let peer_repair_overdue = self.is_peer_repair_overdue(now) && lacks_hosts;
        let is_needed = is_relay || peer_repair_overdue || !self.hosts.is_loaded();
        if !is_needed || self.platform.hosts_read_in_flight || now < self.platform.hosts_due {
            return;
        }
        self.platform.hosts_read_in_flight = true;
        let since = self.hosts.revision();
        self.outputs.push_back(FleetOutput::ReadHostList { since });
    }

    fn read_config(&mut self, now: MilliTime) {
        let lacks_config = self.repair.highest_peer_sequence > self.sequence();
        let peer_repair_overdue = self.is_peer_repair_overdue(now) && lacks_config;
        let is_needed = peer_repair_overdue || self.config.needs_snapshot();
        if is_needed && self.platform.config_due.is_none() {
            self.platform.config_due = Some(now);
        }
        let due = self.platform.config_due.is_some_and(|due| now >= due);
        if !due || self.platform.config_read_in_flight {
            return;
        }
        let skip_above = self.platform.config_skip_above.take();
        if skip_above.is_some_and(|sequence| self.sequence() > sequence) {
            self.platform.config_due = None;
            return;
        }
        self.platform.config_read_in_flight = true;
        let after = if self.config.needs_snapshot() {
            0
        } else {
            self.sequence()
        };
        self.outputs.push_back(FleetOutput::ReadConfig { after });
    }

    fn is_peer_repair_overdue(&self, now: MilliTime) -> bool {
        let since = self.repair.behind_since;
        let timeout = PEER_REPAIR_TIMEOUT + self.repair_jitter;
        since.is_some_and(|since| now.since(since) >= timeout)
    }

    /// Handles a read of the host list; `None` when the platform did not answer.
    pub fn on_hosts_read(&mut self, now: MilliTime, change: Option<&HostChange>) {
        self.platform.hosts_read_in_flight = false;
        let Some(change) = change else {
            self.platform.hosts_failures += 1;
            self.platform.hosts_due = now + self.backoff(self.platform.hosts_failures);
            return;
        };
        self.platform.hosts_failures = 0;
        self.platform.hosts_due = self.next_host_read(now);
        let region = self.local_host.region.clone();
        self.hosts
            .apply(change, |entry: &HostEntry| entry.region == region);
    }

    /// Returns the time of the next read. It spaces the reads of a data centre's relays evenly, by
    /// wall clock and rank.
    fn next_host_read(&self, now: MilliTime) -> MilliTime {
        let interval = self.settings.host_read_interval.as_millis().max(1);
        let relays = self
            .settings
            .relays_per_data_centre
            .clamp(1, self.ring.data_centre_len().max(1)) as u64;
        let rank = self.relay_rank().unwrap_or(0) as u64;
        let phase = interval * rank / relays;
        let since = (now.as_millis() + interval - phase) % interval;
        let wait = interval - since;
        // A read that is slightly off schedule must not bring the next one forward.
        let wait = if wait < interval / 2 {
            wait + interval
        } else {
            wait
        };
        now + MilliDuration::from_millis(wait)
    }

    /// Handles a read of the configuration.
    pub fn on_config_read(&mut self, now: MilliTime, read: ConfigRead) {
        self.platform.config_read_in_flight = false;
        self.platform.config_due = None;
        let before = self.sequence();
        match read {
            ConfigRead::Edits(edits) => {
                for edit in &edits {
                    if self.config.receive_edit(edit).is_err() {
                        self.counters.rejected_edits += 1;
                    }
                }
            }
            ConfigRead::Snapshot(snapshot) => {
                self.config.adopt_snapshot(&Arc::clone(&snapshot));
            }
            ConfigRead::Failed => {
                self.on_config_failure(now);
                return;
            }
        }
        self.platform.config_failures = 0;
        self.repair.has_read_config = true;
        // A read that returned nothing new is not repeated at once.
        self.repair.behind_since = None;
        self.on_config_applied(before);
    }

    fn on_config_failure(&mut self, now: MilliTime) {
        self.platform.config_failures += 1;
        if self.config.snapshot().is_none() {
            self.repair.wants_snapshot = true;
        }
        let delay = self.backoff(self.platform.config_failures);
        self.platform.config_due = Some(now + delay);
    }

    /// Handles the end of a configuration watch.
    pub fn on_watch(&mut self, now: MilliTime, outcome: WatchOutcome) {
        self.platform.watch_in_flight = false;
        if outcome == WatchOutcome::Failed {
            self.platform.watch_failures += 1;
            self.platform.watch_due = now + self.backoff(self.platform.watch_failures);
            return;
        }
        // The head may have changed while it was not watched.
        let was_failing = self.platform.watch_failures > 0;
        self.platform.watch_failures = 0;
        self.platform.watch_due = now;
        if was_failing {
            let delay = self.jitter(CATCH_UP_JITTER);
            self.platform.config_due = Some(now + delay);
        } else if outcome == WatchOutcome::Changed {
            self.schedule_config_read(now);
        }
    }

    /// Schedules the read of a changed head, for one relay after another.
    ///
    /// A relay skips its read when the broadcast of an earlier one has arrived by then.
    fn schedule_config_read(&mut self, now: MilliTime) {
        let rank = self.relay_rank().unwrap_or(0) as u64;
        let relays = self.settings.relays_per_data_centre.max(1) as u64;
        let turn = (rank + self.sequence()) % relays;
        let delay = MilliDuration::from_millis(turn * self.settings.relay_stagger.as_millis());
        self.platform.config_due = Some(now + delay);
        self.platform.config_skip_above = Some(self.sequence());
    }

    /// Returns a jittered delay that doubles with each failure up to a limit.
    fn backoff(&mut self, failures: u32) -> MilliDuration {
        let is_relay = self.relay_rank().is_some();
        let max_doublings = if is_relay {
            MAX_RELAY_BACKOFF_DOUBLINGS
        } else {
            MAX_BACKOFF_DOUBLINGS
        };
        let doublings = failures.saturating_sub(1).min(max_doublings);
        let max_delay_ms = FIRST_BACKOFF.as_millis() << doublings;
        self.jitter(MilliDuration::from_millis(max_delay_ms))
    }
}
