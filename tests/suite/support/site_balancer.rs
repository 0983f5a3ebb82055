//! The balancer before the routers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use briarload::RoundRobinUrls;
use reqwest::Client;
use tokio::task::JoinHandle;

use crate::support::TestSite;

/// Time between two looks at the routers; a router that stops being ready is found out late.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps a ring of the routers that were ready at the last look.
pub(crate) struct SiteBalancer {
    ring: RoundRobinUrls,
    state: Arc<Mutex<BalancerState>>,
    task: JoinHandle<()>,
}

/// What the balancer knows.
#[derive(Default)]
struct BalancerState {
    /// Readiness pages of the routers by their URLs for callers.
    routers: BTreeMap<String, String>,
    listed: Vec<String>,
    is_emptied: bool,
}

impl SiteBalancer {
    /// Starts a balancer that lists all routers of a site.
    pub(crate) fn start(site: &TestSite) -> Self {
        let ring = RoundRobinUrls::new(site.urls());
        let state = Arc::new(Mutex::new(BalancerState::default()));
        // The first look must find the routers, or it would empty the ring.
        state.lock().expect("no holder panics").routers = ready_pages(site);
        let task = tokio::spawn(poll(site.client.clone(), state.clone(), ring.clone()));
        Self { ring, state, task }
    }

    /// Returns the ring of listed routers.
    pub(crate) fn ring(&self) -> RoundRobinUrls {
        self.ring.clone()
    }

    /// Looks at the routers that the site has by now.
    pub(crate) fn follow(&self, site: &TestSite) {
        self.state.lock().expect("no holder panics").routers = ready_pages(site);
    }

    /// Returns whether a router is listed.
    pub(crate) fn lists(&self, url: &str) -> bool {
        let state = self.state.lock().expect("no holder panics");
        state.listed.iter().any(|listed| listed == url)
    }

    /// Empties the ring for good, which ends the loads that use it.
    pub(crate) fn empty(&self) {
        let mut state = self.state.lock().expect("no holder panics");
        state.is_emptied = true;
        self.ring.replace(Vec::new());
    }
}

impl Drop for SiteBalancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn ready_pages(site: &TestSite) -> BTreeMap<String, String> {
    let routers = site.routers.iter();
    let pages = routers.map(|router| (router.url(), router.operators_url("ready")));
    pages.collect()
}

async fn poll(client: Client, state: Arc<Mutex<BalancerState>>, ring: RoundRobinUrls) {
    loop {
        let routers = state.lock().expect("no holder panics").routers.clone();
        let mut ready = Vec::new();
        for (url, page) in routers {
            let answer = client.get(page).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                ready.push(url);
            }
        }
        {
            let mut state = state.lock().expect("no holder panics");
            if !state.is_emptied {
                state.listed.clone_from(&ready);
                ring.replace(ready);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
