//! Prefix cache with a limited capacity.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::engine::{CacheEvent, CacheEventKind, CacheEventPage};

/// Maximum number of events that are kept for readers; older ones are dropped.
const MAX_KEPT_EVENTS: usize = 10_000;

/// LRU cache of prompt prefixes, with a capacity in tokens.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: u64,
    used_tokens: u64,
    use_counter: u64,
    prefixes: HashMap<String, CachedPrefix>,
    last_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

#[derive(Debug)]
struct CachedPrefix {
    tokens: u64,
    last_use: u64,
}

impl PrefixCache {
    /// Creates a cache with a capacity in tokens.
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of cached tokens of a prompt.
    pub(crate) fn look_up(&mut self, key: &str, prompt_tokens: u64) -> u64 {
        self.use_counter += 1;
        let Some(prefix) = self.prefixes.get_mut(key) else {
            return 0;
        };
        prefix.last_use = self.use_counter;
        prefix.tokens.min(prompt_tokens)
    }

    /// Stores a prefix, and evicts the least recently used ones until the cache fits its capacity.
    pub(crate) fn store(&mut self, key: &str, tokens: u64, now: Instant) {
        self.use_counter += 1;
        let tokens = tokens.min(self.capacity);
        let prefix = CachedPrefix {
            tokens,
            last_use: self.use_counter,
        };
        let old = self.prefixes.insert(key.to_owned(), prefix);
        self.used_tokens += tokens;
        self.used_tokens -= old.map_or(0, |old| old.tokens);
        self.record_event(CacheEventKind::Stored, key, tokens, now);
        while self.used_tokens > self.capacity {
            self.evict_least_recently_used(now);
        }
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    ///
    /// Each event whose sequence number is a multiple of `gap_every` is dropped, unless that is 0.
    pub(crate) fn events_after(
        &self,
        after: u64,
        lag: Duration,
        gap_every: u64,
        now: Instant,
    ) -> CacheEventPage {
        let visible = self.events.iter().filter(|(at, _)| *at + lag <= now);
        let events = visible.map(|(_, event)| event.clone());
        let is_dropped =
            |event: &CacheEvent| gap_every > 0 && event.sequence.is_multiple_of(gap_every);
        let events = events.filter(|event| event.sequence > after && !is_dropped(event));
        CacheEventPage {
            events: events.collect(),
        }
    }

    fn evict_least_recently_used(&mut self, now: Instant) {
        let least_recent = self
            .prefixes
            .iter()
            .min_by_key(|(_, prefix)| prefix.last_use);
        let Some(key) = least_recent.map(|(key, _)| key.clone()) else {
            return;
        };
        if let Some(prefix) = self.prefixes.remove(&key) {
            self.used_tokens -= prefix.tokens;
            self.record_event(CacheEventKind::Evicted, &key, prefix.tokens, now);
        }
    }

    fn record_event(&mut self, kind: CacheEventKind, key: &str, tokens: u64, now: Instant) {
        self.last_sequence += 1;
        let event = CacheEvent {
            sequence: self.last_sequence,
            kind,
            prefix: key.to_owned(),
            tokens,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
