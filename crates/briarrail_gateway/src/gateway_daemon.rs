//! Starts the threads of the gateway.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarrail_settings::{GatewaySettings, SettingsErrors};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::control::{ControlInputs, ControlListeners, log_terms, run_control};
use crate::telemetry::{GatewayMetrics, flush_logs, init_json_logs};
use crate::traffic::{ControlUpdate, SharedState, StopPhase, TrafficState, serve_callers};
use crate::{ProcessClock, SiteStore, WireDialect};

/// Part of the descriptors that callers may use; the rest is for targets, peers and the store.
const CALLER_DESCRIPTORS: f64 = 0.6;

/// Longest wait for the last log lines; a part of the margin kept back at a stop.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Why the gateway did not run.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum GatewayError {
    /// The settings have mistakes.
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    /// An address could not be listened on.
    #[error(
        "{setting}: the address can't be listened on: found {address} (hint: {error}; choose \
         another address or end the program that uses it)"
    )]
    Listen {
        /// The setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
    /// A thread or a signal could not be had.
    #[error("start failed: {0}")]
    Start(#[from] std::io::Error),
    /// The metrics could not be set up.
    #[error("metrics could not be set up: {0}")]
    Metrics(String),
}

/// Runs a gateway until it is told to stop by SIGTERM.
///
/// `open_store` makes the client of the store, on the thread that uses it.
///
/// # Errors
///
/// Fails when the settings have mistakes, or the gateway can't be started.
pub fn run_gateway<D, S, O>(path: &Path, dialect: D, open_store: O) -> Result<(), GatewayError>
where
    D: WireDialect,
    S: SiteStore,
    O: FnOnce(SocketAddr) -> S,
{
    let settings = GatewaySettings::from_file(path)?;
    let callers = listen("callers.listen", settings.callers)?;
    let listeners = ControlListeners {
        peers: listen("peers.listen", settings.peers)?,
        readiness: listen("readiness.listen", settings.readiness)?,
        metrics: listen("metrics.listen", settings.metrics)?,
    };
    let dropped_lines = init_json_logs(&settings.logs.filter);
    tracing::info!(
        event = "started",
        name = %settings.name,
        data_centre = %settings.data_centre,
        callers = %settings.callers,
        peers = %settings.peers,
        store = %settings.store,
        version = env!("CARGO_PKG_VERSION"),
    );
    log_terms("settings_read", &settings.fleet, "start");
    let metrics = GatewayMetrics::new(dropped_lines).map_err(GatewayError::Metrics)?;
    let metrics = Arc::new(metrics);
    let clock = ProcessClock::start();
    let shared = Arc::new(SharedState::new(settings.fleet));
    let (updates, received) = unbounded_channel();
    let (stop, stop_seen) = watch::channel(StopPhase::Serving);
    let traffic = TrafficInputs {
        max_callers: (settings.max_descriptors as f64 * CALLER_DESCRIPTORS) as usize,
        dialect,
        clock,
        shared: Arc::clone(&shared),
        metrics: Arc::clone(&metrics),
        updates: received,
        stop: stop_seen,
    };
    let traffic_runtime = new_runtime()?;
    std::thread::Builder::new()
        .name("traffic".into())
        .spawn(move || run_traffic(&traffic_runtime, callers, traffic))?;
    let store = open_store(settings.store);
    let inputs = ControlInputs {
        settings,
        settings_path: path.to_owned(),
        dialect,
        clock,
        shared,
        metrics,
        updates,
        stop,
    };
    let ended = LocalSet::new().block_on(&new_runtime()?, run_control(inputs, listeners, store));
    flush_logs(FLUSH_LIMIT);
    Ok(ended?)
}

fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<std::net::TcpListener, GatewayError> {
    let listening = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    listening.map_err(|error| GatewayError::Listen {
        setting,
        address,
        error,
    })
}

fn new_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// What the traffic thread starts with.
struct TrafficInputs<D> {
    max_callers: usize,
    dialect: D,
    clock: ProcessClock,
    shared: Arc<SharedState>,
    metrics: Arc<GatewayMetrics>,
    updates: UnboundedReceiver<ControlUpdate>,
    stop: watch::Receiver<StopPhase>,
}

fn run_traffic<D>(runtime: &Runtime, listener: std::net::TcpListener, inputs: TrafficInputs<D>)
where
    D: WireDialect,
{
    let TrafficInputs {
        max_callers,
        dialect,
        clock,
        shared,
        metrics,
        mut updates,
        stop,
        ..
    } = inputs;
    LocalSet::new().block_on(runtime, async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(event = "callers_not_served", %error);
                return;
            }
        };
        let state = Rc::new(TrafficState::new(dialect, clock, shared, metrics));
        let callers = serve_callers(Rc::clone(&state), listener, max_callers, stop);
        tokio::task::spawn_local(callers);
        while let Some(update) = updates.recv().await {
            state.apply(update);
        }
    });
}
