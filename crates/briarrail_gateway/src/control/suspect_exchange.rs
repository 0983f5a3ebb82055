//! Exchanges evidence on prompt parts that crash targets, and keeps the blocked parts in the store,
//! so that they outlast the processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarrail_dispatch::{BlockReport, BlockedSuspect, SuspectReport};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_platform::StoreError;
use bytes::Bytes;

use super::SharedControlState;
use super::control_state::ControlState;
use super::store_health::read_conditions;
use crate::traffic::ControlUpdate;
use crate::{BlockedSuspectRecord, SiteStore};

/// Name of the calls in logs and metrics.
const CALL: &str = "blocked_parts";
/// Interval at which the blocked parts are read while this router reads the store.
const LIST_INTERVAL: MilliDuration = MilliDuration::from_millis(2_000);
/// Interval at which newly blocked parts are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Difference of the end of a block from its entry at which the entry is replaced; more than clocks
/// differ.
const MAX_END_DIFFERENCE_MS: u64 = 30_000;

impl ControlState {
    /// Merges evidence of other routers, and forwards it to the traffic thread.
    pub(crate) fn merge_suspect_reports(
        &mut self,
        reports: Vec<SuspectReport>,
        source: &'static str,
    ) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        // The traffic thread comes to the same changes and logs them.
        let _changes = self.quarantine.merge(&reports, now);
        self.send_update(ControlUpdate::SuspectReports(reports, source));
    }

    /// Merges the evidence of this router's traffic thread.
    pub(crate) fn merge_local_suspect_reports(&mut self, reports: &[SuspectReport]) {
        let now = self.clock.now();
        let _changes = self.quarantine.merge(reports, now);
    }

    /// Merges the encoded evidence of a message that was on its way for a time.
    pub(crate) fn merge_encoded_suspect_reports(
        &mut self,
        encoded: &Bytes,
        transit: MilliDuration,
        source: &'static str,
    ) {
        if encoded.is_empty() {
            return;
        }
        match rmp_serde::from_slice::<Vec<SuspectReport>>(encoded) {
            Ok(reports) => {
                let aged = reports.into_iter().map(|report| report.aged(transit));
                self.merge_suspect_reports(aged.collect(), source);
            }
            Err(error) => tracing::error!(event = "part_reports_unreadable", source, %error),
        }
    }

    /// Returns the estimated time of a message from this router to its hub or back.
    pub(crate) const fn sync_transit(&self) -> MilliDuration {
        MilliDuration::from_millis(self.sync_round_trip.as_millis() / 2)
    }

    /// Encodes what the other routers need to know, for a message that is on its way for a time;
    /// empty if there is nothing.
    pub(crate) fn encode_suspect_reports(&self, transit: MilliDuration, now: MilliTime) -> Bytes {
        let reports = self.quarantine.reports(now);
        if reports.is_empty() {
            return Bytes::new();
        }
        let aged = reports.into_iter().map(|report| report.aged(transit));
        match rmp_serde::to_vec(&aged.collect::<Vec<_>>()) {
            Ok(encoded) => encoded.into(),
            Err(error) => {
                tracing::error!(event = "part_reports_not_encoded", %error);
                Bytes::new()
            }
        }
    }
}

/// Reads the blocked parts once at the start, and keeps them in the store while this router reads
/// the store for the others.
pub(crate) async fn maintain_blocked_suspects<S>(state: SharedControlState, store: S)
where
    S: SiteStore,
{
    let mut has_read = false;
    let mut stored: Vec<BlockedSuspectRecord> = Vec::new();
    loop {
        let is_reader = {
            let state = state.borrow();
            read_conditions(&state, has_read).read_reason().is_some()
        };
        if is_reader {
            has_read = true;
            let outcome = synchronize(&state, &store).await;
            let label = outcome.as_ref().map_or("failed", |_| "good");
            state.borrow().metrics.count_store_call(CALL, label);
            match outcome {
                Ok(records) => stored = records,
                Err(error) => tracing::warn!(event = "blocked_parts_not_stored", %error),
            }
        }
        let read_at = state.borrow().clock.now();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let state = state.borrow();
            let now = state.clock.now();
            let blocked = state.quarantine.blocked_suspects(now);
            let has_unstored = blocked.iter().any(|part| !is_stored(part, &stored, now));
            // Followers wait for the same time, and then check whether they became the reader.
            if now.since(read_at) >= LIST_INTERVAL || (has_unstored && is_reader) {
                break;
            }
        }
    }
}

/// Adopts the blocked parts of the store, adds those that it lacks, removes those that are not
/// blocked any more, and returns its entries.
async fn synchronize<S>(
    state: &SharedControlState,
    store: &S,
) -> Result<Vec<BlockedSuspectRecord>, StoreError>
where
    S: SiteStore,
{
    let stored = store.list_blocked_suspects().await?;
    let (now, blocked) = {
        let mut state = state.borrow_mut();
        let unix_ms = unix_millis();
        let reports = stored.iter().map(|record| to_report(record, unix_ms));
        let reports = reports.collect();
        state.merge_suspect_reports(reports, "store");
        let now = state.clock.now();
        (now, state.quarantine.blocked_suspects(now))
    };
    for part in blocked.iter().filter(|part| !is_stored(part, &stored, now)) {
        let record = to_record(part, unix_millis(), now);
        store.put_blocked_suspect(&record).await?;
        tracing::info!(
            event = "part_stored",
            part = format!("{:016x}", part.part.0)
        );
    }
    for record in &stored {
        if !blocked.iter().any(|part| part.part == record.part) {
            store.remove_blocked_suspect(record.part).await?;
        }
    }
    let unix_ms = unix_millis();
    Ok(blocked
        .iter()
        .map(|part| to_record(part, unix_ms, now))
        .collect())
}

fn to_record(blocked: &BlockedSuspect, unix_ms: u64, now: MilliTime) -> BlockedSuspectRecord {
    BlockedSuspectRecord {
        part: blocked.part,
        blocked_unix_ms: unix_ms,
        until_unix_ms: unix_ms + blocked.until.since(now).as_millis(),
    }
}

fn to_report(record: &BlockedSuspectRecord, unix_ms: u64) -> SuspectReport {
    let age_ms = unix_ms.saturating_sub(record.blocked_unix_ms);
    let remaining_ms = record.until_unix_ms.saturating_sub(unix_ms);
    SuspectReport {
        part: record.part,
        crashes: Vec::new(),
        begun_age: None,
        block: Some(BlockReport {
            age: MilliDuration::from_millis(age_ms),
            remaining: MilliDuration::from_millis(remaining_ms),
        }),
    }
}

fn is_stored(blocked: &BlockedSuspect, stored: &[BlockedSuspectRecord], now: MilliTime) -> bool {
    let until_unix_ms = unix_millis() + blocked.until.since(now).as_millis();
    stored.iter().any(|record| {
        record.part == blocked.part
            && record.until_unix_ms.abs_diff(until_unix_ms) <= MAX_END_DIFFERENCE_MS
    })
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
