//! Starts the gateway and its threads.

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use briarrail_dispatch::MemoryBudget;
use briarrail_settings::{GatewaySettings, SettingsErrors};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::control::{
    CHECK_INTERVAL, ControlInputs, ControlListeners, exit_without_traffic, log_fleet_settings,
    run_control,
};
use crate::telemetry::{GatewayMetrics, flush_logs, init_json_logs};
use crate::traffic::{
    CallerMemory, ControlUpdate, OriginCall, SharedState, StopPhase, TargetConnections,
    TrafficState, serve_callers,
};
use crate::{ProcessClock, SiteStore, WireDialect};

/// Share of the file descriptors that callers may use; the rest is for targets, other routers and
/// the store.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.6;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for the store, other routers, readiness checks and metrics.
const CONTROL_DESCRIPTORS: usize = 64;
/// Minimum number of connections to targets, for any number of descriptors.
const MIN_TARGET_CONNECTIONS: usize = 16;

/// Unit of the memory in the settings, in bytes.
const MEGABYTE: f64 = 1e6;

/// Timeout for writing the last log lines; a part of the margin reserved at shutdown.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Why the gateway failed to start or to run.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum GatewayError {
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    /// A listener could not be bound to its address.
    #[error(
        "{setting}: the address can't be listened on: found {address} (hint: {error}; choose \
         another address or stop the process that uses it)"
    )]
    Listen {
        /// The setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A thread could not be started, or a listener or a signal handler could not be registered.
    #[error("cannot start the gateway: {0}")]
    Start(#[from] std::io::Error),
    /// A task without which the gateway can't run has panicked.
    #[error("the task {0} has failed (hint: see the event \"panicked\" in the log)")]
    TaskFailed(&'static str),
    /// The metrics could not be initialized.
    #[error("cannot initialize the metrics: {0}")]
    Metrics(String),
}

/// Runs a gateway until it receives SIGTERM.
///
/// `open_store` creates the client of the store; it is called on the thread that uses the client.
///
/// # Errors
///
/// Fails if the settings are invalid or the gateway cannot be started.
pub fn run_gateway<D, S, O>(path: &Path, dialect: D, open_store: O) -> Result<(), GatewayError>
where
    D: WireDialect,
    S: SiteStore,
    O: FnOnce(SocketAddr) -> S,
{
    let settings = GatewaySettings::from_file(path)?;
    let callers = bind("callers.listen", settings.callers)?;
    let (origin_sender, origin_calls) = unbounded_channel();
    let listeners = ControlListeners {
        peers: bind("peers.listen", settings.peers)?,
        readiness: bind("readiness.listen", settings.readiness)?,
        metrics: bind("metrics.listen", settings.metrics)?,
        origins: bind_datagrams("peers.listen", settings.peers)?,
        origin_calls,
    };
    let dropped_lines = init_json_logs(&settings.logs.filter);
    log_panics();
    tracing::info!(
        event = "started",
        name = %settings.name,
        data_centre = %settings.data_centre,
        callers = %settings.callers,
        peers = %settings.peers,
        store = %settings.store,
        version = env!("CARGO_PKG_VERSION"),
    );
    log_fleet_settings("settings_read", &settings.fleet, "start");
    let metrics = GatewayMetrics::new(dropped_lines).map_err(GatewayError::Metrics)?;
    let metrics = Arc::new(metrics);
    let clock = ProcessClock::start();
    let shared = Arc::new(SharedState::new(settings.fleet));
    let (updates, update_receiver) = unbounded_channel();
    let (stop, stop_receiver) = watch::channel(StopPhase::Serving);
    let traffic = TrafficInputs {
        budget: caller_budget(&settings),
        target_connections: target_connections(&settings),
        dialect,
        clock,
        shared: Arc::clone(&shared),
        metrics: Arc::clone(&metrics),
        updates: update_receiver,
        stop: stop_receiver,
        origin_calls: origin_sender,
    };
    let traffic_runtime = new_runtime()?;
    std::thread::Builder::new()
        .name("traffic".into())
        .spawn(move || serve_traffic(&traffic_runtime, callers, traffic))?;
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
    let result = LocalSet::new().block_on(&new_runtime()?, run_control(inputs, listeners, store));
    flush_logs(LOG_FLUSH_TIMEOUT);
    result
}

fn bind(setting: &'static str, address: SocketAddr) -> Result<std::net::TcpListener, GatewayError> {
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|error| GatewayError::Listen {
        setting,
        address,
        error,
    })
}

/// Binds a socket for datagrams, which have ports of their own.
fn bind_datagrams(
    setting: &'static str,
    address: SocketAddr,
) -> Result<std::net::UdpSocket, GatewayError> {
    let bound = std::net::UdpSocket::bind(address).and_then(|socket| {
        socket.set_nonblocking(true)?;
        Ok(socket)
    });
    bound.map_err(|error| GatewayError::Listen {
        setting,
        address,
        error,
    })
}

/// Returns the limits on what is held for callers, from the machine's memory and descriptors.
fn caller_budget(settings: &GatewaySettings) -> MemoryBudget {
    let max_connections = settings.max_descriptors as f64 * CALLER_DESCRIPTOR_SHARE;
    MemoryBudget::new(settings.memory_mb * MEGABYTE, max_connections as usize)
}

/// Returns the maximum number of connections to targets.
fn target_connections(settings: &GatewaySettings) -> usize {
    let callers = settings.max_descriptors as f64 * CALLER_DESCRIPTOR_SHARE;
    let others = callers as usize + FILE_DESCRIPTORS + CONTROL_DESCRIPTORS;
    let left = (settings.max_descriptors as usize).saturating_sub(others);
    left.max(MIN_TARGET_CONNECTIONS)
}

fn new_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Inputs of the traffic thread.
struct TrafficInputs<D> {
    budget: MemoryBudget,
    /// Maximum number of connections to targets.
    target_connections: usize,
    dialect: D,
    clock: ProcessClock,
    shared: Arc<SharedState>,
    metrics: Arc<GatewayMetrics>,
    updates: UnboundedReceiver<ControlUpdate>,
    stop: watch::Receiver<StopPhase>,
    origin_calls: UnboundedSender<OriginCall>,
}

/// Writes a log line for each panic, in place of the report on standard error, whose backtrace would
/// hold up the thread for seconds.
fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let thread = std::thread::current();
        tracing::error!(
            event = "panicked",
            thread = thread.name(),
            location = info.location().map(ToString::to_string),
            message = info.payload_as_str(),
        );
    }));
}

/// Runs the traffic thread, and ends the process if it fails.
fn serve_traffic<D>(runtime: &Runtime, listener: std::net::TcpListener, inputs: TrafficInputs<D>)
where
    D: WireDialect,
{
    match catch_unwind(AssertUnwindSafe(|| run_traffic(runtime, listener, inputs))) {
        Ok(Ok(())) => {}
        Ok(Err(reason)) => exit_without_traffic(&reason),
        Err(_) => exit_without_traffic("the traffic thread has panicked"),
    }
}

/// Counts the turns of the traffic thread indefinitely.
async fn count_turns(shared: Arc<SharedState>) {
    loop {
        shared.traffic_turns.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Serves callers until the control thread ends.
///
/// # Errors
///
/// Fails with the reason if callers can't be served any more.
fn run_traffic<D>(
    runtime: &Runtime,
    listener: std::net::TcpListener,
    inputs: TrafficInputs<D>,
) -> Result<(), String>
where
    D: WireDialect,
{
    let TrafficInputs {
        budget,
        target_connections,
        dialect,
        clock,
        shared,
        metrics,
        mut updates,
        stop,
        origin_calls,
    } = inputs;
    LocalSet::new().block_on(runtime, async move {
        let listener = TcpListener::from_std(listener).map_err(|error| error.to_string())?;
        tokio::task::spawn_local(count_turns(Arc::clone(&shared)));
        let memory = CallerMemory::new(budget, clock, Arc::clone(&metrics));
        let state = Rc::new(TrafficState::new(
            dialect,
            clock,
            shared,
            metrics,
            memory,
            TargetConnections::new(target_connections),
            origin_calls,
        ));
        let serving = serve_callers(Rc::clone(&state), listener, stop);
        let mut serving = tokio::task::spawn_local(serving);
        loop {
            tokio::select! {
                update = updates.recv() => match update {
                    Some(update) => state.apply(update),
                    None => return Ok(()),
                },
                served = &mut serving, if !serving.is_finished() => {
                    served.map_err(|error| error.to_string())?;
                }
            }
        }
    })
}
