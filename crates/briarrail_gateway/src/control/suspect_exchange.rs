//! Exchanges evidence on requests and prompt parts that crash targets, and keeps the blocked ones in
//! the store, so that they outlast the processes.

use std::time::Duration;

use briarrail_dispatch::{BlockReport, BlockedSuspect, SuspectKind, SuspectReport, SuspectReports};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_platform::StoreError;
use bytes::Bytes;

use super::SharedControlState;
use super::control_state::ControlState;
use super::store_health::read_conditions;
use crate::process_clock::unix_millis;
use crate::traffic::{ControlUpdate, suspect_kind_name};
use crate::{BlockedSuspectRecord, SiteStore};

/// Name of the calls in logs and metrics.
const CALL: &str = "blocked_suspects";
/// Interval at which the blocked suspects are read while this router reads the store.
const LIST_INTERVAL: MilliDuration = MilliDuration::from_millis(2_000);
/// Interval at which newly blocked suspects are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Difference of the end of a block from its entry at which the entry is replaced; more than clocks
/// differ.
const MAX_END_DIFFERENCE_MS: u64 = 30_000;

/// Evidence in the form in which a message carries it; empty parts take no space.
#[derive(Debug, Clone, Default)]
pub(crate) struct EncodedReports {
    pub(crate) parts: Bytes,
    pub(crate) requests: Bytes,
}

impl EncodedReports {
    fn encode(reports: &SuspectReports) -> Self {
        Self {
            parts: encode_reports(&reports.parts),
            requests: encode_reports(&reports.requests),
        }
    }

    fn decode(&self, source: &'static str) -> SuspectReports {
        SuspectReports {
            parts: decode_reports(&self.parts, source),
            requests: decode_reports(&self.requests, source),
        }
    }
}

fn encode_reports(reports: &Vec<SuspectReport>) -> Bytes {
    if reports.is_empty() {
        return Bytes::new();
    }
    match rmp_serde::to_vec(reports) {
        Ok(encoded) => encoded.into(),
        Err(error) => {
            tracing::error!(event = "suspect_reports_not_encoded", %error);
            Bytes::new()
        }
    }
}

fn decode_reports(encoded: &Bytes, source: &'static str) -> Vec<SuspectReport> {
    if encoded.is_empty() {
        return Vec::new();
    }
    match rmp_serde::from_slice(encoded) {
        Ok(reports) => reports,
        Err(error) => {
            tracing::error!(event = "suspect_reports_unreadable", source, %error);
            Vec::new()
        }
    }
}

impl ControlState {
    /// Merges evidence of other routers, and forwards it to the traffic thread.
    pub(crate) fn merge_suspect_reports(&mut self, reports: SuspectReports, source: &'static str) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        // The traffic thread comes to the same changes and logs them.
        let _changes = self.quarantine.merge(&reports, now);
        self.send_update(ControlUpdate::SuspectReports(reports, source));
    }

    /// Merges the evidence of this router's traffic thread.
    pub(crate) fn merge_local_suspect_reports(&mut self, reports: &SuspectReports) {
        let now = self.clock.now();
        let _changes = self.quarantine.merge(reports, now);
    }

    /// Merges the encoded evidence of a message that was on its way for a time.
    pub(crate) fn merge_encoded_suspect_reports(
        &mut self,
        encoded: &EncodedReports,
        transit: MilliDuration,
        source: &'static str,
    ) {
        let reports = encoded.decode(source);
        self.merge_suspect_reports(reports.aged(transit), source);
    }

    /// Returns the estimated time of a message from this router to its hub or back.
    pub(crate) const fn sync_transit(&self) -> MilliDuration {
        MilliDuration::from_millis(self.sync_round_trip.as_millis() / 2)
    }

    /// Encodes what the other routers need to know, for a message that is on its way for a time.
    pub(crate) fn encode_suspect_reports(
        &self,
        transit: MilliDuration,
        now: MilliTime,
    ) -> EncodedReports {
        EncodedReports::encode(&self.quarantine.reports(now).aged(transit))
    }
}

/// Reads the blocked suspects once at the start, and keeps them in the store while this router reads
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
                Err(error) => tracing::warn!(event = "blocked_suspects_not_stored", %error),
            }
        }
        let read_at = state.borrow().clock.now();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let state = state.borrow();
            let now = state.clock.now();
            let blocked = state.quarantine.blocked_suspects(now);
            let has_unstored = blocked
                .iter()
                .any(|suspect| !is_stored(suspect, &stored, now));
            // Followers wait for the same time, and then check whether they became the reader.
            if now.since(read_at) >= LIST_INTERVAL || (has_unstored && is_reader) {
                break;
            }
        }
    }
}

/// Adopts the blocked suspects of the store, adds those that it lacks, removes those that are not
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
        let reports_of = |kind| {
            let of_kind = stored.iter().filter(|record| record.suspect.kind == kind);
            let reports = of_kind.map(|record| to_report(record, unix_ms));
            reports.collect()
        };
        let reports = SuspectReports {
            parts: reports_of(SuspectKind::PromptPart),
            requests: reports_of(SuspectKind::Request),
        };
        state.merge_suspect_reports(reports, "store");
        let now = state.clock.now();
        (now, state.quarantine.blocked_suspects(now))
    };
    let is_unstored = |blocked: &&BlockedSuspect| !is_stored(blocked, &stored, now);
    for blocked in blocked.iter().filter(is_unstored) {
        let record = to_record(blocked, unix_millis(), now);
        store.put_blocked_suspect(&record).await?;
        tracing::info!(
            event = "suspect_stored",
            kind = suspect_kind_name(blocked.suspect.kind),
            hash = format!("{:016x}", blocked.suspect.hash.0),
        );
    }
    for record in &stored {
        let is_record = |blocked: &BlockedSuspect| blocked.suspect == record.suspect;
        if !blocked.iter().any(is_record) {
            store.remove_blocked_suspect(record.suspect).await?;
        }
    }
    let unix_ms = unix_millis();
    Ok(blocked
        .iter()
        .map(|blocked| to_record(blocked, unix_ms, now))
        .collect())
}

fn to_record(blocked: &BlockedSuspect, unix_ms: u64, now: MilliTime) -> BlockedSuspectRecord {
    BlockedSuspectRecord {
        suspect: blocked.suspect,
        blocked_unix_ms: unix_ms,
        until_unix_ms: unix_ms + blocked.until.since(now).as_millis(),
    }
}

fn to_report(record: &BlockedSuspectRecord, unix_ms: u64) -> SuspectReport {
    let age_ms = unix_ms.saturating_sub(record.blocked_unix_ms);
    let remaining_ms = record.until_unix_ms.saturating_sub(unix_ms);
    SuspectReport {
        suspect: record.suspect.hash,
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
        record.suspect == blocked.suspect
            && record.until_unix_ms.abs_diff(until_unix_ms) <= MAX_END_DIFFERENCE_MS
    })
}
