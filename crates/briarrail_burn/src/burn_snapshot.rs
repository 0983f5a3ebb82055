//! Snapshots of the counts, which routers send to the operator's tool.

use briarrail_model::{CustomerId, MilliTime, ServiceObjective};
use serde::{Deserialize, Serialize};

use crate::{BurnWindow, ObjectiveCounts};

/// Counts over a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Window that the counts cover.
    pub window: BurnWindow,
    /// Counts for each objective.
    pub counts: ObjectiveCounts,
}

/// Counts of a ten-minute interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePoint {
    /// Unix time of the start of the interval, in milliseconds.
    pub start_ms: MilliTime,
    /// Counts for each objective.
    pub counts: ObjectiveCounts,
}

/// Counts of a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerCounts {
    /// Customer, or `None` for the customers without their own series.
    pub customer: Option<CustomerId>,
    /// Counts over each window.
    pub windows: Vec<WindowCounts>,
}

/// Counts of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolCounts {
    /// Name of the pool.
    pub pool: String,
    /// Service-level objectives of the pool.
    pub objective: ServiceObjective,
    /// Counts of all customers over each window.
    pub windows: Vec<WindowCounts>,
    /// Counts of all customers in each ten-minute interval of the last six hours, oldest first.
    pub timeline: Vec<TimelinePoint>,
    /// Counts per customer, in the order of their names; the shared series comes first.
    pub customers: Vec<CustomerCounts>,
}

/// Counts of one router, or of several after merging.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// Unix time of the snapshot, in milliseconds.
    pub taken_at_ms: MilliTime,
    /// Number of routers that the counts come from.
    pub routers: u32,
    /// Counts per pool, in the order of their names.
    pub pools: Vec<PoolCounts>,
}

impl BurnSnapshot {
    /// Adds the counts of a snapshot of other routers.
    ///
    /// If the objectives of a pool differ, as while an edit propagates, those of the later snapshot
    /// are used.
    pub fn merge(&mut self, other: Self) {
        let is_later = other.taken_at_ms > self.taken_at_ms;
        self.taken_at_ms = self.taken_at_ms.max(other.taken_at_ms);
        self.routers += other.routers;
        for pool in other.pools {
            let index = self.pools.binary_search_by(|own| own.pool.cmp(&pool.pool));
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
                .binary_search_by(|own| own.customer.cmp(&series.customer));
            match index {
                Ok(index) => merge_windows(&mut self.customers[index].windows, &series.windows),
                Err(index) => self.customers.insert(index, series),
            }
        }
    }
}

fn merge_windows(windows: &mut Vec<WindowCounts>, others: &[WindowCounts]) {
    for other in others {
        match windows.binary_search_by_key(&other.window, |own| own.window) {
            Ok(index) => windows[index].counts += other.counts,
            Err(index) => windows.insert(index, *other),
        }
    }
}

fn merge_timeline(points: &mut Vec<TimelinePoint>, others: &[TimelinePoint]) {
    for other in others {
        match points.binary_search_by_key(&other.start_ms, |own| own.start_ms) {
            Ok(index) => points[index].counts += other.counts,
            Err(index) => points.insert(index, *other),
        }
    }
}
