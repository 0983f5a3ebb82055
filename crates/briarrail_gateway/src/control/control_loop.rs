//! Startup, signal handling and shutdown of the control thread.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarrail_dispatch::{
    CrashQuarantine, EvacuationLedger, ReleaseGate, TargetRoster, ViewTime, ViewTracker,
};
use briarrail_model::MilliDuration;
use briarrail_peer::{FrameCodec, KeyRing, SharedKey, SyncRouter};
use briarrail_settings::{FleetLimits, GatewaySettings};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use super::SharedControlState;
use super::config_watcher::ConfigWatcher;
use super::control_state::ControlState;
use super::evacuation_watcher::EvacuationWatcher;
use super::hub_server::serve_peers;
use super::hub_sync::run_hub_sync;
use super::monitoring_server::serve_monitoring;
use super::origin_exchange::{OriginExchange, run_origin_exchange};
use super::release_admission::AdmissionCall;
use super::release_records::maintain_releases;
use super::roster_log::RosterLog;
use super::router_registration::maintain_registration;
use super::store_watcher::run_watcher;
use super::suspect_exchange::maintain_blocked_suspects;
use super::target_watcher::TargetWatcher;
use super::task_supervisor::{spawn_essential, spawn_restarting};
use super::thread_monitor::watch_traffic_thread;
use super::unreadable_entries::UnreadableEntries;
use crate::fleet_counts::FleetCounts;
use crate::gateway_daemon::GatewayError;
use crate::telemetry::GatewayMetrics;
use crate::traffic::{ControlUpdate, OriginCall, SharedState, StopPhase};
use crate::{ProcessClock, SiteStore, WireDialect};

/// Time after SIGTERM during which requests are still accepted.
///
/// The load balancer removes the router after two failed readiness checks one second apart;
/// meanwhile, responses ask callers to reconnect.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(3_000);
/// Part of the shutdown grace period that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which a shutdown checks the number of requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Bandwidth to other routers that one CPU core can sustain, in Mbit/s, derived from the CPU cost
/// of a sync.
const MBPS_PER_CORE: f64 = 400.0;
/// Interval at which the settings file is checked; it may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Listeners of the control thread.
pub(crate) struct ControlListeners {
    pub(crate) peers: std::net::TcpListener,
    pub(crate) readiness: std::net::TcpListener,
    pub(crate) metrics: std::net::TcpListener,
    /// Socket for messages of the other routers about streams.
    pub(crate) origins: std::net::UdpSocket,
    /// Messages of the traffic thread about streams.
    pub(crate) origin_calls: UnboundedReceiver<OriginCall>,
}

/// Inputs of the control thread.
pub(crate) struct ControlInputs<D> {
    pub(crate) settings: GatewaySettings,
    pub(crate) settings_path: PathBuf,
    pub(crate) dialect: D,
    pub(crate) clock: ProcessClock,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) updates: UnboundedSender<ControlUpdate>,
    pub(crate) stop: watch::Sender<StopPhase>,
}

/// Runs the control thread until the shutdown is complete.
///
/// # Errors
///
/// Fails if a listener or a signal handler cannot be registered, or after a planned stop if a task that
/// can't be started again has panicked.
pub(crate) async fn run_control<D, S>(
    inputs: ControlInputs<D>,
    listeners: ControlListeners,
    store: S,
) -> Result<(), GatewayError>
where
    D: WireDialect,
    S: SiteStore,
{
    let peers = TcpListener::from_std(listeners.peers)?;
    let readiness = TcpListener::from_std(listeners.readiness)?;
    let metrics = TcpListener::from_std(listeners.metrics)?;
    let origins = UdpSocket::from_std(listeners.origins)?;
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sighup = signal(SignalKind::hangup())?;
    let (admissions, admission_calls) = unbounded_channel();
    let state = Rc::new(RefCell::new(new_state(&inputs, admissions)));
    let (failures, mut failed_tasks) = unbounded_channel();
    spawn_store_tasks(&state, &store);
    let serving = serve_peers(Rc::clone(&state), peers);
    spawn_essential("peers", failures.clone(), serving);
    let exchange = OriginExchange::new(Rc::clone(&state), store.clone(), origins);
    let exchanging = run_origin_exchange(exchange, listeners.origin_calls, admission_calls);
    spawn_essential("stream origins", failures.clone(), exchanging);
    let readiness_state = Rc::clone(&state);
    let path = inputs.dialect.readiness_path();
    let serving = serve_monitoring(readiness, move |request| {
        check_readiness(&readiness_state.borrow(), path, request)
    });
    spawn_essential("readiness", failures.clone(), serving);
    let gateway_metrics = Arc::clone(&inputs.metrics);
    let serving = serve_monitoring(metrics, move |_| {
        Response::new(Full::new(Bytes::from(gateway_metrics.encode())))
    });
    spawn_essential("metrics", failures.clone(), serving);
    let watching = watch_traffic_thread(Arc::clone(&inputs.shared));
    spawn_essential("traffic thread", failures, watching);
    let mut settings_poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    let mut modified_at = modification_time(&inputs.settings_path);
    let failed_task = loop {
        tokio::select! {
            _ = sigterm.recv() => break None,
            task = failed_tasks.recv() => break task,
            _ = sighup.recv() => {
                reload_settings(&inputs, "signal");
                modified_at = modification_time(&inputs.settings_path);
            }
            _ = settings_poll.tick() => {
                let found = modification_time(&inputs.settings_path);
                if found != modified_at {
                    modified_at = found;
                    reload_settings(&inputs, "file");
                }
            }
        }
    };
    shut_down(&inputs, &store).await;
    failed_task.map_or(Ok(()), |task| Err(GatewayError::TaskFailed(task)))
}

/// Starts the tasks that follow the store and the other routers.
fn spawn_store_tasks<S>(state: &SharedControlState, store: &S)
where
    S: SiteStore,
{
    let inputs = || (Rc::clone(state), store.clone());
    let (state, _) = inputs();
    spawn_restarting("sync", move || run_hub_sync(Rc::clone(&state)));
    let (state, store) = inputs();
    spawn_restarting("configuration", move || {
        let watcher = ConfigWatcher {
            state: Rc::clone(&state),
            store: store.clone(),
        };
        run_watcher(Rc::clone(&state), watcher)
    });
    let (state, store) = inputs();
    spawn_restarting("targets", move || {
        let watcher = TargetWatcher {
            state: Rc::clone(&state),
            store: store.clone(),
        };
        run_watcher(Rc::clone(&state), watcher)
    });
    let (state, store) = inputs();
    spawn_restarting("evacuations", move || {
        let watcher = EvacuationWatcher {
            state: Rc::clone(&state),
            store: store.clone(),
        };
        run_watcher(Rc::clone(&state), watcher)
    });
    let (state, store) = inputs();
    spawn_restarting("registration", move || {
        maintain_registration(Rc::clone(&state), store.clone())
    });
    let (state, store) = inputs();
    spawn_restarting("blocked suspects", move || {
        maintain_blocked_suspects(Rc::clone(&state), store.clone())
    });
    let (state, store) = inputs();
    spawn_restarting("releases", move || {
        maintain_releases(Rc::clone(&state), store.clone())
    });
}

/// Returns the capacity of the host as a base-2 logarithm.
fn host_capacity(settings: &GatewaySettings) -> u8 {
    let core_mbps = settings.core_share * MBPS_PER_CORE;
    settings.link_mbps.min(core_mbps).max(1.0).log2() as u8
}

fn new_state<D>(
    inputs: &ControlInputs<D>,
    admissions: UnboundedSender<AdmissionCall>,
) -> ControlState {
    let settings = &inputs.settings;
    let key = SharedKey::new(settings.exchange_key.reveal().as_bytes());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    ControlState {
        local: SyncRouter {
            name: settings.name.clone(),
            address: settings.peers,
            data_centre: settings.data_centre.clone(),
            capacity: host_capacity(settings),
        },
        incarnation: since_epoch.map_or(1, |time| time.as_micros() as u64),
        regions: Arc::new(settings.regions.clone()),
        clock: inputs.clock,
        codec: FrameCodec::new(KeyRing::new(key)),
        shared: Arc::clone(&inputs.shared),
        metrics: Arc::clone(&inputs.metrics),
        updates: inputs.updates.clone(),
        roster: TargetRoster::default(),
        roster_log: RosterLog::default(),
        evacuations: EvacuationLedger::default(),
        unreadable_entries: UnreadableEntries::default(),
        config: None,
        config_requested_at: None,
        config_requested_by: None,
        peers: std::collections::BTreeMap::new(),
        has_predecessor: false,
        router_left_at: None,
        hub_counts: None,
        hub_starting_at: None,
        config_time: ViewTime::Unknown,
        view_tracker: ViewTracker::default(),
        store_revision: None,
        restored_at: None,
        failing_calls: std::collections::BTreeSet::new(),
        view_requested_at: None,
        is_listed: false,
        listed: Rc::default(),
        has_target_list: false,
        local_counts: FleetCounts::default(),
        quarantine: CrashQuarantine::default(),
        sync_round_trip: MilliDuration::ZERO,
        followed: None,
        releases: None,
        gate: ReleaseGate::default(),
        has_usable_targets: false,
        gate_wakeup: Rc::default(),
        admissions,
    }
}

fn check_readiness(
    state: &ControlState,
    path: &str,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let is_serving = state.shared.stop_phase() == StopPhase::Serving
        && !state.shared.is_traffic_stalled.load(Ordering::Relaxed);
    let status = if request.uri().path() != path {
        StatusCode::NOT_FOUND
    } else if is_serving && state.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

/// Logs the fleet settings that are now in effect.
pub(crate) fn log_fleet_settings(event: &'static str, settings: &FleetLimits, cause: &'static str) {
    tracing::info!(
        event,
        cause,
        stop_grace_ms = settings.stop_grace.as_millis(),
        retry_ratio = settings.retry_ratio,
        retry_window_ms = settings.retry_window.as_millis(),
        retry_slack = settings.retry_slack,
        load_ratio = settings.load_ratio,
        cold_overrun = settings.cold_tolerance.map(|tolerance| tolerance.overrun),
        cold_slack = settings.cold_tolerance.map(|tolerance| tolerance.slack),
        evacuate_within_ms = settings.evacuate_within.map(MilliDuration::as_millis),
    );
}

/// Reloads the fleet settings from the settings file; addresses only change with a restart.
fn reload_settings<D>(inputs: &ControlInputs<D>, cause: &'static str) {
    match GatewaySettings::from_file(&inputs.settings_path) {
        Ok(settings) => {
            log_fleet_settings("settings_reloaded", &settings.fleet, cause);
            inputs.shared.terms.store(Arc::new(settings.fleet));
        }
        Err(errors) => tracing::error!(event = "settings_refused", cause, %errors),
    }
}

/// Shuts down: fails the readiness checks, removes the router's entry from the store, and waits for
/// the requests in flight and for callers that still take responses, at most until `EXIT_MARGIN`
/// before the end of the grace period.
async fn shut_down<D, S>(inputs: &ControlInputs<D>, store: &S)
where
    S: SiteStore,
{
    let in_flight = || inputs.shared.in_flight.load(Ordering::Relaxed);
    let busy_connections = || inputs.shared.busy_connections.load(Ordering::Relaxed);
    let started_at = tokio::time::Instant::now();
    tracing::info!(event = "stopping", in_flight = in_flight());
    set_phase(inputs, StopPhase::Leaving);
    let name = inputs.settings.name.clone();
    let removing = store.remove_router(&name);
    match tokio::time::timeout(DEREGISTRATION_DELAY, removing).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::warn!(event = "router_entry_kept", %error),
        Err(_) => tracing::warn!(event = "router_entry_kept", error = "timed out"),
    }
    tokio::time::sleep_until(started_at + DEREGISTRATION_DELAY).await;
    set_phase(inputs, StopPhase::Draining);
    let grace: Duration = inputs.shared.terms.load().stop_grace.into();
    let deadline = started_at + grace.saturating_sub(EXIT_MARGIN);
    let is_serving = || in_flight() > 0 || busy_connections() > 0;
    while is_serving() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    set_phase(inputs, StopPhase::Ending);
    // The last responses may still be in the socket buffers.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    tracing::info!(
        event = "stopped",
        cut = in_flight(),
        unwritten = busy_connections()
    );
}

fn set_phase<D>(inputs: &ControlInputs<D>, phase: StopPhase) {
    inputs.shared.set_stop_phase(phase);
    if inputs.stop.send(phase).is_err() {
        tracing::debug!("the traffic thread has exited");
    }
}
