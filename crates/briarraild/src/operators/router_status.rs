//! The status report of the router.

use std::sync::Arc;

use briarrail_status::{ControlTraffic, PoolStatus, RouterPhase, RouterStatus, TargetStatus};

use super::OperatorContext;
use crate::state::{PoolEntry, StopPhase};

/// Returns the current status of the router.
pub(crate) fn router_status(context: &OperatorContext) -> RouterStatus {
    let state = &context.state;
    let snapshot = state.snapshot();
    let mut pools: Vec<_> = snapshot.pools.values().map(pool_status).collect();
    pools.sort_by(|left, right| left.pool.cmp(&right.pool));
    let control_rates = state.control_rate().rates();
    RouterStatus {
        host: context.local_host.name.clone(),
        data_centre: context.local_host.data_centre.clone(),
        region: context.local_host.region.clone(),
        incarnation: context.local_host.incarnation,
        phase: router_phase(state.stop_phase(), snapshot.is_ready),
        started_at_ms: context.started_at,
        config_sequence: snapshot.config.sequence,
        pools,
        control: ControlTraffic {
            sent_bytes_per_s: control_rates.sent,
            received_bytes_per_s: control_rates.received,
            budget_bytes_per_s: context.settings.exchange.budget_bytes_per_s,
        },
        outcomes: state.outcomes.totals(),
    }
}

const fn router_phase(stop_phase: StopPhase, is_ready: bool) -> RouterPhase {
    match (stop_phase, is_ready) {
        (StopPhase::Serving, true) => RouterPhase::Ready,
        (StopPhase::Serving, false) => RouterPhase::Starting,
        _ => RouterPhase::Stopping,
    }
}

fn pool_status(pool: &Arc<PoolEntry>) -> PoolStatus {
    let targets = pool.targets.iter().map(|target| TargetStatus {
        host: target.name.clone(),
        phase: target.phase,
        load: target.load,
        in_flight: target.counters.in_flight(),
    });
    PoolStatus {
        pool: pool.row.name.clone(),
        targets: targets.collect(),
        cache: pool.runtime.cache_totals(),
    }
}
