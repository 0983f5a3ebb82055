//! Model of an engine: slots, queues and a context cache.

use std::collections::{HashMap, VecDeque};

use briarrail_model::{LoadRecord, MilliTime};

const CACHE_HIT_PREFILL_MS: f64 = 200.0;
const CACHE_MISS_PREFILL_MS: f64 = 900.0;
/// Fraction of the prefill time on an idle engine; the rest grows with the load.
const IDLE_PREFILL_FRACTION: f64 = 0.5;

/// Cached context of a chat.
#[derive(Debug, Clone, Copy)]
struct CachedContext {
    turns: u32,
    last_access: u64,
}

/// One engine: running streams, a queue per priority and an LRU cache of contexts.
#[derive(Debug, Default)]
pub(crate) struct EngineModel {
    pub(crate) is_up: bool,
    /// Number of restarts.
    pub(crate) incarnation: u64,
    /// Time of the last start or stop; `None` if the engine has been up since the beginning.
    pub(crate) state_changed_at: Option<u64>,
    pub(crate) running: u32,
    /// Queued streams: interactive ones, then deferrable ones.
    pub(crate) waiting: [VecDeque<u32>; 2],
    /// Published load records, oldest first.
    pub(crate) published: VecDeque<LoadRecord>,
    cache: HashMap<u64, CachedContext>,
    /// Chat and access number of each access, oldest first.
    eviction_order: VecDeque<(u64, u64)>,
    cache_capacity: usize,
    access_count: u64,
}

impl EngineModel {
    pub(crate) fn new(cache_capacity: usize) -> Self {
        Self {
            is_up: true,
            cache_capacity,
            ..Self::default()
        }
    }

    /// Returns the number of running and waiting streams.
    pub(crate) fn load(&self) -> u32 {
        self.running + (self.waiting[0].len() + self.waiting[1].len()) as u32
    }

    /// Caches a chat's context after its next turn; returns the number of turns cached before.
    pub(crate) fn access_context(&mut self, chat: u64, turns: u32) -> Option<u32> {
        self.access_count += 1;
        let last_access = self.access_count;
        let context = CachedContext {
            turns: turns + 1,
            last_access,
        };
        let cached = self.cache.insert(chat, context);
        self.eviction_order.push_back((chat, last_access));
        while self.cache.len() > self.cache_capacity {
            self.evict_least_recent();
        }
        cached.map(|context| context.turns)
    }

    fn evict_least_recent(&mut self) {
        let Some((chat, last_access)) = self.eviction_order.pop_front() else {
            return;
        };
        if self
            .cache
            .get(&chat)
            .is_some_and(|context| context.last_access == last_access)
        {
            self.cache.remove(&chat);
        }
    }

    /// Returns the time from the assignment of a slot to the first token, in milliseconds.
    pub(crate) fn prefill_ms(&self, cache_hit: bool, slots: u32) -> f64 {
        let base = if cache_hit {
            CACHE_HIT_PREFILL_MS
        } else {
            CACHE_MISS_PREFILL_MS
        };
        base * (IDLE_PREFILL_FRACTION + f64::from(self.running) / f64::from(slots))
    }

    /// Stops the engine and drops its cache, streams and published records.
    pub(crate) fn stop(&mut self, now: u64) {
        self.is_up = false;
        self.state_changed_at = Some(now);
        self.running = 0;
        self.waiting = Default::default();
        self.cache.clear();
        self.eviction_order.clear();
        self.published.clear();
    }

    /// Starts the engine with a cold cache.
    pub(crate) fn start(&mut self, now: u64) {
        self.is_up = true;
        self.incarnation += 1;
        self.state_changed_at = Some(now);
    }

    /// Returns whether the engine has been up for at least `span_ms`.
    pub(crate) fn has_been_up_for(&self, now: u64, span_ms: u64) -> bool {
        self.is_up && self.state_changed_at.is_none_or(|at| now - at >= span_ms)
    }

    /// Returns the newest record that is at least `report_lag_ms` old.
    pub(crate) fn visible_record(&self, now: u64, report_lag_ms: u64) -> Option<LoadRecord> {
        let latest = MilliTime::from_millis(now.saturating_sub(report_lag_ms));
        let mut newest_first = self.published.iter().rev();
        newest_first
            .find(|record| record.version <= latest)
            .copied()
    }

    /// Drops records that are superseded by newer visible ones.
    pub(crate) fn prune_records(&mut self, now: u64, report_lag_ms: u64) {
        let latest = MilliTime::from_millis(now.saturating_sub(report_lag_ms + 2_000));
        while self.published.len() > 1 && self.published[1].version <= latest {
            self.published.pop_front();
        }
    }
}
