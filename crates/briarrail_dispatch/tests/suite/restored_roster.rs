//! Replays of a store that is restored from copies while targets come and go.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_dispatch::RemovalPolicy::AfterGracePeriod;
use briarrail_dispatch::{RosterRecord, TargetPhase, TargetRecord, TargetRoster};
use briarrail_model::MilliDuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{at, target};

const TICK_MS: u64 = 50;
const REPLAY_MS: u64 = 120_000;
/// Time after the store is back by which live targets are in use again: they write their entries
/// within about two seconds, and a departed one is confirmed by the listing after that.
const MAX_RETURN_TIME_MS: u64 = 5_000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct StoredEntry {
    phase: TargetPhase,
    sequence: u64,
    /// Time from which the store counts the silence of the target.
    written_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct SimulatedStore {
    entries: BTreeMap<String, StoredEntry>,
}

/// A target that is alive; when it leaves, it may serve on without an entry.
#[derive(Debug, Clone)]
struct LiveTarget {
    started_ms: u64,
    heartbeat_ms: u64,
    sequence: u64,
    drains: bool,
    /// Time for which it does not reach the store.
    cut_until_ms: u64,
}

fn record(id: &str, phase: TargetPhase) -> TargetRecord {
    TargetRecord {
        phase,
        ..target(id)
    }
}

/// Returns what a watch reports after the store changed.
fn changed_ids(before: &SimulatedStore, after: &SimulatedStore) -> Vec<String> {
    let phase =
        |store: &SimulatedStore, id: &String| store.entries.get(id).map(|entry| entry.phase);
    let ids: BTreeSet<&String> = before.entries.keys().chain(after.entries.keys()).collect();
    let changed = ids
        .into_iter()
        .filter(|id| phase(before, id) != phase(after, id));
    changed.cloned().collect()
}

/// Replays two minutes with a restore about every 20 s and checks the roster of the reader.
fn replay(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut store = SimulatedStore::default();
    let mut live: BTreeMap<String, LiveTarget> = BTreeMap::new();
    let mut copies: Vec<(u64, SimulatedStore)> = Vec::new();
    let mut roster = TargetRoster::default();
    let mut seen = SimulatedStore::default();
    let mut known_to_leave: BTreeSet<String> = BTreeSet::new();
    let mut next_id = 0;
    let mut down_until_ms = 0;
    let mut returned_ms = 0;
    let mut is_restored = false;
    let mut next_outage_ms = 15_000;
    for now in (0..REPLAY_MS).step_by(TICK_MS as usize) {
        let is_up = now >= down_until_ms;
        if live.len() < 6 || rng.random_bool(0.01) {
            next_id += 1;
            let started = LiveTarget {
                started_ms: now,
                heartbeat_ms: rng.random_range(6..=20) * TICK_MS,
                sequence: 0,
                drains: false,
                cut_until_ms: 0,
            };
            live.insert(format!("t{next_id}"), started);
        }
        if live.len() > 4 && rng.random_bool(0.012) {
            let index = rng.random_range(0..live.len());
            let id = live.keys().nth(index).unwrap().clone();
            let target = live.get_mut(&id).unwrap();
            if rng.random_bool(0.3) {
                target.cut_until_ms = now + rng.random_range(1_000..9_000);
            } else if !target.drains && rng.random_bool(0.5) {
                target.drains = true;
            } else {
                live.remove(&id);
                if is_up && rng.random_bool(0.5) {
                    store.entries.remove(&id);
                }
            }
        }
        if is_up {
            for (id, target) in &mut live {
                let is_due = (now - target.started_ms) % target.heartbeat_ms == 0;
                if is_due && now >= target.cut_until_ms {
                    target.sequence += 1;
                    let phase = if target.drains {
                        TargetPhase::Draining
                    } else {
                        TargetPhase::Ready
                    };
                    let entry = StoredEntry {
                        phase,
                        sequence: target.sequence,
                        written_ms: now,
                    };
                    store.entries.insert(id.clone(), entry);
                }
            }
            store
                .entries
                .retain(|_, entry| now - entry.written_ms < 3_000);
            copies.push((now, store.clone()));
        }
        if is_up && now >= next_outage_ms {
            down_until_ms = now + rng.random_range(1..60) * TICK_MS;
            next_outage_ms = down_until_ms + rng.random_range(4_000..20_000);
            is_restored = rng.random_bool(0.8);
            if is_restored {
                let copied_ms = now.saturating_sub(rng.random_range(0..12_000));
                copies.retain(|(at, _)| *at <= copied_ms);
                store = copies.last().unwrap().1.clone();
            }
            for entry in store.entries.values_mut() {
                entry.written_ms = down_until_ms;
            }
            returned_ms = down_until_ms;
            continue;
        }
        if !is_up {
            roster.expire(at(now));
            continue;
        }
        let is_first_read = now < returned_ms + TICK_MS;
        if is_first_read && is_restored {
            roster.observe_restore(at(now));
        } else if is_first_read {
            roster.observe_view_age(at(now), Some(MilliDuration::from_millis(9_000)));
        }
        if is_first_read || roster.needs_listing(at(now)) {
            let listed = store.entries.iter().map(|(id, entry)| RosterRecord {
                record: record(id, entry.phase),
                retained_until: None,
                write_sequence: Some(entry.sequence),
            });
            roster.replace_all(listed, AfterGracePeriod(at(now)));
        } else {
            for id in changed_ids(&seen, &store) {
                match store.entries.get(&id) {
                    Some(entry) => drop(roster.upsert(record(&id, entry.phase))),
                    None => drop(roster.remove(&id, AfterGracePeriod(at(now)))),
                }
            }
        }
        seen = store.clone();
        roster.expire(at(now));

        let ready = roster
            .records()
            .filter(|record| record.phase == TargetPhase::Ready);
        let ready: BTreeSet<String> = ready.map(|record| record.id.clone()).collect();
        for id in &ready {
            assert!(
                !known_to_leave.contains(id),
                "{id} is used again at {now} ms, seed {seed}"
            );
        }
        let drained = roster
            .records()
            .filter(|record| record.phase == TargetPhase::Draining);
        known_to_leave.extend(drained.map(|record| record.id.clone()));
        let is_gone = |id: &String| !live.contains_key(id) && !ready.contains(id);
        known_to_leave.extend((1..=next_id).map(|id| format!("t{id}")).filter(is_gone));
        for (id, target) in &live {
            let since = target.started_ms.max(target.cut_until_ms).max(returned_ms);
            if !target.drains && now >= since + MAX_RETURN_TIME_MS {
                assert!(
                    ready.contains(id),
                    "{id} is not used at {now} ms, seed {seed}"
                );
            }
        }
    }
}

/// A restored store brought back targets that had left, or dropped those that had just come.
#[test]
fn restores_neither_bring_back_departed_targets_nor_lose_live_ones() {
    for seed in 0..60 {
        replay(seed);
    }
}
