//! Test harness: stand-ins and routers in one process, on loopback addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarrail_config::{ConfigEditor, EditId, EditRequest, RowChange};
use briarrail_model::{HostEntry, HostPhase, MilliDuration, MilliTime, TableSet};
use briarrail_platform::HttpStore;
use briarrail_settings::{DaemonSettings, SettingsBuilder};
use briarrail_standin::{
    EngineSettings, EngineStandin, HostListSettings, HostListStandin, ObjectApiSettings,
    ObjectApiStandin, ServiceSettings, ServiceStandin, StandinHandle, start_engine,
    start_host_list, start_object_api, start_service,
};
use briarrail_status::RouterStatus;
use briarraild::{RouterDaemon, RunningRouter};

const LOOPBACK: &str = "127.0.0.1:0";
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Tables with a model pool `pan` and an at-most-once service pool `weighbridge`.
pub(crate) const TEST_TABLES: &str = r#"{
    "routes": [
        { "name": "chat", "match": { "path_prefix": "/v1/chat" }, "pool": "pan" },
        { "name": "lookup", "match": { "methods": ["GET"], "path_prefix": "/tickets" },
          "pool": "weighbridge" },
        { "name": "post", "match": { "methods": ["POST"], "path_prefix": "/tickets" },
          "pool": "weighbridge", "semantics": "at_most_once" }
    ],
    "pools": [
        { "name": "pan", "kind": "model", "targets": { "service": "pan-model" },
          "reports_load": true, "skew_bound": 1.4 },
        { "name": "weighbridge", "kind": "service", "targets": { "service": "weighbridge" } }
    ]
}"#;

/// Stand-ins, routers and HTTP client of one test.
pub(crate) struct TestHarness {
    pub(crate) objects: StandinHandle<ObjectApiStandin>,
    pub(crate) hosts: StandinHandle<HostListStandin>,
    pub(crate) engines: Vec<StandinHandle<EngineStandin>>,
    pub(crate) services: Vec<StandinHandle<ServiceStandin>>,
    pub(crate) routers: Vec<RunningRouter>,
    pub(crate) client: reqwest::Client,
}

impl TestHarness {
    /// Starts stand-ins and routers, and waits until the routers have applied the test tables.
    pub(crate) async fn start(engines: usize, services: usize, routers: usize) -> Self {
        let mut harness = Self {
            objects: start_object_api(LOOPBACK, ObjectApiSettings::default())
                .await
                .expect("objects"),
            hosts: start_host_list(LOOPBACK, HostListSettings::default())
                .await
                .expect("hosts"),
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("client"),
        };
        for index in 0..engines {
            let engine = start_engine(LOOPBACK, engine_settings())
                .await
                .expect("engine");
            harness.put_live_host(&format!("engine-{index}"), "pan-model", engine.address());
            harness.engines.push(engine);
        }
        for index in 0..services {
            let service = start_service(LOOPBACK, ServiceSettings::default()).await;
            let service = service.expect("service");
            harness.put_live_host(
                &format!("service-{index}"),
                "weighbridge",
                service.address(),
            );
            harness.services.push(service);
        }
        harness.apply_tables(TEST_TABLES).await;
        for index in 0..routers {
            harness
                .add_router(&format!("router-{index}"), |builder| builder)
                .await;
        }
        harness.wait_until_ready().await;
        harness
    }

    /// Adds or replaces a live host in the host list.
    pub(crate) fn put_live_host(&self, name: &str, service: &str, address: SocketAddr) {
        self.put_host(name, service, address, HostPhase::Live);
    }

    /// Adds or replaces a host in the host list.
    pub(crate) fn put_host(
        &self,
        name: &str,
        service: &str,
        address: SocketAddr,
        phase: HostPhase,
    ) {
        self.hosts.put(HostEntry {
            name: name.into(),
            service: service.to_owned(),
            data_centre: "dc-a".into(),
            region: "coast".into(),
            address,
            phase,
            incarnation: 1,
            labels: Default::default(),
        });
    }

    /// Stores new pools and routes with the configuration editor.
    pub(crate) async fn apply_tables(&self, text: &str) {
        let tables: TableSet = serde_json::from_str(text).expect("tables");
        let pools = tables
            .pools
            .into_iter()
            .map(|row| RowChange::PutPool { expected: 0, row });
        let routes = tables
            .routes
            .into_iter()
            .map(|row| RowChange::PutRoute { expected: 0, row });
        let request = EditRequest {
            id: EditId(uuid::Uuid::now_v7()),
            editor: "test".to_owned(),
            at_ms: MilliTime::from_millis(1),
            changes: pools.chain(routes).collect(),
        };
        let store = HttpStore::new(
            self.client.clone(),
            &self.objects.base_url(),
            Duration::from_secs(10),
        );
        ConfigEditor::new(Arc::new(store))
            .submit(&request)
            .await
            .expect("accepted edit");
    }

    /// Starts a router with adjusted settings and adds it to the host list.
    pub(crate) async fn add_router<F>(&mut self, name: &str, adjust: F)
    where
        F: FnOnce(SettingsBuilder) -> SettingsBuilder,
    {
        let builder = DaemonSettings::builder()
            .host(name, "dc-a", "coast")
            .platform(&self.objects.base_url(), &self.hosts.base_url());
        let builder = builder.adjust(|settings| {
            settings.stop.list_lag_ms = MilliDuration::ZERO;
            settings.claims.wait_ms = MilliDuration::from_secs(5);
            settings.claims.store_timeout_ms = MilliDuration::from_secs(2);
        });
        let settings = adjust(builder).build();
        let router = tokio::task::spawn_blocking(|| RouterDaemon::start(settings)).await;
        let router = router.expect("thread").expect("router");
        self.put_live_host(name, "briarraild", router.peers_address());
        self.routers.push(router);
    }

    /// Waits until every router is ready.
    pub(crate) async fn wait_until_ready(&self) {
        let all = async {
            while !self.routers.iter().all(RunningRouter::is_ready) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all)
            .await
            .expect("routers are ready");
    }

    /// Fetches the status of a router.
    pub(crate) async fn status(&self, router: usize) -> RouterStatus {
        let url = format!("http://{}/status", self.routers[router].operators_address());
        let response = self.client.get(url).send().await.expect("response");
        response.json().await.expect("status")
    }

    /// Waits until every router's status shows `live` live targets in a pool.
    pub(crate) async fn wait_for_live_targets(&self, pool: &str, live: usize) {
        let all = async {
            for router in 0..self.routers.len() {
                while self.count_live_targets(router, pool).await != live {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all)
            .await
            .expect("routers know the targets");
    }

    async fn count_live_targets(&self, router: usize, pool: &str) -> usize {
        let status = self.status(router).await;
        let pool = status.pools.iter().find(|status| status.pool == pool);
        pool.map_or(0, |pool| pool.count_targets(HostPhase::Live))
    }

    /// Returns the URL of a path on a router's address for callers.
    pub(crate) fn url(&self, router: usize, path: &str) -> String {
        format!("http://{}{path}", self.routers[router].callers_address())
    }

    /// Builds a chat request.
    pub(crate) fn chat_request(
        &self,
        router: usize,
        chat: &str,
        body: &str,
    ) -> reqwest::RequestBuilder {
        self.client
            .post(self.url(router, "/v1/chat/completions"))
            .header("x-customer", "magadi")
            .header("x-chat-id", chat)
            .header("content-type", "application/json")
            .body(body.to_owned())
    }

    /// Builds a request that posts a ticket with an idempotency key.
    pub(crate) fn ticket_request(
        &self,
        router: usize,
        key: &str,
        body: &str,
    ) -> reqwest::RequestBuilder {
        self.client
            .post(self.url(router, "/tickets"))
            .header("x-customer", "magadi")
            .header("idempotency-key", key)
            .body(body.to_owned())
    }

    /// Stops all routers gracefully.
    pub(crate) async fn stop(self) {
        for router in self.routers {
            tokio::task::spawn_blocking(|| router.stop())
                .await
                .expect("stopped");
        }
    }
}

/// Returns the body of a chat request for a stream of `tokens` tokens.
pub(crate) fn chat_body(text: &str, tokens: u64) -> String {
    format!(
        r#"{{"model":"pan","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"{text}"}}]}}"#
    )
}

/// Concatenates the token texts of an event stream.
pub(crate) fn join_tokens(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    let texts = chunks.filter_map(|chunk| {
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    texts.collect()
}

fn engine_settings() -> EngineSettings {
    EngineSettings {
        first_token: Duration::from_millis(2),
        token_interval: Duration::from_millis(1),
        ..EngineSettings::default()
    }
}

/// Returns a new idempotency key.
pub(crate) fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
