//! Keeps the releases at which streams under way can have begun in the store, so that they outlast
//! the processes.

use std::collections::BTreeSet;
use std::time::Duration;

use briarrail_dispatch::{ReleaseEntry, ReleaseKey, ReleaseLedger, ServiceRelease, TargetRecord};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::control_state::ControlState;
use crate::{ReadConsistency, SiteStore};

/// Name of the calls in logs and metrics.
const CALL: &str = "releases";
/// Interval at which the entries are compared with the targets in use.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a router that starts checks whether it can read the entries; its targets wait for
/// them.
const STARTUP_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the router that maintains the entries reads them again, in case another one
/// changed them.
const LIST_INTERVAL: MilliDuration = MilliDuration::from_secs(15);
/// Time for which the use of the first target of a release waits for its entry; small beside the
/// time in which changes of targets must take effect.
const MAX_ENTRY_WAIT: Duration = Duration::from_millis(500);

impl ControlState {
    /// Returns whether this router adds and removes the entries for all routers.
    fn maintains_releases(&self) -> bool {
        self.is_listed && self.followed.is_none()
    }

    /// Returns the releases whose streams other routers are told of, because several serve.
    pub(crate) fn ambiguous_releases(&self) -> BTreeSet<ReleaseKey> {
        let in_use = self.releases_in_use();
        match &self.releases {
            Some(ledger) => ledger.ambiguous(&in_use),
            None => in_use.iter().map(ServiceRelease::key).collect(),
        }
    }

    /// Returns the releases of the targets that this router knows.
    pub(crate) fn releases_in_use(&self) -> BTreeSet<ServiceRelease> {
        let records = self.roster.records();
        let names: BTreeSet<(&str, &str)> = records
            .map(|record| (record.service.as_str(), record.version.as_str()))
            .collect();
        let releases = names.into_iter().map(|(service, version)| ServiceRelease {
            service: service.to_owned(),
            version: version.to_owned(),
        });
        releases.collect()
    }
}

/// Adds the entries of releases that are new, before their targets are used.
///
/// The list of targets is not held back for longer if the store doesn't take an entry; whether the
/// targets are used is up to the [`ReleaseGate`](briarrail_dispatch::ReleaseGate).
pub(crate) async fn list_new_releases<'r, S, R>(state: &SharedControlState, store: &S, records: R)
where
    S: SiteStore,
    R: Iterator<Item = &'r TargetRecord>,
{
    let unlisted = {
        let state = state.borrow();
        let ledger = state.releases.as_ref();
        let Some(ledger) = ledger.filter(|_| state.maintains_releases()) else {
            return;
        };
        ledger.unlisted(records.map(ServiceRelease::from))
    };
    for release in unlisted {
        let adding = add_entry(state, store, release.clone());
        match tokio::time::timeout(MAX_ENTRY_WAIT, adding).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log_missing_entry(&release, &error),
            Err(elapsed) => log_missing_entry(&release, &elapsed),
        }
    }
}

fn log_missing_entry<E>(release: &ServiceRelease, error: &E)
where
    E: std::fmt::Display,
{
    tracing::warn!(
        event = "release_without_entry",
        service = release.service,
        version = release.version,
        %error,
    );
}

/// The last successful read of the entries.
struct EntryRead {
    at: MilliTime,
    /// Epoch of the store.
    epoch: u64,
    /// Whether this router maintained the entries then; what it has followed since as another one's
    /// follower may not be in the store.
    is_maintainer: bool,
}

/// Keeps the entries equal to the releases in use while this router reads the store for the others.
///
/// The others read the entries when they start, and then follow them by the targets.
pub(crate) async fn maintain_releases<S>(state: SharedControlState, store: S)
where
    S: SiteStore,
{
    let mut last_read: Option<EntryRead> = None;
    loop {
        let interval = if last_read.is_some() {
            CHECK_INTERVAL
        } else {
            STARTUP_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let (now, epoch, is_maintainer, has_targets) = {
            let state = state.borrow();
            let is_maintainer = state.maintains_releases();
            let now = state.clock.now();
            (
                now,
                state.store_epoch(),
                is_maintainer,
                state.has_target_list,
            )
        };
        if !has_targets {
            continue;
        }
        let is_current = last_read.as_ref().is_some_and(|read| {
            let is_recent = now.since(read.at) < LIST_INTERVAL && read.epoch == epoch;
            !is_maintainer || (read.is_maintainer && is_recent)
        });
        if !is_current {
            // The others need no current list: the maintainer adds what it lacks to the store, and their
            // own targets show what serves.
            let consistency = if is_maintainer {
                ReadConsistency::Current
            } else {
                ReadConsistency::AllowStale
            };
            match read_entries(&state, &store, consistency).await {
                Ok(()) => {
                    last_read = Some(EntryRead {
                        at: now,
                        epoch,
                        is_maintainer,
                    });
                }
                Err(error) => {
                    tracing::warn!(event = "releases_not_read", %error);
                    tokio::time::sleep(CHECK_INTERVAL).await;
                    continue;
                }
            }
        }
        if !is_maintainer {
            observe_releases(&mut state.borrow_mut());
        } else if let Err(error) = update_entries(&state, &store).await {
            tracing::warn!(event = "releases_not_stored", %error);
        }
    }
}

async fn read_entries<S>(
    state: &SharedControlState,
    store: &S,
    consistency: ReadConsistency,
) -> Result<(), StoreError>
where
    S: SiteStore,
{
    let outcome = store.list_releases(consistency).await;
    count_call(state, &outcome);
    let entries = outcome?;
    let mut state = state.borrow_mut();
    let ledger = state.releases.get_or_insert_with(ReleaseLedger::default);
    ledger.replace_listed(entries.iter().cloned());
    state.admit_unguarded(&entries);
    Ok(())
}

/// Adds the entries of the releases in use, and removes those of which no stream is under way.
async fn update_entries<S>(state: &SharedControlState, store: &S) -> Result<(), StoreError>
where
    S: SiteStore,
{
    let (unlisted, expired, sole) = {
        let mut state = state.borrow_mut();
        let now = state.clock.now();
        let in_use = state.releases_in_use();
        let Some(ledger) = state.releases.as_mut() else {
            return Ok(());
        };
        let unlisted = ledger.unlisted(in_use.iter().cloned());
        (
            unlisted,
            ledger.expired(&in_use, now),
            ledger.sole_guarded(),
        )
    };
    for release in sole {
        let outcome = store.open_release(&release).await;
        count_call(state, &outcome);
        outcome?;
        log_change("release_entry_opened", &release);
        record_listed(state, release, false);
    }
    for release in unlisted {
        add_entry(state, store, release).await?;
    }
    for release in expired {
        let outcome = store.remove_release(&release).await;
        count_call(state, &outcome);
        outcome?;
        log_change("release_entry_removed", &release);
        if let Some(ledger) = state.borrow_mut().releases.as_mut() {
            ledger.record_removed(&release);
        }
    }
    Ok(())
}

/// Follows the entries by the targets, as the router that maintains them does.
fn observe_releases(state: &mut ControlState) {
    let now = state.clock.now();
    let in_use = state.releases_in_use();
    let Some(ledger) = state.releases.as_mut() else {
        return;
    };
    for release in ledger.unlisted(in_use.iter().cloned()) {
        ledger.record_listed(ReleaseEntry {
            release,
            is_guarded: true,
        });
    }
    for release in ledger.expired(&in_use, now) {
        ledger.record_removed(&release);
    }
}

async fn add_entry<S>(
    state: &SharedControlState,
    store: &S,
    release: ServiceRelease,
) -> Result<(), StoreError>
where
    S: SiteStore,
{
    let entry = {
        let mut state = state.borrow_mut();
        let ledger = state.releases.get_or_insert_with(ReleaseLedger::default);
        ledger.new_entry(release.clone())
    };
    let outcome = store.add_release(&entry).await;
    count_call(state, &outcome);
    outcome?;
    log_change("release_entry_added", &release);
    record_listed(state, release, entry.is_guarded);
    Ok(())
}

fn record_listed(state: &SharedControlState, release: ServiceRelease, is_guarded: bool) {
    if let Some(ledger) = state.borrow_mut().releases.as_mut() {
        ledger.record_listed(ReleaseEntry {
            release,
            is_guarded,
        });
    }
}

pub(crate) fn count_call<T>(state: &SharedControlState, outcome: &Result<T, StoreError>) {
    let label = outcome.as_ref().map_or("failed", |_| "good");
    state.borrow().metrics.count_store_call(CALL, label);
}

fn log_change(event: &'static str, release: &ServiceRelease) {
    tracing::info!(
        event,
        service = release.service,
        version = release.version,
        release = format!("{:016x}", release.key().0.0),
    );
}
