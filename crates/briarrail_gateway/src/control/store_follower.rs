//! Follows the store while this router reads it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{ReadDuty, RemovalRule, ViewTime, retry_pause};
use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::SyncRouter;
use briarrail_platform::{StoreError, StoreErrorKind};

use super::control_state::ControlState;
use crate::traffic::StopPhase;
use crate::{ConfigRead, ReadAge, RouterRow, SiteStore, TargetEvent, WatchStep};

/// Longest wait of a watch: a watch that went silent is noticed well within the time in which
/// changes must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// Time between two looks at whether a failed call is due again; the duty may change meanwhile.
const PAUSE_STEP: Duration = Duration::from_millis(100);
/// Pause after changes of targets, so that those of a moment are read together; a small part of
/// the time in which they must be in force.
const CHANGES_PAUSE: Duration = Duration::from_millis(60);
/// Time from the start after which a router that is not listed yet takes itself for alone.
const LISTING_LIMIT: MilliDuration = MilliDuration::from_millis(1_000);
/// Pause between two looks for this router's own entry in the list; lists may be old.
const LISTING_PAUSE: Duration = Duration::from_millis(300);
/// Age of this router's entry from which a list without it is no longer older than the entry.
const LIST_AGE: MilliDuration = MilliDuration::from_millis(10_000);
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
/// once. Each reads once, at little cost, to be ready soon, and leaves the rest to the one that it
/// follows, which it knows once it is listed itself.
fn reads_store(state: &SharedControl, has_read: bool) -> bool {
    let state = state.borrow();
    let now = state.clock.now();
    let no_view = || now.since(state.hub_waited_at.unwrap_or_default());
    let is_old = state.view_age(now).unwrap_or_else(no_view) > FOLLOWED_LIMIT;
    if has_read && !knows_others(&state) {
        return false;
    }
    !has_read || is_old || read_duty(&state, now) == ReadDuty::Reader
}

/// Returns whether the other routers are known, or this one takes itself for alone.
fn knows_others(state: &ControlState) -> bool {
    let uptime = state.clock.now().since(MilliTime::default());
    state.are_routers_listed || uptime > LISTING_LIMIT
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
        let age = first_read_age(has_read);
        has_read = true;
        let asked_at = asked_at(&state, age);
        let outcome = match revision {
            None => store.read_config(age).await.map(|listing| ConfigStep {
                reads: listing.read.into_iter().collect(),
                next: (age == ReadAge::Current).then_some(listing.revision),
                seen_at: Some(asked_at),
            }),
            Some(known) => {
                let watched = store.watch_config(known, WATCH_WAIT).await;
                let now = state.borrow().clock.now();
                watched.map(|step| watched_config(step, now))
            }
        };
        health.record(&state, &outcome);
        match outcome {
            Ok(step) => {
                revision = step.next;
                take_config_step(&mut state.borrow_mut(), step);
                if revision.is_none() {
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

/// Returns how old a read may be: the first one of all routers costs the store little.
const fn first_read_age(has_read: bool) -> ReadAge {
    if has_read {
        ReadAge::Current
    } else {
        ReadAge::Seconds
    }
}

/// Returns the time at which the store had what a read of that age brings.
fn asked_at(state: &SharedControl, age: ReadAge) -> MilliTime {
    match age {
        ReadAge::Current => state.borrow().clock.now(),
        ReadAge::Seconds => MilliTime::default(),
    }
}

/// What one call told of the configuration.
struct ConfigStep {
    reads: Vec<ConfigRead>,
    /// Revision to watch from; none when it has to be listed again.
    next: Option<u64>,
    /// When the store had this; none when the call told nothing.
    seen_at: Option<MilliTime>,
}

fn watched_config(step: WatchStep<ConfigRead>, now: MilliTime) -> ConfigStep {
    match step {
        WatchStep::Changes { changes, revision } => ConfigStep {
            reads: changes,
            next: Some(revision),
            seen_at: Some(now),
        },
        WatchStep::HistoryGone => ConfigStep {
            reads: Vec::new(),
            next: None,
            seen_at: None,
        },
    }
}

fn take_config_step(state: &mut ControlState, step: ConfigStep) {
    for read in step.reads {
        state.adopt_config(read, "store");
    }
    if let Some(at) = step.seen_at {
        state.note_config_seen(at);
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
        let age = first_read_age(has_read);
        has_read = true;
        let outcome = match revision {
            None => list_targets(&state, &store, age).await,
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

async fn list_targets<S>(
    state: &SharedControl,
    store: &S,
    age: ReadAge,
) -> Result<Option<u64>, StoreError>
where
    S: SiteStore,
{
    let asked_at = asked_at(state, age);
    let listing = store.list_targets(age).await?;
    let mut state = state.borrow_mut();
    for name in &listing.unreadable {
        tracing::warn!(event = "target_unreadable", target_id = name);
    }
    let now = state.clock.now();
    note_return(&mut state, now);
    let changes = state
        .roster
        .replace(listing.rows, RemovalRule::AfterGrace(now));
    let seen = match age {
        ReadAge::Current => ViewTime {
            earliest: asked_at,
            latest: now,
        },
        // Older than any other that this router will see.
        ReadAge::Seconds => ViewTime::exact(asked_at),
    };
    state.view_order.note_own_read(seen, !changes.is_empty());
    state.apply_roster(changes, "store");
    state.has_targets = true;
    Ok((age == ReadAge::Current).then_some(listing.revision))
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
    let WatchStep::Changes { changes, revision } = step else {
        tracing::info!(event = "watch_history_gone", call = "targets");
        return Ok(None);
    };
    if take_target_events(&mut state.borrow_mut(), changes) {
        tokio::time::sleep(CHANGES_PAUSE).await;
    }
    Ok(Some(revision))
}

/// Takes changes that the store told, and returns whether the roster changed.
fn take_target_events(state: &mut ControlState, changes: Vec<TargetEvent>) -> bool {
    let now = state.clock.now();
    note_return(state, now);
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
    let is_changed = !roster_changes.is_empty();
    let seen = ViewTime::exact(now);
    state.view_order.note_own_read(seen, is_changed);
    state.apply_roster(roster_changes, "store");
    is_changed
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
    let mut entered_at = None;
    let own = own_row(&state.borrow().own);
    loop {
        if state.borrow().shared.stop_phase() != StopPhase::Serving {
            return;
        }
        if !state.borrow().are_routers_listed || reads_store(&state, true) {
            let outcome = store.list_routers().await;
            health.record(&state, &outcome);
            if let Ok(rows) = outcome {
                let now = state.borrow().clock.now();
                if rows.contains(&own) {
                    state.borrow_mut().are_routers_listed = true;
                    entered_at = entered_at.or(Some(now));
                } else {
                    // Another router may have removed it, if the list is newer than the entry.
                    entered_at = entered_at.filter(|at| now.since(*at) < LIST_AGE);
                }
                take_routers(&state, &store, rows).await;
            }
        }
        if entered_at.is_none() {
            let outcome = store.put_router(&own).await;
            health.record(&state, &outcome);
            let now = state.borrow().clock.now();
            entered_at = outcome.is_ok().then_some(now);
        }
        if health.failures > 0 {
            health.pause(&state).await;
        } else if knows_others(&state.borrow()) {
            tokio::time::sleep(ROUTERS_PAUSE).await;
        } else {
            tokio::time::sleep(LISTING_PAUSE).await;
        }
    }
}

fn own_row(own: &SyncRouter) -> RouterRow {
    RouterRow {
        name: own.name.clone(),
        address: own.address,
        data_centre: own.data_centre.clone(),
        capacity: own.capacity,
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
