//! Maintains the routers' entries in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::SyncRouter;
use tokio::net::TcpStream;

use super::SharedControlState;
use super::control_state::{ControlState, PeerState};
use super::store_health::{StoreHealth, read_conditions};
use crate::traffic::StopPhase;
use crate::{RouterListing, RouterRecord, SiteStore};

/// Name of the calls in logs and metrics.
const CALL: &str = "routers";
/// Interval at which the router list is read until it contains this router's entry; the list may be
/// stale.
const REGISTRATION_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum age of a router list: if this router wrote its entry longer ago and the list lacks it,
/// the entry was removed.
const MAX_LIST_AGE: MilliDuration = MilliDuration::from_millis(10_000);
/// Interval at which the router list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time without contact after which a router is probed; much longer than a restart takes.
const MAX_CONTACT_AGE: MilliDuration = MilliDuration::from_millis(30_000);
/// Time after a restore of the store for which routers are kept although they are not listed; longer
/// than they take to write their entries again.
const RESTORE_GRACE: MilliDuration = MilliDuration::from_millis(6_000);
/// Timeout for connecting to a probed router; many round trips within a site.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known about this router's own entry.
#[derive(Debug, Default)]
struct OwnEntry {
    /// Time at which it was written or first listed; `None` if it has to be written.
    written_at: Option<MilliTime>,
    /// Epoch of the store in which it was written or last listed. A restore may have removed it.
    epoch: u64,
}

impl OwnEntry {
    /// Updates the entry from a listing that is of the current epoch.
    fn observe_listing(&mut self, is_listed: bool, epoch: u64, now: MilliTime) {
        if is_listed {
            self.written_at = self.written_at.or(Some(now));
            self.epoch = epoch;
            return;
        }
        // A stale list may lack an entry that was written in the same epoch. If the list is newer
        // than the entry, another router may have removed it.
        let is_current = self.epoch == epoch;
        let may_be_newer = |at: &MilliTime| is_current && now.since(*at) < MAX_LIST_AGE;
        self.written_at = self.written_at.filter(may_be_newer);
    }
}

/// Keeps this router registered and the list of the other routers current, until the router shuts
/// down.
pub(crate) async fn maintain_registration<S>(state: SharedControlState, store: S)
where
    S: SiteStore,
{
    let mut health = StoreHealth::new(CALL);
    let mut own_entry = OwnEntry::default();
    let local = local_record(&state.borrow().local);
    loop {
        if state.borrow().shared.stop_phase() != StopPhase::Serving {
            return;
        }
        let conditions = read_conditions(&state.borrow(), true);
        let may_be_lost = own_entry.epoch < state.borrow().store_epoch();
        if !conditions.is_listed || may_be_lost || conditions.read_reason().is_some() {
            let outcome = store.list_routers().await;
            health.record(&state, &outcome);
            if let Ok(listing) = outcome {
                apply_listing(&state, &store, listing, &local, &mut own_entry).await;
            }
        }
        if own_entry.written_at.is_none() {
            let outcome = store.put_router(&local).await;
            health.record(&state, &outcome);
            let state = state.borrow();
            own_entry.written_at = outcome.is_ok().then(|| state.clock.now());
            own_entry.epoch = state.store_epoch();
        }
        if health.is_failing() {
            health.wait_for_retry(&state).await;
        } else if read_conditions(&state.borrow(), true).is_membership_known() {
            tokio::time::sleep(LIST_INTERVAL).await;
        } else {
            tokio::time::sleep(REGISTRATION_POLL_INTERVAL).await;
        }
    }
}

/// Updates this router's entry and the other routers from a listing, unless it is from before a
/// restore.
async fn apply_listing<S>(
    state: &SharedControlState,
    store: &S,
    listing: RouterListing,
    local: &RouterRecord,
    own_entry: &mut OwnEntry,
) where
    S: SiteStore,
{
    {
        let mut state = state.borrow_mut();
        state.observe_store_revision(listing.revision, CALL);
        let epoch = state.store_epoch();
        if listing.revision.epoch < epoch {
            return;
        }
        let mut records = listing.records.iter();
        let has_own_name = records.any(|record| record.name == local.name);
        state.has_predecessor |= has_own_name && own_entry.written_at.is_none() && !state.is_listed;
        let is_listed = listing.records.contains(local);
        if is_listed {
            state.record_listed();
        }
        own_entry.observe_listing(is_listed, epoch, state.clock.now());
    }
    update_routers(state, store, listing.records).await;
}

fn local_record(local: &SyncRouter) -> RouterRecord {
    RouterRecord {
        name: local.name.clone(),
        address: local.address,
        data_centre: local.data_centre.clone(),
        capacity: local.capacity,
    }
}

/// Merges a router list, and removes the entries of routers that are unreachable after a long time
/// without contact.
async fn update_routers<S>(state: &SharedControlState, store: &S, records: Vec<RouterRecord>)
where
    S: SiteStore,
{
    let inactive = merge_records(&mut state.borrow_mut(), records);
    for router in inactive {
        // Live routers that follow another router do not contact this one.
        if is_reachable(router.address).await {
            let mut state = state.borrow_mut();
            let now = state.clock.now();
            state.record_contact(&router.name, now);
            continue;
        }
        let name = router.name;
        match store.remove_router(&name).await {
            Ok(()) => tracing::info!(event = "router_entry_removed", router = %name),
            Err(error) => tracing::warn!(event = "router_entry_kept", router = %name, %error),
        }
        let mut state = state.borrow_mut();
        let now = state.clock.now();
        state.retain_routers(|other, _| *other != name, now);
    }
}

/// Merges a router list, and returns the routers that were in contact once, but not recently.
fn merge_records(state: &mut ControlState, records: Vec<RouterRecord>) -> Vec<SyncRouter> {
    let listed: BTreeSet<HostName> = records.iter().map(|record| record.name.clone()).collect();
    let now = state.clock.now();
    for record in records {
        let router = SyncRouter {
            name: record.name,
            address: record.address,
            data_centre: record.data_centre,
            capacity: record.capacity,
        };
        state.upsert_router(router, now);
    }
    let is_inactive = |at: MilliTime| now.since(at) >= MAX_CONTACT_AGE;
    let is_recent = |at: MilliTime| now.since(at) < RESTORE_GRACE;
    let keeps_unlisted = state.restored_at.is_some_and(is_recent);
    let is_kept = |name: &HostName, peer: &PeerState| {
        let is_active = peer.last_contact_at.is_some_and(|at| !is_inactive(at));
        is_active || keeps_unlisted || listed.contains(name)
    };
    state.retain_routers(is_kept, now);
    let peers = state.peers.values();
    let inactive = peers.filter(|peer| peer.last_contact_at.is_some_and(is_inactive));
    inactive.map(|peer| peer.router.clone()).collect()
}

/// Returns whether a router accepts connections.
async fn is_reachable(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    matches!(
        tokio::time::timeout(PROBE_TIMEOUT, connecting).await,
        Ok(Ok(_))
    )
}
