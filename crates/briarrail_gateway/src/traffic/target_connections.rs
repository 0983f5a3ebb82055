//! Limit on the connections to targets.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::traffic_state::TrafficState;

/// Time for which a new connection waits until that of a closed caller has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Counts the connections to targets, so that they leave descriptors for the store and other
/// routers.
#[derive(Debug)]
pub(crate) struct TargetConnections {
    places: Rc<ConnectionPlaces>,
    limit: usize,
}

#[derive(Debug, Default)]
struct ConnectionPlaces {
    open: Cell<usize>,
    released: Notify,
}

/// The place of one connection, which is free again on drop.
#[derive(Debug)]
pub(crate) struct ConnectionSlot(Rc<ConnectionPlaces>);

impl TargetConnections {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            places: Rc::default(),
            limit,
        }
    }

    /// Takes a place, or returns `None` if none is free.
    fn try_reserve(&self) -> Option<ConnectionSlot> {
        let open = self.places.open.get();
        if open >= self.limit {
            return None;
        }
        self.places.open.set(open + 1);
        Some(ConnectionSlot(Rc::clone(&self.places)))
    }
}

/// Takes a place for a new connection to a target, or returns `None` if all are in use.
///
/// For want of places, the oldest idle connection is closed, or else the caller that takes its
/// answer most slowly.
pub(super) async fn reserve_connection<D>(state: &TrafficState<D>) -> Option<ConnectionSlot> {
    let connections = &state.target_connections;
    if let Some(slot) = connections.try_reserve() {
        return Some(slot);
    }
    state.idle_connections.borrow_mut().close_oldest();
    if let Some(slot) = connections.try_reserve() {
        return Some(slot);
    }
    if !state.memory.close_slow_relay() {
        return None;
    }
    let released = async {
        loop {
            if let Some(slot) = connections.try_reserve() {
                return slot;
            }
            connections.places.released.notified().await;
        }
    };
    tokio::time::timeout(RELEASE_TIMEOUT, released).await.ok()
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.released.notify_one();
    }
}
