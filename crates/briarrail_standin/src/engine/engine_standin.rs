//! The engine over HTTP.

use std::io;
use std::sync::Arc;

use http::{Method, StatusCode};

use crate::engine::engine_state::EngineState;
use crate::engine::{EngineCounts, EngineFaults, EngineOrder, EngineSettings, LoadReport};
use crate::server::{
    FaultInjector, StandinApp, StandinCall, StandinHandle, StandinReply, start_standin,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const LOAD_PATH: &str = "/v1/load";
const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
const ORDERS_PATH: &str = "/v1/orders";
const STREAM_PREFIX: &str = "/v1/streams/";
const COUNTS_PATH: &str = "/_standin/counts";
const NAME_HEADER: &str = "x-standin";

/// Stand-in of a model engine.
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
    /// Returns the switches of the faults.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<EngineFaults> {
        self.app().state.faults()
    }

    /// Returns the counts of what the engine did.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.app().state.read_counts()
    }

    /// Returns the load as the engine reports it.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.app().state.read_load()
    }

    /// Returns the orders taken so far.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.app().state.taken_orders()
    }
}

impl StandinApp for EngineStandin {
    type Faults = EngineFaults;

    fn faults(&self) -> &FaultInjector<EngineFaults> {
        self.state.faults()
    }

    async fn answer(&self, call: StandinCall) -> StandinReply {
        let state = &self.state;
        let reply = match (&call.method, call.path.as_str()) {
            (&Method::POST, CHAT_PATH) => state.chat(&call).await,
            (&Method::GET, LOAD_PATH) => state.load(),
            (&Method::GET, CACHE_EVENTS_PATH) => state.cache_events(&call),
            (&Method::POST, ORDERS_PATH) => state.order(&call),
            (&Method::DELETE, path) => match path.strip_prefix(STREAM_PREFIX) {
                Some(request_id) => state.cancel(request_id),
                None => StandinReply::not_run(StatusCode::NOT_FOUND, "no such path"),
            },
            _ => StandinReply::not_run(StatusCode::NOT_FOUND, "no such path"),
        };
        reply.with_header(NAME_HEADER, state.name())
    }

    fn inspect(&self, call: &StandinCall) -> StandinReply {
        if call.path != COUNTS_PATH {
            return StandinReply::error(StatusCode::NOT_FOUND, "no such path");
        }
        StandinReply::json(StatusCode::OK, &self.state.read_counts())
    }
}
