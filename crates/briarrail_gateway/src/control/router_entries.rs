//! The routers' entries in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::SyncRouter;
use tokio::net::TcpStream;

use super::SharedControl;
use super::control_state::ControlState;
use super::store_health::{StoreHealth, read_facts};
use crate::traffic::StopPhase;
use crate::{RouterRecord, SiteStore};

/// Pause between two looks for this router's own entry in the list; lists may be old.
const LISTING_PAUSE: Duration = Duration::from_millis(300);
/// Age of this router's entry from which a list without it is no longer older than the entry.
const LIST_AGE: MilliDuration = MilliDuration::from_millis(10_000);
/// Pause between two lists of the routers.
const ROUTERS_PAUSE: Duration = Duration::from_secs(2);
/// Silence after which a router is asked whether it lives: far longer than a restart.
const ENTRY_LIMIT: MilliDuration = MilliDuration::from_millis(30_000);
/// Longest time to connect to such a router; many round trips within a site.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

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
        let facts = read_facts(&state.borrow(), true);
        if !facts.is_listed || facts.read_reason().is_some() {
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
        if health.is_failing() {
            health.pause(&state).await;
        } else if read_facts(&state.borrow(), true).is_membership_known() {
            tokio::time::sleep(ROUTERS_PAUSE).await;
        } else {
            tokio::time::sleep(LISTING_PAUSE).await;
        }
    }
}

fn own_row(own: &SyncRouter) -> RouterRecord {
    RouterRecord {
        name: own.name.clone(),
        address: own.address,
        data_centre: own.data_centre.clone(),
        capacity: own.capacity,
    }
}

/// Takes the listed routers, and removes entries of those that are silent for long and gone.
async fn take_routers<S>(state: &SharedControl, store: &S, rows: Vec<RouterRecord>)
where
    S: SiteStore,
{
    let silent = take_rows(&mut state.borrow_mut(), rows);
    for router in silent {
        // Routers that follow another one are silent towards this one, and live.
        if answers(router.address).await {
            let mut state = state.borrow_mut();
            let now = state.clock.now();
            state.note_answer(&router.name, now);
            continue;
        }
        let name = router.name;
        match store.remove_router(&name).await {
            Ok(()) => tracing::info!(event = "router_entry_removed", router = %name),
            Err(error) => tracing::warn!(event = "router_entry_kept", router = %name, %error),
        }
        state.borrow_mut().peers.remove(&name);
    }
}

/// Takes the listed routers, and returns those that were heard of once, but not for long.
fn take_rows(state: &mut ControlState, rows: Vec<RouterRecord>) -> Vec<SyncRouter> {
    let listed: BTreeSet<HostName> = rows.iter().map(|row| row.name.clone()).collect();
    let now = state.clock.now();
    for row in rows {
        state.note_router(SyncRouter {
            name: row.name,
            address: row.address,
            data_centre: row.data_centre,
            capacity: row.capacity,
        });
    }
    let is_silent = |at: MilliTime| now.since(at) >= ENTRY_LIMIT;
    state.peers.retain(|name, peer| {
        let is_heard = peer.heard_at.is_some_and(|at| !is_silent(at));
        is_heard || listed.contains(name)
    });
    let peers = state.peers.values();
    let silent = peers.filter(|peer| peer.heard_at.is_some_and(is_silent));
    silent.map(|peer| peer.router.clone()).collect()
}

/// Returns whether a router takes connections of other routers.
async fn answers(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    matches!(
        tokio::time::timeout(PROBE_LIMIT, connecting).await,
        Ok(Ok(_))
    )
}
