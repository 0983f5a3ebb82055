//! Idle connections to targets.

use std::collections::HashMap;

use briarrail_dispatch::TargetKey;
use briarrail_model::{MilliDuration, MilliTime};

use crate::net::HttpLink;

/// Idle time after which a connection is not used again when the target tells no limit.
const DEFAULT_IDLE: MilliDuration = MilliDuration::from_millis(4_000);
/// Margin before the target's own limit, so that its close does not meet a request.
const IDLE_MARGIN: MilliDuration = MilliDuration::from_millis(1_000);
/// Idle time after which a request that runs at most once takes a new connection: a connection
/// that its target dropped meanwhile would leave the outcome unknown.
const AT_MOST_ONCE_IDLE: MilliDuration = MilliDuration::from_millis(1_000);
/// Idle connections that are kept to one target.
const KEPT_LINKS: usize = 32;

#[derive(Debug)]
struct IdleLink {
    link: HttpLink,
    since: MilliTime,
    limit: MilliDuration,
}

/// Idle connections by target, latest used last.
#[derive(Debug, Default)]
pub(crate) struct LinkPool {
    idle: HashMap<TargetKey, Vec<IdleLink>>,
}

impl LinkPool {
    /// Takes the connection that was used last, if one is fit for the request.
    pub(crate) fn take(
        &mut self,
        key: TargetKey,
        at_most_once: bool,
        now: MilliTime,
    ) -> Option<HttpLink> {
        let links = self.idle.get_mut(&key)?;
        while let Some(idle) = links.pop() {
            let age = now.since(idle.since);
            if age >= idle.limit || !idle.link.is_idle() {
                continue;
            }
            if at_most_once && age >= AT_MOST_ONCE_IDLE {
                links.push(idle);
                return None;
            }
            return Some(idle.link);
        }
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn put(
        &mut self,
        key: TargetKey,
        link: HttpLink,
        told_idle: Option<MilliDuration>,
        now: MilliTime,
    ) {
        let limit = told_idle.map_or(DEFAULT_IDLE, |told| {
            MilliDuration::from_millis(told.as_millis().saturating_sub(IDLE_MARGIN.as_millis()))
        });
        let links = self.idle.entry(key).or_default();
        links.retain(|idle| now.since(idle.since) < idle.limit);
        if links.len() < KEPT_LINKS && limit > MilliDuration::ZERO {
            links.push(IdleLink {
                link,
                since: now,
                limit,
            });
        }
    }

    /// Closes the idle connections to a target.
    pub(crate) fn forget(&mut self, key: TargetKey) {
        self.idle.remove(&key);
    }
}
