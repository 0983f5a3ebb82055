//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;

use briarrail_dispatch::TargetKey;
use briarrail_model::{MilliDuration, MilliTime};

use crate::net::HttpConnection;

/// Idle timeout of a connection if the target does not announce one.
const DEFAULT_IDLE_TIMEOUT: MilliDuration = MilliDuration::from_millis(4_000);
/// Margin before the target's own idle timeout, so that no request is sent while the target closes
/// the connection.
const IDLE_TIMEOUT_MARGIN: MilliDuration = MilliDuration::from_millis(1_000);
/// Idle time after which a request that runs at most once opens a new connection: if the target
/// has closed the old one in the meantime, the outcome would be unknown.
const AT_MOST_ONCE_MAX_IDLE: MilliDuration = MilliDuration::from_millis(1_000);
/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 32;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: MilliTime,
    timeout: MilliDuration,
}

/// Idle connections by target, most recently used last.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    connections: HashMap<TargetKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection, if one is usable for the request.
    ///
    /// Connections to another address than the present one lead to an earlier process of the target, and
    /// are closed.
    pub(crate) fn take(
        &mut self,
        key: TargetKey,
        address: SocketAddr,
        at_most_once: bool,
        now: MilliTime,
    ) -> Option<HttpConnection> {
        let connections = self.connections.get_mut(&key)?;
        while let Some(idle) = connections.pop() {
            let age = now.since(idle.idle_since);
            let is_elsewhere = idle.connection.address() != address;
            if is_elsewhere || age >= idle.timeout || !idle.connection.is_idle() {
                continue;
            }
            if at_most_once && age >= AT_MOST_ONCE_MAX_IDLE {
                connections.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    ///
    /// `keep_alive` is the idle timeout that the target announced.
    pub(crate) fn put(
        &mut self,
        key: TargetKey,
        connection: HttpConnection,
        keep_alive: Option<MilliDuration>,
        now: MilliTime,
    ) {
        let timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |announced| {
            MilliDuration::from_millis(
                announced
                    .as_millis()
                    .saturating_sub(IDLE_TIMEOUT_MARGIN.as_millis()),
            )
        });
        let connections = self.connections.entry(key).or_default();
        connections.retain(|idle| now.since(idle.idle_since) < idle.timeout);
        if connections.len() < MAX_IDLE_PER_TARGET && timeout > MilliDuration::ZERO {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                timeout,
            });
        }
    }

    /// Closes the connection that is idle for longest, if there is one.
    pub(crate) fn close_oldest(&mut self) {
        let lists = self.connections.iter();
        let oldest = lists.filter_map(|(key, list)| Some((list.first()?.idle_since, *key)));
        if let Some((_, key)) = oldest.min_by_key(|(idle_since, _)| *idle_since)
            && let Some(list) = self.connections.get_mut(&key)
        {
            list.remove(0);
        }
    }

    /// Closes the idle connections to a target.
    pub(crate) fn remove_target(&mut self, key: TargetKey) {
        self.connections.remove(&key);
    }
}
