//! Site that the example runs against.

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

/// Stand-ins and routers on loopback addresses.
pub(crate) struct DemoSite {
    pub(crate) standins: SiteStandin,
    pub(crate) client: Client,
    routers: Vec<RunningRouter>,
}

impl DemoSite {
    /// Starts stand-ins for 12 engines, 4 services, the object API and the host list.
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

    /// Starts a router and adds it to the host list.
    pub(crate) fn add_router(&mut self, number: usize) -> Result<(), Box<dyn Error>> {
        let ephemeral_address = "127.0.0.1:0".parse()?;
        let host = self
            .standins
            .host_entry(ROUTER_SERVICE, number, ephemeral_address);
        let objects = self.standins.objects.base_url();
        let hosts = self.standins.hosts.base_url();
        let settings = DaemonSettings::builder()
            .host(
                host.name.as_str(),
                host.data_centre.as_str(),
                host.region.as_str(),
            )
            .incarnation(host.incarnation)
            .platform(&objects, &hosts)
            .adjust(|settings| settings.stop.list_lag_ms = MilliDuration::ZERO)
            .build();
        let router = RouterDaemon::start(settings)?;
        let peers_address = router.peers_address();
        let host_entry = self
            .standins
            .host_entry(ROUTER_SERVICE, number, peers_address);
        println!(
            "Router {}: listening for callers on {}",
            host_entry.name,
            router.callers_address()
        );
        self.standins.hosts.put(host_entry);
        self.routers.push(router);
        Ok(())
    }

    /// Applies both tables in a single edit.
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
        println!("Tables: accepted with sequence number {}", receipt.sequence);
        Ok(())
    }

    /// Waits until every router has loaded the tables and forwards requests to a target.
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
            "Tables: active on all routers after {:.1?}",
            start.elapsed()
        );
    }

    /// Returns the base URLs of the routers.
    pub(crate) fn urls(&self) -> Vec<String> {
        let routers = self.routers.iter();
        let urls = routers.map(|router| format!("http://{}", router.callers_address()));
        urls.collect()
    }

    /// Stops the routers gracefully, without aborting requests.
    pub(crate) fn stop(self) {
        for router in self.routers {
            router.stop();
        }
    }

    /// Requests a ticket that doesn't exist, which has no side effects, and checks whether a target
    /// answered.
    async fn reaches_target(&self, url: &str) -> bool {
        let response = self.client.get(format!("{url}/tickets/none")).send().await;
        response.is_ok_and(|response| response.headers().contains_key("x-standin"))
    }
}
