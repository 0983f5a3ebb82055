//! HTTP API of an engine.

use std::io;
use std::sync::Arc;

use http::{Method, StatusCode};

use crate::engine::engine_state::EngineState;
use crate::engine::{EngineCounts, EngineFaults, EngineOrder, EngineSettings, LoadReport};
use crate::server::{
    FaultInjector, StandinApp, StandinHandle, StandinRequest, StandinResponse, start_standin,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const LOAD_PATH: &str = "/v1/load";
const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
const ORDERS_PATH: &str = "/v1/orders";
const STREAMS_PREFIX: &str = "/v1/streams/";
const COUNTS_PATH: &str = "/_standin/counts";
const NAME_HEADER: &str = "x-standin";

/// Stand-in for a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    state: Arc<EngineState>,
}

/// Starts an engine on an address such as `127.0.0.1:0`.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start_engine(
    address: &str,
    settings: EngineSettings,
) -> io::Result<StandinHandle<EngineStandin>> {
    let state = Arc::new(EngineState::new(settings));
    start_standin(address, EngineStandin { state }).await
}

impl StandinHandle<EngineStandin> {
    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<EngineFaults> {
        self.app().state.faults()
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.app().state.read_counts()
    }

    /// Returns the load, with the configured reporting delay.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.app().state.read_load()
    }

    /// Returns the accepted orders, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.app().state.accepted_orders()
    }
}

impl StandinApp for EngineStandin {
    type Faults = EngineFaults;

    fn faults(&self) -> &FaultInjector<EngineFaults> {
        self.state.faults()
    }

    async fn handle(&self, request: StandinRequest) -> StandinResponse {
        let state = &self.state;
        let response = match (&request.method, request.path.as_str()) {
            (&Method::POST, CHAT_PATH) => state.complete_chat(&request).await,
            (&Method::GET, LOAD_PATH) => state.load_response(),
            (&Method::GET, CACHE_EVENTS_PATH) => state.cache_events_response(&request),
            (&Method::POST, ORDERS_PATH) => state.accept_order(&request),
            (&Method::DELETE, path) => match path.strip_prefix(STREAMS_PREFIX) {
                Some(request_id) => state.cancel_stream(request_id),
                None => StandinResponse::not_run(StatusCode::NOT_FOUND, "no such path"),
            },
            _ => StandinResponse::not_run(StatusCode::NOT_FOUND, "no such path"),
        };
        response.with_header(NAME_HEADER, state.name())
    }

    fn inspect(&self, request: &StandinRequest) -> StandinResponse {
        if request.path != COUNTS_PATH {
            return StandinResponse::error(StatusCode::NOT_FOUND, "no such path");
        }
        StandinResponse::json(StatusCode::OK, &self.state.read_counts())
    }
}
