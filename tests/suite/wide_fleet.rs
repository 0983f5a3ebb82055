//! Nine routers: edits, a killed router, and an object API that is away.

use std::time::{Duration, Instant};

use briarrail_config::RowChange;
use briarrail_standin::{OutageKind, SiteSettings};
use rustix::process::Signal;
use serde_json::json;

use crate::support::{TestSite, eventually};

const ROUTERS: usize = 9;
const EDITS: usize = 5;
const SEQUENCE_METRIC: &str = "briarrail_config_sequence";
const CONTROL_METRIC: &str = "briarrail_control_bytes";
/// Bytes a second that a router may spend on control, sent and received together.
const CONTROL_BUDGET: f64 = 5_000.0;
/// Time over which control traffic is counted.
const CONTROL_SPAN: Duration = Duration::from_secs(10);

/// Times edits until all routers show them, kills and replaces a router, takes the object API
/// away, replaces another one meanwhile, and stops all. The times are printed and not checked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edits_reach_all_routers_through_a_kill_and_an_outage() {
    let settings = SiteSettings {
        engines: 2,
        services: 1,
        ..SiteSettings::default()
    };
    let mut site = TestSite::start(settings, ROUTERS).await;
    for number in 0..EDITS {
        let took = time_edit(&site, &format!("edit-{number}")).await;
        eprintln!("edit {number} in force on {ROUTERS} routers after {took:?}");
    }
    check_control_bytes(&site).await;

    site.routers[4].kill();
    let killed = site.routers.remove(4);
    site.standins.hosts.remove(killed.name());
    let took = time_edit(&site, "after-the-kill").await;
    eprintln!("edit in force on the other routers after {took:?}");
    let router = site.start_router(4);
    site.routers.push(router);
    wait_sequence(&site, EDITS as u64 + 2).await;

    let faults = site.standins.objects.faults();
    faults.update(|faults| faults.outage = Some(OutageKind::Refuse));
    site.routers[0].kill();
    site.standins.hosts.remove(site.routers[0].name());
    let start = Instant::now();
    site.routers[0] = site.start_router(0);
    site.routers[0].wait_ready(&site.client).await;
    wait_sequence(&site, EDITS as u64 + 2).await;
    eprintln!(
        "a new router was ready {:?} into the outage",
        start.elapsed()
    );
    for router in &site.routers {
        assert!(
            router.is_ready(&site.client).await,
            "{} in the outage",
            router.name()
        );
    }
    site.standins
        .objects
        .faults()
        .update(|faults| faults.outage = None);
    let took = time_edit(&site, "after-the-outage").await;
    eprintln!("edit in force on {ROUTERS} routers after {took:?}");

    for router in &site.routers {
        router.signal(Signal::TERM);
    }
    for router in &mut site.routers {
        let status = router.wait_exit().await;
        assert!(status.success(), "{} ended with {status}", router.name());
    }
}

/// Submits an edit, and returns how long it took until all routers showed it.
async fn time_edit(site: &TestSite, name: &str) -> Duration {
    let row = json!({
        "name": name,
        "match": { "path_prefix": format!("/{name}") },
        "pool": "weighbridge",
    });
    let row = serde_json::from_value(row).expect("a route");
    let receipt = site
        .submit(vec![RowChange::PutRoute { expected: 0, row }])
        .await;
    let start = Instant::now();
    wait_sequence(site, receipt.sequence).await;
    start.elapsed()
}

/// Waits until all routers show a sequence number.
async fn wait_sequence(site: &TestSite, sequence: u64) {
    for router in &site.routers {
        let shows = || async {
            let shown = router.metric(&site.client, SEQUENCE_METRIC).await?;
            (shown >= sequence as f64).then_some(())
        };
        eventually("a router shows the edit", shows).await;
    }
}

/// Checks the control traffic of each router against its budget.
async fn check_control_bytes(site: &TestSite) {
    let before = control_bytes(site).await;
    let start = Instant::now();
    tokio::time::sleep(CONTROL_SPAN).await;
    let after = control_bytes(site).await;
    let elapsed = start.elapsed().as_secs_f64();
    let rates = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) / elapsed);
    let rates: Vec<f64> = rates.collect();
    eprintln!("control bytes a second: {rates:.0?}");
    assert!(
        rates.iter().all(|&rate| rate <= CONTROL_BUDGET),
        "{rates:.0?}"
    );
    assert!(
        rates.iter().all(|&rate| rate > 0.0),
        "nothing was counted: {rates:.0?}"
    );
}

async fn control_bytes(site: &TestSite) -> Vec<f64> {
    let mut bytes = Vec::new();
    for router in &site.routers {
        let counted = || router.metric(&site.client, CONTROL_METRIC);
        bytes.push(eventually("control bytes are counted", counted).await);
    }
    bytes
}
