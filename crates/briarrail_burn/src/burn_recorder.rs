//! Recording of requests on a router.

use std::collections::BTreeMap;

use briarrail_model::{CustomerId, MilliDuration, MilliTime, ServiceObjective};

use crate::series_recorder::SeriesRecorder;
use crate::{BurnSnapshot, CustomerCounts, ObjectiveCounts, PoolCounts, RequestRecord};

/// Time without requests after which a customer may lose its series to another customer.
const CUSTOMER_IDLE_TIMEOUT: MilliDuration = MilliDuration::from_secs(3_600);

/// Counts the requests of a router, per pool and customer.
///
/// The number of customers with their own series is limited per pool; the other customers share a
/// series. Recording a request takes a few map lookups and additions, so the recorder can be shared
/// behind a mutex.
///
/// ```
/// use briarrail_burn::{BurnRecorder, OutcomeClass, RequestRecord, StreamCounts};
/// use briarrail_model::MilliTime;
///
/// let mut recorder = BurnRecorder::new(64);
/// let record = RequestRecord {
///     pool: "weighbridge",
///     customer: "clerks",
///     class: OutcomeClass::Answered,
///     at_most_once: true,
///     stream: StreamCounts::default(),
/// };
/// let now = MilliTime::from_millis(60_000);
/// recorder.record(&record, now);
/// assert_eq!(recorder.snapshot(now).pools[0].windows[0].counts.known.total, 1);
/// ```
#[derive(Debug)]
pub struct BurnRecorder {
    max_customers: usize,
    pools: BTreeMap<String, PoolRecorder>,
}

#[derive(Debug)]
struct PoolRecorder {
    objective: ServiceObjective,
    all: SeriesRecorder,
    others: Option<SeriesRecorder>,
    customers: BTreeMap<CustomerId, SeriesRecorder>,
}

impl BurnRecorder {
    /// Creates a recorder with separate series for at most `max_customers` customers per pool.
    #[must_use]
    pub fn new(max_customers: usize) -> Self {
        Self {
            max_customers,
            pools: BTreeMap::new(),
        }
    }

    /// Sets the objectives of a pool, which its snapshots include.
    pub fn set_objective(&mut self, pool: &str, objective: &ServiceObjective, now: MilliTime) {
        self.pool_mut(pool, now).objective = objective.clone();
    }

    /// Removes the pools for which `is_kept` returns false, such as those deleted from the table.
    pub fn retain_pools<F>(&mut self, mut is_kept: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.pools.retain(|pool, _| is_kept(pool));
    }

    /// Records a finished request.
    pub fn record(&mut self, record: &RequestRecord<'_>, now: MilliTime) {
        let max_customers = self.max_customers;
        let counts = record.counts();
        let pool = self.pool_mut(record.pool, now);
        pool.all.add(counts, now);
        pool.add_to_customer(record.customer, counts, max_customers, now);
    }

    /// Returns the counts over all windows that end at `now`.
    #[must_use]
    pub fn snapshot(&self, now: MilliTime) -> BurnSnapshot {
        let pools = self.pools.iter();
        BurnSnapshot {
            taken_at_ms: now,
            routers: 1,
            pools: pools.map(|(name, pool)| pool.snapshot(name, now)).collect(),
        }
    }

    fn pool_mut(&mut self, name: &str, now: MilliTime) -> &mut PoolRecorder {
        if !self.pools.contains_key(name) {
            self.pools.insert(name.to_owned(), PoolRecorder::new(now));
        }
        self.pools
            .get_mut(name)
            .expect("the pool was inserted above")
    }
}

impl PoolRecorder {
    fn new(now: MilliTime) -> Self {
        Self {
            objective: ServiceObjective::default(),
            all: SeriesRecorder::new(now),
            others: None,
            customers: BTreeMap::new(),
        }
    }

    fn add_to_customer(
        &mut self,
        customer: &str,
        counts: ObjectiveCounts,
        max_customers: usize,
        now: MilliTime,
    ) {
        let id = CustomerId::from(customer);
        if let Some(series) = self.customers.get_mut(&id) {
            series.add(counts, now);
            return;
        }
        if self.customers.len() >= max_customers {
            self.evict_idle_customer(now);
        }
        if self.customers.len() >= max_customers {
            self.others_mut(now).add(counts, now);
            return;
        }
        let mut series = SeriesRecorder::new(now);
        series.add(counts, now);
        self.customers.insert(id, series);
    }

    /// Merges the series of the customer that has been idle longest into the shared series.
    fn evict_idle_customer(&mut self, now: MilliTime) {
        let longest_idle = self
            .customers
            .iter()
            .min_by_key(|(_, series)| series.last_request_at());
        let evicted = longest_idle
            .filter(|(_, series)| now.since(series.last_request_at()) > CUSTOMER_IDLE_TIMEOUT);
        let Some(id) = evicted.map(|(id, _)| id.clone()) else {
            return;
        };
        if let Some(series) = self.customers.remove(&id) {
            self.others_mut(now).merge(&series);
        }
    }

    fn others_mut(&mut self, now: MilliTime) -> &mut SeriesRecorder {
        self.others.get_or_insert_with(|| SeriesRecorder::new(now))
    }

    fn snapshot(&self, name: &str, now: MilliTime) -> PoolCounts {
        let others = self.others.iter().map(|series| (None, series));
        let customers = self.customers.iter();
        let customers = customers.map(|(id, series)| (Some(id.clone()), series));
        let series = others
            .chain(customers)
            .map(|(customer, series)| CustomerCounts {
                customer,
                windows: series.windows(now),
            });
        PoolCounts {
            pool: name.to_owned(),
            objective: self.objective.clone(),
            windows: self.all.windows(now),
            timeline: self.all.timeline(now),
            customers: series.collect(),
        }
    }
}
