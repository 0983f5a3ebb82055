//! Follows the store while this router reads it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{ReadDuty, RemovalRule, retry_pause};
use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::SyncRouter;
use briarrail_platform::{StoreError, StoreErrorKind};

use super::control_state::ControlState;
use crate::traffic::StopPhase;
use crate::{ConfigRead, RouterRow, SiteStore, TargetEvent, WatchStep};

/// Longest wait of a watch: a watch that went silent is noticed well within the time in which
/// changes must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// Time between two looks at whether a failed call is due again; the duty may change meanwhile.
const PAUSE_STEP: Duration = Duration::from_millis(100);
/// Pause while another router reads the store, or once it has dropped the history to go on from.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two lists of the routers.
const ROUTERS_PAUSE: Duration = Duration::from_secs(2);
/// Silence after which a router's entry is removed: far longer than a restart.
const ENTRY_LIMIT: MilliDuration = MilliDuration::from_millis(30_000);

/// Age of a followed view from which a router reads the store itself: by then the followed router
/// has tried several others.
const FOLLOWED_LIMIT: MilliDuration = MilliDuration::from_millis(3_000);

/// Name of the reads of targets in logs and metrics.
const TARGET_READS: &str = "targets";

type SharedControl = Rc<RefCell<ControlState>>;

/// Returns whether this router reads the store now: it follows no other router, another one asked
/// for its view, or what it follows is old for long.
///
/// Load pattern: all routers start at once, before there is a configuration, or lose the store at
/// once. Each reads once to be ready soon, and leaves the waiting to the one that it follows.
fn reads_store(state: &SharedControl, has_read: bool) -> bool {
    let state = state.borrow();
    let now = state.clock.now();
    let no_view = || now.since(state.hub_waited_at.unwrap_or_default());
    let is_old = state.view_age(now).unwrap_or_else(no_view) > FOLLOWED_LIMIT;
    !has_read || is_old || read_duty(&state, now) == ReadDuty::Reader
}

fn read_duty(state: &ControlState, now: MilliTime) -> ReadDuty {
    if state.is_view_wanted(now) || state.choose_hub(now).is_none() {
        ReadDuty::Reader
    } else {
        ReadDuty::Probe
    }
}

/// Tells dependency changes once, and counts every call.
struct StoreHealth {
    call: &'static str,
    /// Failures in a row.
    failures: u32,
}

impl StoreHealth {
    const fn new(call: &'static str) -> Self {
        Self { call, failures: 0 }
    }

    /// Waits after a failure, until it is time to ask again by the duty that the router then has.
    async fn pause(&self, state: &SharedControl) {
        let failed_at = state.borrow().clock.now();
        loop {
            tokio::time::sleep(PAUSE_STEP).await;
            let state = state.borrow();
            let now = state.clock.now();
            let duty = read_duty(&state, now);
            let pause = retry_pause(duty, self.failures, state.peers.len() + 1);
            if now.since(failed_at) >= pause {
                return;
            }
        }
    }

    fn record<T>(&mut self, state: &SharedControl, outcome: &Result<T, StoreError>) {
        let text = outcome.as_ref().map_or("failed", |_| "good");
        state.borrow().metrics.count_store_call(self.call, text);
        match outcome {
            Ok(_) if self.failures > 0 => {
                tracing::info!(event = "store_regained", call = self.call);
            }
            Err(error) if self.failures == 0 => {
                tracing::warn!(event = "store_lost", call = self.call, %error);
            }
            Ok(_) | Err(_) => {}
        }
        self.failures = if outcome.is_ok() {
            0
        } else {
            self.failures + 1
        };
        let mut state = state.borrow_mut();
        if outcome.is_err() {
            state.failing_reads.insert(self.call);
        } else {
            state.failing_reads.remove(self.call);
        }
    }
}

/// Follows the configuration, for ever.
pub(crate) async fn follow_config<S>(state: SharedControl, store: S)
where
    S: SiteStore,
{
    let mut health = StoreHealth::new("config");
    let mut revision = None;
    let mut has_read = false;
    loop {
        if !reads_store(&state, has_read) {
            revision = None;
            tokio::time::sleep(FOLLOWER_PAUSE).await;
            continue;
        }
        has_read = true;
        let asked_at = state.borrow().clock.now();
        let outcome = match revision {
            None => store.read_config().await.map(|listing| {
                let reads = listing.read.into_iter().collect();
                (reads, Some(listing.revision))
            }),
            Some(known) => {
                let watched = store.watch_config(known, WATCH_WAIT).await;
                watched.map(|step| match step {
                    WatchStep::Changes { changes, revision } => (changes, Some(revision)),
                    WatchStep::HistoryGone => (Vec::new(), None),
                })
            }
        };
        health.record(&state, &outcome);
        match outcome {
            Ok((reads, next)) => {
                take_configs(&state, reads, revision, next, asked_at);
                revision = next;
                if next.is_none() {
                    tokio::time::sleep(FOLLOWER_PAUSE).await;
                }
            }
            Err(error) => {
                if error.kind == StoreErrorKind::Invalid {
                    revision = None;
                }
                health.pause(&state).await;
            }
        }
    }
}

fn take_configs(
    state: &SharedControl,
    reads: Vec<ConfigRead>,
    revision: Option<u64>,
    next: Option<u64>,
    asked_at: MilliTime,
) {
    let mut state = state.borrow_mut();
    for read in reads {
        state.adopt_config(read, "store");
    }
    if next.is_some() {
        // A watch was current when it ended, a read only when it was asked.
        let seen = revision.map_or(asked_at, |_| state.clock.now());
        state.note_config_seen(seen);
    }
}

/// Follows the targets, for ever.
pub(crate) async fn follow_targets<S>(state: SharedControl, store: S)
where
    S: SiteStore,
{
    let mut health = StoreHealth::new(TARGET_READS);
    let mut revision = None;
    let mut has_read = false;
    loop {
        if !reads_store(&state, has_read) {
            revision = None;
            tokio::time::sleep(FOLLOWER_PAUSE).await;
            continue;
        }
        has_read = true;
        let outcome = match revision {
            None => list_targets(&state, &store).await,
            Some(known) => watch_targets(&state, &store, known).await,
        };
        health.record(&state, &outcome);
        match outcome {
            Ok(next) => {
                revision = next;
                if next.is_none() {
                    tokio::time::sleep(FOLLOWER_PAUSE).await;
                }
            }
            Err(_) => {
                {
                    let mut state = state.borrow_mut();
                    let now = state.clock.now();
                    let age = state.view_age(now);
                    state.roster.note_failed_read(now, age);
                }
                health.pause(&state).await;
            }
        }
    }
}

async fn list_targets<S>(state: &SharedControl, store: &S) -> Result<Option<u64>, StoreError>
where
    S: SiteStore,
{
    let asked_at = state.borrow().clock.now();
    let listing = store.list_targets().await?;
    let mut state = state.borrow_mut();
    for name in &listing.unreadable {
        tracing::warn!(event = "target_unreadable", target_id = name);
    }
    let now = state.clock.now();
    note_return(&mut state, now);
    let changes = state
        .roster
        .replace(listing.rows, RemovalRule::AfterGrace(now));
    state
        .view_order
        .note_own_read(asked_at, !changes.is_empty());
    state.apply_roster(changes, "store");
    state.has_targets = true;
    Ok(Some(listing.revision))
}

async fn watch_targets<S>(
    state: &SharedControl,
    store: &S,
    revision: u64,
) -> Result<Option<u64>, StoreError>
where
    S: SiteStore,
{
    let step = store.watch_targets(revision, WATCH_WAIT).await?;
    let mut state = state.borrow_mut();
    let now = state.clock.now();
    note_return(&mut state, now);
    let WatchStep::Changes { changes, revision } = step else {
        tracing::info!(event = "watch_history_gone", call = "targets");
        return Ok(None);
    };
    let mut roster_changes = Vec::new();
    for change in changes {
        match change {
            TargetEvent::Put(row) => roster_changes.extend(state.roster.put(row)),
            TargetEvent::Removed(id) => {
                let rule = RemovalRule::AfterGrace(now);
                roster_changes.extend(state.roster.remove(&id, rule));
            }
        }
    }
    state
        .view_order
        .note_own_read(now, !roster_changes.is_empty());
    state.apply_roster(roster_changes, "store");
    Ok(Some(revision))
}

/// Counts the time that lapsed entries have to come back from the store's return.
fn note_return(state: &mut ControlState, now: MilliTime) {
    if state.failing_reads.contains(TARGET_READS) {
        let age = state.view_age(now);
        state.roster.note_failed_read(now, age);
    }
}

/// Keeps this router's entry in the store and the list of the others, for ever.
pub(crate) async fn follow_routers<S>(state: SharedControl, store: S)
where
    S: SiteStore,
{
    let mut health = StoreHealth::new("routers");
    let mut is_entered = false;
    let mut is_listed = false;
    loop {
        if state.borrow().shared.stop_phase() != StopPhase::Serving {
            return;
        }
        if !is_entered {
            let row = {
                let own = &state.borrow().own;
                RouterRow {
                    name: own.name.clone(),
                    address: own.address,
                    data_centre: own.data_centre.clone(),
                    capacity: own.capacity,
                }
            };
            let outcome = store.put_router(&row).await;
            health.record(&state, &outcome);
            is_entered = outcome.is_ok();
        }
        if !is_listed || reads_store(&state, true) {
            let outcome = store.list_routers().await;
            health.record(&state, &outcome);
            if let Ok(rows) = outcome {
                is_listed = true;
                let own = state.borrow().own.name.clone();
                is_entered = rows.iter().any(|row| row.name == own) || !is_entered;
                take_routers(&state, &store, rows).await;
            }
        }
        if is_entered && is_listed {
            tokio::time::sleep(ROUTERS_PAUSE).await;
        } else {
            health.pause(&state).await;
        }
    }
}

/// Takes the listed routers, and removes entries of those that were silent for long.
async fn take_routers<S>(state: &SharedControl, store: &S, rows: Vec<RouterRow>)
where
    S: SiteStore,
{
    let listed: BTreeSet<HostName> = rows.iter().map(|row| row.name.clone()).collect();
    let gone: Vec<HostName> = {
        let mut state = state.borrow_mut();
        let now = state.clock.now();
        for row in rows {
            let router = SyncRouter {
                name: row.name,
                address: row.address,
                data_centre: row.data_centre,
                capacity: row.capacity,
            };
            state.note_router(router);
        }
        state.peers.retain(|name, peer| {
            let heard = peer.heard_at.is_some_and(|at| now.since(at) < ENTRY_LIMIT);
            heard || listed.contains(name)
        });
        let is_gone = |at: Option<_>| at.is_some_and(|at| now.since(at) >= ENTRY_LIMIT);
        let peers = state.peers.iter();
        let silent = peers.filter(|(_, peer)| is_gone(peer.heard_at));
        silent.map(|(name, _)| name.clone()).collect()
    };
    for name in gone {
        match store.remove_router(&name).await {
            Ok(()) => tracing::info!(event = "router_entry_removed", router = %name),
            Err(error) => tracing::warn!(event = "router_entry_kept", router = %name, %error),
        }
        state.borrow_mut().peers.remove(&name);
    }
}
