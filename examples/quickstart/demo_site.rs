//! The site of the example.

use std::error::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use briarrail_config::{ConfigEditor, EditId, EditRequest, RowChange};
use briarrail_model::{MilliDuration, MilliTime, PoolRow, RouteRow};
use briarrail_platform::HttpStore;
use briarrail_settings::DaemonSettings;
use briarrail_standin::{SiteSettings, SiteStandin};
use briarraild::{RouterDaemon, RunningRouter};
use reqwest::Client;

const POOLS: &str = include_str!("pools.json");
const ROUTES: &str = include_str!("routes.json");
const ROUTER_SERVICE: &str = "briarraild";
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stand-ins and routers, all on loopback.
pub(crate) struct DemoSite {
    pub(crate) standins: SiteStandin,
    pub(crate) client: Client,
    routers: Vec<RunningRouter>,
}

impl DemoSite {
    /// Starts 12 engines, 4 services, an object API and a host list.
    pub(crate) async fn start() -> Result<Self, Box<dyn Error>> {
        let standins = SiteStandin::start(SiteSettings::default()).await?;
        println!(
            "Site: {} engines, {} services, object API {}, host list {}",
            standins.engines.len(),
            standins.services.len(),
            standins.objects.base_url(),
            standins.hosts.base_url(),
        );
        Ok(Self {
            standins,
            client: Client::builder().no_proxy().build()?,
            routers: Vec::new(),
        })
    }

    /// Starts a router and puts it on the host list.
    pub(crate) fn add_router(&mut self, number: usize) -> Result<(), Box<dyn Error>> {
        let any = "127.0.0.1:0".parse()?;
        let planned = self.standins.host_entry(ROUTER_SERVICE, number, any);
        let objects = self.standins.objects.base_url();
        let hosts = self.standins.hosts.base_url();
        let settings = DaemonSettings::builder()
            .host(
                planned.name.as_str(),
                planned.data_centre.as_str(),
                planned.region.as_str(),
            )
            .incarnation(planned.incarnation)
            .platform(&objects, &hosts)
            .adjust(|settings| settings.stop.list_lag_ms = MilliDuration::ZERO)
            .build();
        let router = RouterDaemon::start(settings)?;
        let peers = router.peers_address();
        let entry = self.standins.host_entry(ROUTER_SERVICE, number, peers);
        println!(
            "Router {} for callers on {}",
            entry.name,
            router.callers_address()
        );
        self.standins.hosts.put(entry);
        self.routers.push(router);
        Ok(())
    }

    /// Applies both tables as one edit.
    pub(crate) async fn apply_tables(&self) -> Result<(), Box<dyn Error>> {
        let pools: Vec<PoolRow> = serde_json::from_str(POOLS)?;
        let routes: Vec<RouteRow> = serde_json::from_str(ROUTES)?;
        let expected = 0;
        let pools = pools
            .into_iter()
            .map(|row| RowChange::PutPool { expected, row });
        let routes = routes
            .into_iter()
            .map(|row| RowChange::PutRoute { expected, row });
        let request = EditRequest {
            id: EditId(uuid::Uuid::now_v7()),
            editor: "quickstart".to_owned(),
            at_ms: MilliTime::default(),
            changes: pools.chain(routes).collect(),
        };
        let objects = self.standins.objects.base_url();
        let store = HttpStore::new(self.client.clone(), &objects, STORE_TIMEOUT);
        let receipt = ConfigEditor::new(Arc::new(store)).submit(&request).await?;
        println!(
            "Tables: accepted under sequence number {}",
            receipt.sequence
        );
        Ok(())
    }

    /// Waits until every router has the tables and knows its targets.
    pub(crate) async fn wait_ready(&self) {
        let start = Instant::now();
        for router in &self.routers {
            while !router.is_ready() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        for url in self.urls() {
            while !self.reaches_target(&url).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        println!(
            "Tables: in force on all routers {:.1?} later",
            start.elapsed()
        );
    }

    /// Returns the base URLs of the routers.
    pub(crate) fn urls(&self) -> Vec<String> {
        let routers = self.routers.iter();
        let urls = routers.map(|router| format!("http://{}", router.callers_address()));
        urls.collect()
    }

    /// Stops the routers without cutting a request.
    pub(crate) fn stop(self) {
        for router in self.routers {
            router.stop();
        }
    }

    /// Looks up a ticket that doesn't exist, which runs nothing.
    async fn reaches_target(&self, url: &str) -> bool {
        let answer = self.client.get(format!("{url}/tickets/none")).send().await;
        answer.is_ok_and(|answer| answer.headers().contains_key("x-standin"))
    }
}
