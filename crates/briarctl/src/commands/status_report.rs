//! The state of all routers, put together.

use std::collections::BTreeMap;
use std::fmt::Write;

use briarrail_model::{HostName, HostPhase};
use briarrail_status::{CacheTotals, PoolStatus, RouterPhase, RouterStatus, TargetStatus};
use serde::Serialize;

use crate::router_finder::RouterReply;

/// A router that did not answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct SilentRouter {
    pub(crate) router: String,
    pub(crate) error: String,
}

/// A pool, as all routers together see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct PoolSummary {
    pub(crate) pool: String,
    pub(crate) live: usize,
    pub(crate) leaving: usize,
    /// Streams on all targets; nothing when they don't report.
    pub(crate) load: Option<u64>,
    pub(crate) in_flight: u64,
    /// Load of the busiest target over the mean.
    pub(crate) skew: Option<f64>,
    /// Part of the returning requests that reused cached context.
    pub(crate) reuse: Option<f64>,
}

/// The state of all routers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct StatusReport {
    /// Highest configuration that a router has in force, or the store's when it was asked.
    pub(crate) latest_sequence: u64,
    pub(crate) in_force: usize,
    /// Routers that have an earlier configuration in force, or none yet.
    pub(crate) behind: Vec<String>,
    pub(crate) silent: Vec<SilentRouter>,
    pub(crate) pools: Vec<PoolSummary>,
    pub(crate) routers: Vec<RouterStatus>,
}

impl StatusReport {
    pub(crate) fn new(replies: Vec<RouterReply<RouterStatus>>, head_sequence: Option<u64>) -> Self {
        let mut routers = Vec::new();
        let mut silent = Vec::new();
        for reply in replies {
            match reply.result {
                Ok(status) => routers.push(status),
                Err(error) => silent.push(SilentRouter {
                    router: reply.router.name,
                    error,
                }),
            }
        }
        let sequences = routers.iter().map(|router| router.config_sequence);
        let latest_sequence = sequences.chain(head_sequence).max().unwrap_or(0);
        let is_behind = |router: &&RouterStatus| {
            router.phase == RouterPhase::Starting || router.config_sequence < latest_sequence
        };
        let behind = routers.iter().filter(is_behind);
        let behind: Vec<_> = behind.map(|router| router.host.to_string()).collect();
        Self {
            latest_sequence,
            in_force: routers.len() - behind.len(),
            behind,
            silent,
            pools: summarise_pools(&routers),
            routers,
        }
    }

    pub(crate) fn is_good(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty()
    }

    pub(crate) fn to_text(&self) -> String {
        let mut text = format!(
            "configuration {}: in force on {} routers, {} behind, {} silent\n",
            self.latest_sequence,
            self.in_force,
            self.behind.len(),
            self.silent.len()
        );
        for router in &self.silent {
            push(
                &mut text,
                format!("silent: {}: {}", router.router, router.error),
            );
        }
        self.push_pools(&mut text);
        self.push_routers(&mut text);
        text
    }

    fn push_pools(&self, text: &mut String) {
        let heads = [
            "pool",
            "live",
            "leaving",
            "load",
            "in flight",
            "skew",
            "reuse",
        ];
        let [pool, live, leaving, load, in_flight, skew, reuse] = heads;
        push(
            text,
            format!("\n{pool:<16}{live:>6}{leaving:>9}{load:>8}{in_flight:>11}{skew:>7}{reuse:>7}"),
        );
        for pool in &self.pools {
            let load = pool.load.map_or("-".to_owned(), |load| load.to_string());
            let number =
                |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
            push(
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

    fn push_routers(&self, text: &mut String) {
        let heads = [
            "router",
            "data centre",
            "phase",
            "config",
            "sent B/s",
            "recv B/s",
        ];
        let [router, data_centre, phase, config, sent, received] = heads;
        let outcomes = ["answered", "not run", "unknown"];
        let [answered, not_run, unknown] = outcomes;
        push(
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
            push(
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

fn push<L>(text: &mut String, line: L)
where
    L: AsRef<str>,
{
    // Writing to text never fails.
    let _ = writeln!(text, "{}", line.as_ref().trim_end());
}

/// Puts the routers' views of the pools together.
///
/// A target leaves when any router takes it as leaving; its load is the greatest that a router
/// knows, since reports are never early.
fn summarise_pools(routers: &[RouterStatus]) -> Vec<PoolSummary> {
    let mut views = BTreeMap::<&str, Vec<&PoolStatus>>::new();
    for pool in routers.iter().flat_map(|router| &router.pools) {
        views.entry(&pool.pool).or_default().push(pool);
    }
    views
        .into_iter()
        .map(|(name, views)| summarise_pool(name, &views))
        .collect()
}

fn summarise_pool(name: &str, views: &[&PoolStatus]) -> PoolSummary {
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
