//! The prefix cache, with limited memory.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::engine::{CacheEvent, CacheEventKind, CacheEventPage};

/// Events kept for readers.
const EVENT_LIMIT: usize = 10_000;

/// Prefixes by key; the least recently used ones are evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    prefixes: HashMap<String, CachedPrefix>,
    next_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

#[derive(Debug)]
struct CachedPrefix {
    tokens: u64,
    last_use: u64,
}

impl PrefixCache {
    /// Makes a cache that holds so many tokens.
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many tokens of a prompt are cached.
    pub(crate) fn look_up(&mut self, key: &str, prompt_tokens: u64) -> u64 {
        self.clock += 1;
        let Some(prefix) = self.prefixes.get_mut(key) else {
            return 0;
        };
        prefix.last_use = self.clock;
        prefix.tokens.min(prompt_tokens)
    }

    /// Stores a prefix, and evicts others until it fits.
    pub(crate) fn store(&mut self, key: &str, tokens: u64, now: Instant) {
        self.clock += 1;
        let tokens = tokens.min(self.capacity);
        let prefix = CachedPrefix {
            tokens,
            last_use: self.clock,
        };
        let old = self.prefixes.insert(key.to_owned(), prefix);
        self.used += tokens;
        self.used -= old.map_or(0, |old| old.tokens);
        self.publish(CacheEventKind::Stored, key, tokens, now);
        while self.used > self.capacity {
            self.evict_oldest(now);
        }
    }

    /// Returns the events after a number that are at least `lag` old, with some left out.
    pub(crate) fn page(
        &self,
        after: u64,
        lag: Duration,
        gap_every: u64,
        now: Instant,
    ) -> CacheEventPage {
        let shown = self.events.iter().filter(|(at, _)| *at + lag <= now);
        let events = shown.map(|(_, event)| event.clone());
        let is_lost =
            |event: &CacheEvent| gap_every > 0 && event.sequence.is_multiple_of(gap_every);
        let events = events.filter(|event| event.sequence > after && !is_lost(event));
        CacheEventPage {
            events: events.collect(),
        }
    }

    fn evict_oldest(&mut self, now: Instant) {
        let oldest = self
            .prefixes
            .iter()
            .min_by_key(|(_, prefix)| prefix.last_use);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return;
        };
        if let Some(prefix) = self.prefixes.remove(&key) {
            self.used -= prefix.tokens;
            self.publish(CacheEventKind::Evicted, &key, prefix.tokens, now);
        }
    }

    fn publish(&mut self, kind: CacheEventKind, key: &str, tokens: u64, now: Instant) {
        self.next_sequence += 1;
        let event = CacheEvent {
            sequence: self.next_sequence,
            kind,
            prefix: key.to_owned(),
            tokens,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
