//! Load balancer in front of the routers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarload::RoundRobinUrls;
use reqwest::Client;
use tokio::task::JoinHandle;

use crate::support::TestHarness;

/// Interval between readiness checks. Until the next check, a router that is no longer ready still
/// gets requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maintains the base URLs of the routers that were ready at the latest check.
pub(crate) struct LoadBalancer {
    urls: RoundRobinUrls,
    state: Arc<Mutex<BalancerState>>,
    check_task: JoinHandle<()>,
}

#[derive(Default)]
struct BalancerState {
    /// Readiness URL of each router, keyed by its base URL for callers.
    readiness_urls: BTreeMap<String, String>,
    /// Base URLs of the routers that were ready at the latest check.
    ready_routers: Vec<String>,
    is_closed: bool,
}

impl LoadBalancer {
    /// Starts a balancer that initially sends requests to all routers of a harness.
    pub(crate) fn start(harness: &TestHarness) -> Self {
        let urls = RoundRobinUrls::new(harness.router_urls());
        let state = Arc::new(Mutex::new(BalancerState::default()));
        // Set before the first check, which would otherwise remove all URLs.
        state.lock().expect("mutex is not poisoned").readiness_urls = readiness_urls(harness);
        let checks = run_checks(harness.client.clone(), state.clone(), urls.clone());
        let check_task = tokio::spawn(checks);
        Self {
            urls,
            state,
            check_task,
        }
    }

    /// Returns the base URLs of the ready routers, which the balancer keeps up to date.
    pub(crate) fn urls(&self) -> RoundRobinUrls {
        self.urls.clone()
    }

    /// Replaces the routers to check by the current routers of a harness.
    pub(crate) fn update_routers(&self, harness: &TestHarness) {
        self.state
            .lock()
            .expect("mutex is not poisoned")
            .readiness_urls = readiness_urls(harness);
    }

    /// Returns whether the router was ready at the latest check.
    pub(crate) fn contains(&self, url: &str) -> bool {
        let state = self.state.lock().expect("mutex is not poisoned");
        state.ready_routers.iter().any(|ready| ready == url)
    }

    /// Removes all URLs permanently, which ends the load that uses them.
    pub(crate) fn close(&self) {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        state.is_closed = true;
        self.urls.replace(Vec::new());
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.check_task.abort();
    }
}

fn readiness_urls(harness: &TestHarness) -> BTreeMap<String, String> {
    let routers = harness.routers.iter();
    let urls = routers.map(|router| (router.url(), router.operators_url("ready")));
    urls.collect()
}

async fn run_checks(client: Client, state: Arc<Mutex<BalancerState>>, urls: RoundRobinUrls) {
    loop {
        let readiness_urls = state
            .lock()
            .expect("mutex is not poisoned")
            .readiness_urls
            .clone();
        let mut ready_routers = Vec::new();
        for (url, readiness_url) in readiness_urls {
            let response = client.get(readiness_url).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                ready_routers.push(url);
            }
        }
        {
            let mut state = state.lock().expect("mutex is not poisoned");
            if !state.is_closed {
                state.ready_routers.clone_from(&ready_routers);
                urls.replace(ready_routers);
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
