//! Counts as they travel from a router to the operator's tool.

use briarrail_model::{CustomerId, MilliTime, ServiceObjective};
use serde::{Deserialize, Serialize};

use crate::{BurnWindow, ObjectiveCounts};

/// Counts over one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: BurnWindow,
    /// Its counts.
    pub counts: ObjectiveCounts,
}

/// Counts of ten minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePoint {
    /// Unix time at which the ten minutes start, in milliseconds.
    pub start_ms: MilliTime,
    /// Their counts.
    pub counts: ObjectiveCounts,
}

/// Counts of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerCounts {
    /// The customer; nothing for all that have no series of their own.
    pub customer: Option<CustomerId>,
    /// Counts for each window.
    pub windows: Vec<WindowCounts>,
}

/// Counts of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolCounts {
    /// Name of the pool.
    pub pool: String,
    /// Objectives of the pool.
    pub objective: ServiceObjective,
    /// Counts over all customers, for each window.
    pub windows: Vec<WindowCounts>,
    /// Counts over all customers for each ten minutes of the last six hours, oldest first.
    pub timeline: Vec<TimelinePoint>,
    /// Counts of the customers.
    pub customers: Vec<CustomerCounts>,
}

/// Counts of one router, or of several when merged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// Unix time of the snapshot, in milliseconds.
    pub taken_at_ms: MilliTime,
    /// Routers that the counts come from.
    pub routers: u32,
    /// Counts of the pools, in the order of their names.
    pub pools: Vec<PoolCounts>,
}

impl BurnSnapshot {
    /// Adds the counts of other routers.
    ///
    /// Where the objectives of a pool differ, as during an edit, those of the later snapshot hold.
    pub fn merge(&mut self, other: Self) {
        let is_later = other.taken_at_ms > self.taken_at_ms;
        self.taken_at_ms = self.taken_at_ms.max(other.taken_at_ms);
        self.routers += other.routers;
        for pool in other.pools {
            let index = self
                .pools
                .binary_search_by(|known| known.pool.cmp(&pool.pool));
            match index {
                Ok(index) => self.pools[index].merge(pool, is_later),
                Err(index) => self.pools.insert(index, pool),
            }
        }
    }
}

impl PoolCounts {
    fn merge(&mut self, other: Self, is_later: bool) {
        if is_later {
            self.objective = other.objective;
        }
        merge_windows(&mut self.windows, &other.windows);
        merge_timeline(&mut self.timeline, &other.timeline);
        for series in other.customers {
            let index = self
                .customers
                .binary_search_by(|known| known.customer.cmp(&series.customer));
            match index {
                Ok(index) => merge_windows(&mut self.customers[index].windows, &series.windows),
                Err(index) => self.customers.insert(index, series),
            }
        }
    }
}

fn merge_windows(windows: &mut Vec<WindowCounts>, others: &[WindowCounts]) {
    for other in others {
        match windows.binary_search_by_key(&other.window, |known| known.window) {
            Ok(index) => windows[index].counts += other.counts,
            Err(index) => windows.insert(index, *other),
        }
    }
}

fn merge_timeline(points: &mut Vec<TimelinePoint>, others: &[TimelinePoint]) {
    for other in others {
        match points.binary_search_by_key(&other.start_ms, |known| known.start_ms) {
            Ok(index) => points[index].counts += other.counts,
            Err(index) => points.insert(index, *other),
        }
    }
}
