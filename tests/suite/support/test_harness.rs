//! Test harness: stand-ins in the test process and routers as processes of their own.

use std::sync::Arc;
use std::time::Duration;

use briarrail_config::{ConfigEditor, EditId, EditReceipt, EditRequest, RowChange};
use briarrail_model::{HostEntry, MilliTime};
use briarrail_platform::HttpStore;
use briarrail_standin::{SiteSettings, SiteStandin, free_address};
use reqwest::Client;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{RouterProcess, wait_for};

const ROUTER_SERVICE: &str = "briarraild";
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
const EXCHANGE_SECRET: &str = "secret of the failure tests";

/// Stand-ins, router processes and HTTP client of one test.
pub(crate) struct TestHarness {
    pub(crate) standins: SiteStandin,
    pub(crate) routers: Vec<RouterProcess>,
    pub(crate) client: Client,
    directory: TempDir,
    incarnation: u64,
}

impl TestHarness {
    /// Starts stand-ins, stores the initial tables and starts routers.
    ///
    /// Returns when all routers are ready and know their targets.
    pub(crate) async fn start(settings: SiteSettings, router_count: usize) -> Self {
        let standins = SiteStandin::start(settings)
            .await
            .expect("started stand-ins");
        let client = Client::builder().no_proxy().build().expect("HTTP client");
        let mut harness = Self {
            standins,
            routers: Vec::new(),
            client,
            directory: tempfile::tempdir().expect("directory is writable"),
            incarnation: 0,
        };
        harness.submit_edit(initial_rows()).await;
        for index in 0..router_count {
            let router = harness.start_router(index);
            harness.routers.push(router);
        }
        for router in &harness.routers {
            router.wait_until_ready(&harness.client).await;
        }
        harness.wait_for_targets().await;
        harness
    }

    /// Adds a router to the host list in a new incarnation, and starts its process.
    pub(crate) fn start_router(&mut self, index: usize) -> RouterProcess {
        self.incarnation += 1;
        let [callers_address, operators_address, peers_address] = [(); 3].map(|()| free_address());
        let entry = self
            .standins
            .host_entry(ROUTER_SERVICE, index, peers_address);
        let entry = HostEntry {
            incarnation: self.incarnation,
            ..entry
        };
        let settings = json!({
            "host": {
                "name": entry.name,
                "incarnation": entry.incarnation,
                "data_centre": entry.data_centre,
                "region": entry.region,
            },
            "callers": { "listen": callers_address },
            "operators": { "listen": operators_address },
            "peers": { "listen": peers_address },
            "platform": {
                "object_api_url": self.standins.objects.base_url(),
                "host_list_url": self.standins.hosts.base_url(),
            },
            "exchange": { "keys": [{ "id": "k1", "secret": EXCHANGE_SECRET }] },
            // Long timeouts: the tests check outcomes rather than latency, and the test machine may
            // be slower than a production platform.
            "claims": { "wait_ms": 5_000, "store_timeout_ms": 2_000 },
            "stop": { "list_lag_ms": 2_000 },
            "threads": { "traffic": 2 },
        });
        let file_name = format!("{}-{}.json", entry.name, entry.incarnation);
        let settings_path = self.directory.path().join(file_name);
        std::fs::write(&settings_path, settings.to_string()).expect("directory is writable");
        self.standins.hosts.put(entry.clone());
        RouterProcess::start(&settings_path, entry, callers_address, operators_address)
    }

    /// Submits an edit of the tables, and returns its receipt.
    pub(crate) async fn submit_edit(&self, changes: Vec<RowChange>) -> EditReceipt {
        let base_url = self.standins.objects.base_url();
        let store = HttpStore::new(self.client.clone(), &base_url, STORE_TIMEOUT);
        let request = EditRequest {
            id: EditId(uuid::Uuid::now_v7()),
            editor: "failure-tests".to_owned(),
            at_ms: MilliTime::default(),
            changes,
        };
        let receipt = ConfigEditor::new(Arc::new(store)).submit(&request).await;
        receipt.expect("edit was not accepted")
    }

    /// Returns the base URLs of all routers.
    pub(crate) fn router_urls(&self) -> Vec<String> {
        self.routers.iter().map(RouterProcess::url).collect()
    }

    /// Waits until a ticket lookup through every router reaches a service.
    ///
    /// Lookups add no runs to the ledger.
    async fn wait_for_targets(&self) {
        for router in &self.routers {
            let url = format!("{}/tickets/none", router.url());
            let lookup = || async {
                let response = self.client.get(&url).send().await.ok()?;
                response.headers().contains_key("x-standin").then_some(())
            };
            wait_for("a router knows its targets", lookup).await;
        }
    }
}

/// Returns the initial pools, and routes for chats, ticket posts and ticket lookups.
fn initial_rows() -> Vec<RowChange> {
    let pool = |row: Value| RowChange::PutPool {
        expected: 0,
        row: serde_json::from_value(row).expect("valid pool"),
    };
    let route = |row: Value| RowChange::PutRoute {
        expected: 0,
        row: serde_json::from_value(row).expect("valid route"),
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
