//! A site with routers.

use std::sync::Arc;
use std::time::Duration;

use briarrail_config::{ConfigEditor, EditId, EditReceipt, EditRequest, RowChange};
use briarrail_model::{HostEntry, MilliTime};
use briarrail_platform::HttpStore;
use briarrail_standin::{SiteSettings, SiteStandin};
use reqwest::Client;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::port_picker::free_address;
use crate::support::{RouterProcess, eventually};

const ROUTER_SERVICE: &str = "briarraild";
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
const EXCHANGE_SECRET: &str = "secret of the failure tests";

/// Stand-ins, routers and tables.
pub(crate) struct TestSite {
    pub(crate) standins: SiteStandin,
    pub(crate) routers: Vec<RouterProcess>,
    pub(crate) client: Client,
    directory: TempDir,
    incarnation: u64,
}

impl TestSite {
    /// Starts stand-ins, writes the tables, starts routers and waits until they are ready.
    pub(crate) async fn start(settings: SiteSettings, routers: usize) -> Self {
        let standins = SiteStandin::start(settings).await.expect("free ports");
        let client = Client::builder().no_proxy().build().expect("a client");
        let mut site = Self {
            standins,
            routers: Vec::new(),
            client,
            directory: tempfile::tempdir().expect("a writable directory"),
            incarnation: 0,
        };
        site.submit(first_rows()).await;
        for number in 0..routers {
            let router = site.start_router(number);
            site.routers.push(router);
        }
        for router in &site.routers {
            router.wait_ready(&site.client).await;
        }
        site.wait_targets_known().await;
        site
    }

    /// Starts the router of a number, in a new incarnation, and lists it.
    pub(crate) fn start_router(&mut self, number: usize) -> RouterProcess {
        self.incarnation += 1;
        let [callers, operators, peers] = [(); 3].map(|()| free_address());
        let listed = self.standins.host_entry(ROUTER_SERVICE, number, peers);
        let entry = HostEntry {
            incarnation: self.incarnation,
            ..listed
        };
        let settings = json!({
            "host": {
                "name": entry.name,
                "incarnation": entry.incarnation,
                "data_centre": entry.data_centre,
                "region": entry.region,
            },
            "callers": { "listen": callers },
            "operators": { "listen": operators },
            "peers": { "listen": peers },
            "platform": {
                "object_api_url": self.standins.objects.base_url(),
                "host_list_url": self.standins.hosts.base_url(),
            },
            "exchange": { "keys": [{ "id": "k1", "secret": EXCHANGE_SECRET }] },
            // Outcomes are checked here, not waits; a busy machine may be slower than a platform.
            "claims": { "wait_ms": 5_000, "store_timeout_ms": 2_000 },
            "stop": { "list_lag_ms": 2_000 },
            "threads": { "traffic": 2 },
        });
        let name = format!("{}-{}.json", entry.name, entry.incarnation);
        let file = self.directory.path().join(name);
        std::fs::write(&file, settings.to_string()).expect("a writable directory");
        self.standins.hosts.put(entry.clone());
        RouterProcess::start(&file, entry, callers, operators)
    }

    /// Submits an edit.
    pub(crate) async fn submit(&self, changes: Vec<RowChange>) -> EditReceipt {
        let base_url = self.standins.objects.base_url();
        let store = HttpStore::new(self.client.clone(), &base_url, STORE_TIMEOUT);
        let request = EditRequest {
            id: EditId(uuid::Uuid::now_v7()),
            editor: "failure-tests".to_owned(),
            at_ms: MilliTime::default(),
            changes,
        };
        let submitted = ConfigEditor::new(Arc::new(store)).submit(&request).await;
        submitted.expect("the edit is accepted")
    }

    /// Returns the base URLs of all routers.
    pub(crate) fn urls(&self) -> Vec<String> {
        self.routers.iter().map(RouterProcess::url).collect()
    }

    /// Waits until every router reaches a plain service; the lookups run nothing.
    async fn wait_targets_known(&self) {
        for router in &self.routers {
            let url = format!("{}/tickets/none", router.url());
            let look_up = || async {
                let answer = self.client.get(&url).send().await.ok()?;
                answer.headers().contains_key("x-standin").then_some(())
            };
            eventually("a router knows its targets", look_up).await;
        }
    }
}

/// Returns the rows of the Saltworks: chats, ticket posts and ticket lookups.
fn first_rows() -> Vec<RowChange> {
    let pool = |row: Value| RowChange::PutPool {
        expected: 0,
        row: serde_json::from_value(row).expect("a pool"),
    };
    let route = |row: Value| RowChange::PutRoute {
        expected: 0,
        row: serde_json::from_value(row).expect("a route"),
    };
    vec![
        pool(json!({
            "name": "pan-model",
            "kind": "model",
            "targets": { "service": "pan-model" },
            "reports_load": true,
        })),
        pool(json!({
            "name": "weighbridge",
            "kind": "service",
            "targets": { "service": "weighbridge" },
        })),
        route(json!({
            "name": "chats",
            "match": { "path_prefix": "/v1/chat/completions" },
            "pool": "pan-model",
        })),
        route(json!({
            "name": "ticket-posts",
            "match": { "path_prefix": "/tickets", "methods": ["POST"] },
            "pool": "weighbridge",
            "semantics": "at_most_once",
            "deadline_ms": 20_000,
        })),
        route(json!({
            "name": "ticket-lookups",
            "match": { "path_prefix": "/tickets", "methods": ["GET"] },
            "pool": "weighbridge",
        })),
    ]
}
