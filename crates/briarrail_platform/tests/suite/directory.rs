//! The host list: incremental updates, lag, flapping hosts and outages.

use std::time::Duration;

use briarrail_model::{HostEntry, HostPhase};
use briarrail_platform::{HostDelta, HostDirectory, HttpDirectory, StoreErrorKind};
use briarrail_standin::{
    HostListFaults, HostListSettings, HostListStandin, StandinHandle, start_host_list,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const LONG_LAG_MS: u64 = 3_600_000;

fn live_host(name: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        service: "pan-model".to_owned(),
        data_centre: "gongoni".into(),
        region: "coast".into(),
        address: "127.0.0.1:9".parse().expect("valid address"),
        phase: HostPhase::Live,
        incarnation: 1,
        labels: [].into(),
    }
}

async fn start_directory(
    faults: HostListFaults,
) -> (StandinHandle<HostListStandin>, HttpDirectory) {
    let hosts = vec![live_host("pan-1"), live_host("pan-2")];
    let standin = start_host_list("127.0.0.1:0", HostListSettings { hosts, faults });
    let standin = standin.await.expect("bind to a free port");
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("HTTP client");
    let directory = HttpDirectory::new(client, &standin.base_url(), CALL_TIMEOUT);
    (standin, directory)
}

async fn read_changes(directory: &HttpDirectory, since: u64) -> HostDelta {
    directory
        .changes_since(since)
        .await
        .expect("the host list is available")
}

fn summarize(delta: &HostDelta) -> String {
    let upserts = delta.upserts.iter().map(|entry| format!("+{}", entry.name));
    let removed = delta.removed.iter().map(|name| format!("-{name}"));
    let parts: Vec<String> = upserts.chain(removed).collect();
    format!("{} full={} {}", delta.revision, delta.full, parts.join(" "))
}

#[tokio::test]
async fn first_read_returns_the_full_list_and_later_reads_the_changes() {
    let (standin, directory) = start_directory(HostListFaults::default()).await;
    assert_eq!(
        summarize(&read_changes(&directory, 0).await),
        "2 full=true +pan-1 +pan-2"
    );
    let leaving = HostEntry {
        phase: HostPhase::Leaving,
        ..live_host("pan-1")
    };
    standin.put(leaving.clone());
    standin.remove(&"pan-2".into());
    let delta = read_changes(&directory, 2).await;
    assert_eq!(summarize(&delta), "4 full=false +pan-1 -pan-2");
    assert_eq!(delta.upserts, [leaving]);
    assert_eq!(
        summarize(&read_changes(&directory, 4).await),
        "4 full=false "
    );
    assert_eq!(
        summarize(&read_changes(&directory, 99).await),
        "4 full=true +pan-1"
    );
}

#[tokio::test]
async fn change_is_listed_after_the_lag() {
    let (standin, directory) = start_directory(HostListFaults::default()).await;
    standin
        .faults()
        .update(|faults| faults.lag_ms = LONG_LAG_MS);
    standin.put(live_host("pan-3"));
    assert_eq!(read_changes(&directory, 2).await.revision, 2);
    standin.faults().update(|faults| faults.lag_ms = 0);
    assert_eq!(
        summarize(&read_changes(&directory, 2).await),
        "3 full=false +pan-3"
    );
}

#[tokio::test]
async fn flapping_host_is_removed_and_listed_again() {
    let faults = HostListFaults {
        flapping: vec!["pan-2".into()],
        flap_period_ms: 5,
        ..HostListFaults::default()
    };
    let (standin, directory) = start_directory(faults).await;
    while read_changes(&directory, 0).await.upserts.len() > 1 {}
    while read_changes(&directory, 0).await.upserts.len() == 1 {}
    standin.faults().set(HostListFaults::default());
    assert_eq!(read_changes(&directory, 0).await.upserts.len(), 2);
}

#[tokio::test]
async fn outage_returns_unavailable() {
    let (standin, directory) = start_directory(HostListFaults::default()).await;
    standin.faults().update(|faults| faults.outage = true);
    let error = directory
        .changes_since(0)
        .await
        .expect_err("the host list is down");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
}
