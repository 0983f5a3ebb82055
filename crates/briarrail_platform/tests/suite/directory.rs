//! The host list: deltas, lag and flapping.

use std::time::Duration;

use briarrail_model::{HostEntry, HostPhase};
use briarrail_platform::{HostDelta, HostDirectory, HttpDirectory, StoreErrorKind};
use briarrail_standin::{HostFaults, HostSettings, HostStandin, StandinHandle, start_hosts};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const LONG_MS: u64 = 3_600_000;

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        service: "pan-model".to_owned(),
        data_centre: "gongoni".into(),
        region: "coast".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        phase: HostPhase::Live,
        incarnation: 1,
        labels: [].into(),
    }
}

async fn start(faults: HostFaults) -> (StandinHandle<HostStandin>, HttpDirectory) {
    let hosts = vec![host("pan-1"), host("pan-2")];
    let standin = start_hosts("127.0.0.1:0", HostSettings { hosts, faults });
    let standin = standin.await.expect("a free port");
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let directory = HttpDirectory::new(client, &standin.base_url(), CALL_TIMEOUT);
    (standin, directory)
}

async fn read(directory: &HttpDirectory, since: u64) -> HostDelta {
    directory
        .changes_since(since)
        .await
        .expect("the list is up")
}

fn summary(delta: &HostDelta) -> String {
    let upserts = delta.upserts.iter().map(|entry| format!("+{}", entry.name));
    let removed = delta.removed.iter().map(|name| format!("-{name}"));
    let parts: Vec<String> = upserts.chain(removed).collect();
    format!("{} full={} {}", delta.revision, delta.full, parts.join(" "))
}

#[tokio::test]
async fn a_reader_gets_the_whole_list_and_then_the_changes() {
    let (standin, directory) = start(HostFaults::default()).await;
    assert_eq!(
        summary(&read(&directory, 0).await),
        "2 full=true +pan-1 +pan-2"
    );
    let leaving = HostEntry {
        phase: HostPhase::Leaving,
        ..host("pan-1")
    };
    standin.put(leaving.clone());
    standin.remove(&"pan-2".into());
    let delta = read(&directory, 2).await;
    assert_eq!(summary(&delta), "4 full=false +pan-1 -pan-2");
    assert_eq!(delta.upserts, [leaving]);
    assert_eq!(summary(&read(&directory, 4).await), "4 full=false ");
    assert_eq!(summary(&read(&directory, 99).await), "4 full=true +pan-1");
}

#[tokio::test]
async fn a_change_shows_after_the_lag() {
    let (standin, directory) = start(HostFaults::default()).await;
    standin.faults().update(|faults| faults.lag_ms = LONG_MS);
    standin.put(host("pan-3"));
    assert_eq!(read(&directory, 2).await.revision, 2);
    standin.faults().update(|faults| faults.lag_ms = 0);
    assert_eq!(summary(&read(&directory, 2).await), "3 full=false +pan-3");
}

#[tokio::test]
async fn a_flapping_host_leaves_and_comes_back() {
    let faults = HostFaults {
        flapping: vec!["pan-2".into()],
        flap_period_ms: 5,
        ..HostFaults::default()
    };
    let (standin, directory) = start(faults).await;
    while read(&directory, 0).await.upserts.len() > 1 {}
    while read(&directory, 0).await.upserts.len() == 1 {}
    standin.faults().set(HostFaults::default());
    assert_eq!(read(&directory, 0).await.upserts.len(), 2);
}

#[tokio::test]
async fn an_outage_is_unavailable() {
    let (standin, directory) = start(HostFaults::default()).await;
    standin.faults().update(|faults| faults.outage = true);
    let error = directory.changes_since(0).await.expect_err("outage");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
}
