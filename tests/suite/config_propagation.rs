//! Propagation of configuration edits to nine routers.

use std::time::{Duration, Instant};

use briarrail_config::RowChange;
use briarrail_standin::{OutageKind, SiteSettings};
use rustix::process::Signal;
use serde_json::json;

use crate::support::{TestHarness, wait_for};

const ROUTER_COUNT: usize = 9;
const EDIT_COUNT: usize = 5;
const SEQUENCE_METRIC: &str = "briarrail_config_sequence";
const CONTROL_METRIC: &str = "briarrail_control_bytes";
/// Upper bound for the control traffic of a router, sent and received together.
const MAX_CONTROL_BYTES_PER_S: f64 = 5_000.0;
/// Duration of the measurement of control traffic.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);

/// Guards against routers that keep an outdated configuration, or aren't ready, after failures.
///
/// One router is killed and replaced, and another one during an outage of the object API. The
/// propagation times are printed but not checked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edits_propagate_despite_a_killed_router_and_a_store_outage() {
    let settings = SiteSettings {
        engines: 2,
        services: 1,
        ..SiteSettings::default()
    };
    let mut harness = TestHarness::start(settings, ROUTER_COUNT).await;
    for number in 0..EDIT_COUNT {
        let elapsed = measure_propagation(&harness, &format!("edit-{number}")).await;
        eprintln!("edit {number} applied by {ROUTER_COUNT} routers after {elapsed:?}");
    }
    check_control_traffic(&harness).await;

    harness.routers[4].kill();
    let killed = harness.routers.remove(4);
    harness.standins.hosts.remove(killed.name());
    let elapsed = measure_propagation(&harness, "after-the-kill").await;
    eprintln!("edit applied by the remaining routers after {elapsed:?}");
    let router = harness.start_router(4);
    // A new router that has the edit only from a peer is not ready until the store or a second peer
    // confirms it, so the outage must not start before.
    router.wait_until_ready(&harness.client).await;
    harness.routers.push(router);
    wait_for_sequence(&harness, EDIT_COUNT as u64 + 2).await;

    let faults = harness.standins.objects.faults();
    faults.update(|faults| faults.outage = Some(OutageKind::Refuse));
    harness.routers[0].kill();
    harness.standins.hosts.remove(harness.routers[0].name());
    let start = Instant::now();
    harness.routers[0] = harness.start_router(0);
    harness.routers[0].wait_until_ready(&harness.client).await;
    wait_for_sequence(&harness, EDIT_COUNT as u64 + 2).await;
    eprintln!(
        "a router started during the outage was ready after {:?}",
        start.elapsed()
    );
    for router in &harness.routers {
        assert!(
            router.is_ready(&harness.client).await,
            "{} is not ready during the outage",
            router.name()
        );
    }
    harness
        .standins
        .objects
        .faults()
        .update(|faults| faults.outage = None);
    let elapsed = measure_propagation(&harness, "after-the-outage").await;
    eprintln!("edit applied by {ROUTER_COUNT} routers after {elapsed:?}");

    for router in &harness.routers {
        router.send_signal(Signal::TERM);
    }
    for router in &mut harness.routers {
        let status = router.wait_for_exit().await;
        assert!(status.success(), "{} exited with {status}", router.name());
    }
}

/// Submits an edit, and returns the time until all routers have applied it.
async fn measure_propagation(harness: &TestHarness, name: &str) -> Duration {
    let row = json!({
        "name": name,
        "match": { "path_prefix": format!("/{name}") },
        "pool": "weighbridge",
    });
    let row = serde_json::from_value(row).expect("valid route");
    let receipt = harness
        .submit_edit(vec![RowChange::PutRoute { expected: 0, row }])
        .await;
    let start = Instant::now();
    wait_for_sequence(harness, receipt.sequence).await;
    start.elapsed()
}

/// Waits until all routers have applied the edit with a sequence number.
async fn wait_for_sequence(harness: &TestHarness, sequence: u64) {
    for router in &harness.routers {
        let has_applied = || async {
            let applied = router.metric_sum(&harness.client, SEQUENCE_METRIC).await?;
            (applied >= sequence as f64).then_some(())
        };
        wait_for("a router has applied the edit", has_applied).await;
    }
}

/// Checks that each router reports control traffic and stays within the bound.
async fn check_control_traffic(harness: &TestHarness) {
    let before = control_bytes(harness).await;
    let start = Instant::now();
    tokio::time::sleep(MEASUREMENT_DURATION).await;
    let after = control_bytes(harness).await;
    let elapsed = start.elapsed().as_secs_f64();
    let rates = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) / elapsed);
    let rates: Vec<f64> = rates.collect();
    eprintln!("control traffic in bytes/s: {rates:.0?}");
    assert!(
        rates.iter().all(|&rate| rate <= MAX_CONTROL_BYTES_PER_S),
        "too much control traffic, in bytes/s: {rates:.0?}"
    );
    assert!(
        rates.iter().all(|&rate| rate > 0.0),
        "a router reports no control traffic, in bytes/s: {rates:.0?}"
    );
}

/// Returns the control bytes that each router has counted since its start.
async fn control_bytes(harness: &TestHarness) -> Vec<f64> {
    let mut bytes = Vec::new();
    for router in &harness.routers {
        let read_metric = || router.metric_sum(&harness.client, CONTROL_METRIC);
        bytes.push(wait_for("a router reports its control bytes", read_metric).await);
    }
    bytes
}
