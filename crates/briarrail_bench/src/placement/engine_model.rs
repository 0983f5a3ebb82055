//! Engines as counters with a cache.

use std::collections::{HashMap, VecDeque};

use briarrail_model::{LoadRecord, MilliTime};

const HIT_PREFILL_MS: f64 = 200.0;
const MISS_PREFILL_MS: f64 = 900.0;
/// Part of the prefill time that an idle engine takes; the rest grows with its load.
const IDLE_PREFILL_PART: f64 = 0.5;

/// Context of a chat in an engine's cache.
#[derive(Debug, Clone, Copy)]
struct CachedContext {
    turns: u32,
    stamp: u64,
}

/// One engine: slots, a queue by priority, and a least-recently-used cache of contexts.
#[derive(Debug, Default)]
pub(crate) struct EngineModel {
    pub(crate) up: bool,
    /// Number of starts.
    pub(crate) incarnation: u64,
    /// Time of the last start or stop; long ago for those up from the beginning.
    pub(crate) changed_at: Option<u64>,
    pub(crate) running: u32,
    pub(crate) waiting: [VecDeque<u32>; 2],
    /// Records in the order of publishing.
    pub(crate) published: VecDeque<LoadRecord>,
    cache: HashMap<u64, CachedContext>,
    recency: VecDeque<(u64, u64)>,
    cache_limit: usize,
    clock: u64,
}

impl EngineModel {
    pub(crate) fn new(cache_limit: usize) -> Self {
        Self {
            up: true,
            cache_limit,
            ..Self::default()
        }
    }

    /// Returns the streams that run or wait.
    pub(crate) fn load(&self) -> u32 {
        self.running + (self.waiting[0].len() + self.waiting[1].len()) as u32
    }

    /// Returns the turns of a chat that the cache holds, and stores the context with one more.
    pub(crate) fn use_context(&mut self, chat: u64, turns: u32) -> Option<u32> {
        self.clock += 1;
        let stamp = self.clock;
        let context = CachedContext {
            turns: turns + 1,
            stamp,
        };
        let held = self.cache.insert(chat, context);
        self.recency.push_back((chat, stamp));
        while self.cache.len() > self.cache_limit {
            self.evict_oldest();
        }
        held.map(|context| context.turns)
    }

    fn evict_oldest(&mut self) {
        let Some((chat, stamp)) = self.recency.pop_front() else {
            return;
        };
        if self
            .cache
            .get(&chat)
            .is_some_and(|context| context.stamp == stamp)
        {
            self.cache.remove(&chat);
        }
    }

    /// Returns the time to the first token once a slot is free, in milliseconds.
    pub(crate) fn prefill_ms(&self, hit: bool, slots: u32) -> f64 {
        let base = if hit { HIT_PREFILL_MS } else { MISS_PREFILL_MS };
        base * (IDLE_PREFILL_PART + f64::from(self.running) / f64::from(slots))
    }

    /// Stops the engine; its cache and its streams are lost.
    pub(crate) fn stop(&mut self, now: u64) {
        self.up = false;
        self.changed_at = Some(now);
        self.running = 0;
        self.waiting = Default::default();
        self.cache.clear();
        self.recency.clear();
        self.published.clear();
    }

    /// Starts the engine with a cold cache.
    pub(crate) fn start(&mut self, now: u64) {
        self.up = true;
        self.incarnation += 1;
        self.changed_at = Some(now);
    }

    /// Returns whether the engine has been up for a span, in milliseconds.
    pub(crate) fn settled(&self, now: u64, span: u64) -> bool {
        self.up && self.changed_at.is_none_or(|at| now - at >= span)
    }

    /// Returns the newest record that is visible after a lag.
    pub(crate) fn visible_record(&self, now: u64, lag_ms: u64) -> Option<LoadRecord> {
        let latest = MilliTime::from_millis(now.saturating_sub(lag_ms));
        let mut newest_first = self.published.iter().rev();
        newest_first
            .find(|record| record.version <= latest)
            .copied()
    }

    /// Forgets records that newer visible ones replace.
    pub(crate) fn prune_records(&mut self, now: u64, lag_ms: u64) {
        let latest = MilliTime::from_millis(now.saturating_sub(lag_ms + 2_000));
        while self.published.len() > 1 && self.published[1].version <= latest {
            self.published.pop_front();
        }
    }
}
