//! State of a pool as seen by one router.

use briarrail_model::{HostName, HostPhase};
use serde::{Deserialize, Serialize};

/// State of one target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Host of the target.
    pub host: HostName,
    /// Phase of the host as seen by this router.
    pub phase: HostPhase,
    /// Streams running or queued on the target from all routers; `None` if it doesn't report load.
    pub load: Option<u32>,
    /// Requests in flight from this router.
    pub in_flight: u32,
}

/// Context cache reuse by continued chats since the router started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CacheTotals {
    /// Requests that continue an earlier chat.
    pub returning: u64,
    /// Requests in `returning` whose target had the context cached.
    pub reused: u64,
}

/// State of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: String,
    /// Targets of the pool.
    pub targets: Vec<TargetStatus>,
    /// Reuse of cached context.
    #[serde(default)]
    pub cache: CacheTotals,
}

impl PoolStatus {
    /// Returns the number of targets in a phase.
    #[must_use]
    pub fn count_targets(&self, phase: HostPhase) -> usize {
        let targets = self.targets.iter();
        targets.filter(|target| target.phase == phase).count()
    }

    /// Returns the load of the most loaded live target divided by the mean over live targets.
    ///
    /// Targets that do not report load are left out; returns `None` when there is no load.
    #[must_use]
    pub fn load_skew(&self) -> Option<f64> {
        let live = self
            .targets
            .iter()
            .filter(|target| target.phase == HostPhase::Live);
        let loads: Vec<_> = live.filter_map(|target| target.load).collect();
        let sum: u64 = loads.iter().map(|&load| u64::from(load)).sum();
        let max = loads.iter().max().copied()?;
        (sum > 0).then(|| f64::from(max) * loads.len() as f64 / sum as f64)
    }
}

impl CacheTotals {
    /// Returns the fraction of returning requests that reused cached context; `None` when there
    /// are no returning requests.
    #[must_use]
    pub fn reuse_ratio(&self) -> Option<f64> {
        (self.returning > 0).then(|| self.reused as f64 / self.returning as f64)
    }
}
