//! Report on the state of all routers.

use std::collections::BTreeMap;
use std::fmt::Write;

use briarrail_model::{HostName, HostPhase};
use briarrail_status::{CacheTotals, PoolStatus, RouterPhase, RouterStatus, TargetStatus};
use serde::Serialize;

use crate::router_client::RouterReply;

/// A router that did not return its status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct UnreachableRouter {
    pub(crate) router: String,
    pub(crate) error: String,
}

/// State of a pool, merged from all routers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct PoolSummary {
    pub(crate) pool: String,
    pub(crate) live: usize,
    pub(crate) leaving: usize,
    /// Streams on all targets; `None` when no target reports its load.
    pub(crate) load: Option<u64>,
    pub(crate) in_flight: u64,
    /// Load of the busiest live target divided by the mean load of the live targets.
    pub(crate) skew: Option<f64>,
    /// Fraction of the requests continuing a chat that reused cached context.
    pub(crate) reuse: Option<f64>,
}

/// The state of all routers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct StatusReport {
    /// Highest sequence number of the configurations that are active on routers or, if it was
    /// read, in the store.
    pub(crate) latest_sequence: u64,
    /// Number of routers on which the latest configuration is active.
    pub(crate) in_force: usize,
    /// Routers with an earlier active configuration, or none yet.
    pub(crate) behind: Vec<String>,
    #[serde(rename = "silent")]
    pub(crate) unreachable: Vec<UnreachableRouter>,
    pub(crate) pools: Vec<PoolSummary>,
    pub(crate) routers: Vec<RouterStatus>,
}

impl StatusReport {
    pub(crate) fn new(
        replies: Vec<RouterReply<RouterStatus>>,
        store_sequence: Option<u64>,
    ) -> Self {
        let mut routers = Vec::new();
        let mut unreachable = Vec::new();
        for reply in replies {
            match reply.result {
                Ok(status) => routers.push(status),
                Err(error) => unreachable.push(UnreachableRouter {
                    router: reply.router.name,
                    error,
                }),
            }
        }
        let sequences = routers.iter().map(|router| router.config_sequence);
        let latest_sequence = sequences.chain(store_sequence).max().unwrap_or(0);
        let is_behind = |router: &&RouterStatus| {
            router.phase == RouterPhase::Starting || router.config_sequence < latest_sequence
        };
        let behind = routers.iter().filter(is_behind);
        let behind: Vec<_> = behind.map(|router| router.host.to_string()).collect();
        Self {
            latest_sequence,
            in_force: routers.len() - behind.len(),
            behind,
            unreachable,
            pools: merge_pools(&routers),
            routers,
        }
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.behind.is_empty() && self.unreachable.is_empty()
    }

    pub(crate) fn to_text(&self) -> String {
        let mut text = format!(
            "configuration {}: in force on {} routers, {} behind, {} silent\n",
            self.latest_sequence,
            self.in_force,
            self.behind.len(),
            self.unreachable.len()
        );
        for router in &self.unreachable {
            push_line(
                &mut text,
                format!("silent: {}: {}", router.router, router.error),
            );
        }
        self.push_pool_table(&mut text);
        self.push_router_table(&mut text);
        text
    }

    fn push_pool_table(&self, text: &mut String) {
        let headers = [
            "pool",
            "live",
            "leaving",
            "load",
            "in flight",
            "skew",
            "reuse",
        ];
        let [pool, live, leaving, load, in_flight, skew, reuse] = headers;
        push_line(
            text,
            format!("\n{pool:<16}{live:>6}{leaving:>9}{load:>8}{in_flight:>11}{skew:>7}{reuse:>7}"),
        );
        for pool in &self.pools {
            let load = pool.load.map_or("-".to_owned(), |load| load.to_string());
            let number =
                |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
            push_line(
                text,
                format!(
                    "{:<16}{:>6}{:>9}{load:>8}{:>11}{:>7}{:>7}",
                    pool.pool,
                    pool.live,
                    pool.leaving,
                    pool.in_flight,
                    number(pool.skew),
                    number(pool.reuse)
                ),
            );
        }
    }

    fn push_router_table(&self, text: &mut String) {
        let headers = [
            "router",
            "data centre",
            "phase",
            "config",
            "sent B/s",
            "recv B/s",
        ];
        let [router, data_centre, phase, config, sent, received] = headers;
        let outcome_headers = ["answered", "not run", "unknown"];
        let [answered, not_run, unknown] = outcome_headers;
        push_line(
            text,
            format!(
                "\n{router:<16}{data_centre:<16}{phase:<10}{config:>8}{sent:>10}{received:>10}\
                 {answered:>10}{not_run:>9}{unknown:>9}"
            ),
        );
        for router in &self.routers {
            let phase = match router.phase {
                RouterPhase::Starting => "starting",
                RouterPhase::Ready => "ready",
                RouterPhase::Stopping => "stopping",
            };
            push_line(
                text,
                format!(
                    "{:<16}{:<16}{phase:<10}{:>8}{:>10.0}{:>10.0}{:>10}{:>9}{:>9}",
                    router.host.as_str(),
                    router.data_centre.as_str(),
                    router.config_sequence,
                    router.control.sent_bytes_per_s,
                    router.control.received_bytes_per_s,
                    router.outcomes.answered,
                    router.outcomes.not_run,
                    router.outcomes.unknown
                ),
            );
        }
    }
}

fn push_line<L>(text: &mut String, line: L)
where
    L: AsRef<str>,
{
    // Writing to a `String` never fails.
    let _ = writeln!(text, "{}", line.as_ref().trim_end());
}

/// Merges the pools as seen by each router.
///
/// A target is leaving if any router sees it as leaving. Its load is the highest that a router
/// has: load reports may arrive late but never early, so a lower load may be outdated.
fn merge_pools(routers: &[RouterStatus]) -> Vec<PoolSummary> {
    let mut views = BTreeMap::<&str, Vec<&PoolStatus>>::new();
    for pool in routers.iter().flat_map(|router| &router.pools) {
        views.entry(&pool.pool).or_default().push(pool);
    }
    views
        .into_iter()
        .map(|(name, views)| merge_pool(name, &views))
        .collect()
}

fn merge_pool(name: &str, views: &[&PoolStatus]) -> PoolSummary {
    let mut targets = BTreeMap::<&HostName, TargetStatus>::new();
    let mut cache = CacheTotals::default();
    for view in views {
        cache.returning += view.cache.returning;
        cache.reused += view.cache.reused;
        for target in &view.targets {
            let merged = targets.entry(&target.host).or_insert_with(|| TargetStatus {
                in_flight: 0,
                ..target.clone()
            });
            merged.in_flight += target.in_flight;
            merged.load = merged.load.max(target.load);
            if target.phase == HostPhase::Leaving {
                merged.phase = HostPhase::Leaving;
            }
        }
    }
    let merged = PoolStatus {
        pool: name.to_owned(),
        targets: targets.into_values().collect(),
        cache,
    };
    let loads = merged.targets.iter().filter_map(|target| target.load);
    let loads: Vec<_> = loads.map(u64::from).collect();
    let in_flight = merged
        .targets
        .iter()
        .map(|target| u64::from(target.in_flight));
    PoolSummary {
        live: merged.count_targets(HostPhase::Live),
        leaving: merged.count_targets(HostPhase::Leaving),
        load: (!loads.is_empty()).then(|| loads.iter().sum()),
        in_flight: in_flight.sum(),
        skew: merged.load_skew(),
        reuse: merged.cache.reuse_ratio(),
        pool: merged.pool,
    }
}
