//! The control thread.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use briarrail_dispatch::{TargetRoster, ViewTracker};
use briarrail_peer::{FrameCodec, KeyRing, SharedKey, SyncRouter};
use briarrail_settings::{FleetTerms, GatewaySettings};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use super::config_reads::ConfigReads;
use super::control_state::ControlState;
use super::hub_server::serve_peers;
use super::hub_sync::run_rounds;
use super::local_server::serve_local;
use super::roster_log::RosterLog;
use super::router_entries::follow_routers;
use super::store_follower::follow_part;
use super::target_reads::TargetReads;
use crate::telemetry::GatewayMetrics;
use crate::traffic::{ControlUpdate, SharedState, StopPhase};
use crate::{ProcessClock, SiteStore, WireDialect};

/// Time after SIGTERM for which requests are still taken: the balancer notices after two missed
/// questions a second apart, and answers tell callers to connect elsewhere meanwhile.
const LEAVING_TIME: Duration = Duration::from_millis(3_000);
/// Time kept back from the stop's grace for the process to end by itself.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Time between two looks at the requests in flight during a stop.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Bandwidth that a whole core can feed to other routers, in Mbit/s, by the cost of a round.
const MBPS_PER_CORE: f64 = 400.0;
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_millis(1_000);

/// Where the control thread is asked.
pub(crate) struct ControlListeners {
    pub(crate) peers: std::net::TcpListener,
    pub(crate) readiness: std::net::TcpListener,
    pub(crate) metrics: std::net::TcpListener,
}

/// What the control thread starts with.
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

/// Runs the control thread until the stop is complete.
///
/// # Errors
///
/// Fails when a signal can't be had.
pub(crate) async fn run_control<D, S>(
    inputs: ControlInputs<D>,
    listeners: ControlListeners,
    store: S,
) -> std::io::Result<()>
where
    D: WireDialect,
    S: SiteStore,
{
    let peers = TcpListener::from_std(listeners.peers)?;
    let readiness = TcpListener::from_std(listeners.readiness)?;
    let metrics = TcpListener::from_std(listeners.metrics)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let state = Rc::new(RefCell::new(new_state(&inputs)));
    tokio::task::spawn_local(serve_peers(Rc::clone(&state), peers));
    tokio::task::spawn_local(run_rounds(Rc::clone(&state)));
    let configs = ConfigReads {
        state: Rc::clone(&state),
        store: store.clone(),
    };
    tokio::task::spawn_local(follow_part(Rc::clone(&state), configs));
    let targets = TargetReads {
        state: Rc::clone(&state),
        store: store.clone(),
    };
    tokio::task::spawn_local(follow_part(Rc::clone(&state), targets));
    tokio::task::spawn_local(follow_routers(Rc::clone(&state), store.clone()));
    let ready_state = Rc::clone(&state);
    let path = inputs.dialect.readiness_path();
    tokio::task::spawn_local(serve_local(readiness, move |request| {
        answer_readiness(&ready_state.borrow(), path, request)
    }));
    let gauges = Arc::clone(&inputs.metrics);
    tokio::task::spawn_local(serve_local(metrics, move |_| {
        Response::new(Full::new(Bytes::from(gauges.encode())))
    }));
    let mut polls = tokio::time::interval(SETTINGS_POLL);
    let mut file_time = modified(&inputs.settings_path);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => {
                reload(&inputs, "signal");
                file_time = modified(&inputs.settings_path);
            }
            _ = polls.tick() => {
                let found = modified(&inputs.settings_path);
                if found != file_time {
                    file_time = found;
                    reload(&inputs, "file");
                }
            }
        }
    }
    stop(&inputs, &store).await;
    Ok(())
}

/// Returns what the host can carry, in steps of a factor of two.
fn host_capacity(settings: &GatewaySettings) -> u8 {
    let by_core = settings.core_share * MBPS_PER_CORE;
    settings.link_mbps.min(by_core).max(1.0).log2() as u8
}

fn new_state<D>(inputs: &ControlInputs<D>) -> ControlState {
    let settings = &inputs.settings;
    let key = SharedKey::new(settings.exchange_key.reveal().as_bytes());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    ControlState {
        own: SyncRouter {
            name: settings.name.clone(),
            address: settings.peers,
            data_centre: settings.data_centre.clone(),
            capacity: host_capacity(settings),
        },
        incarnation: since_epoch.map_or(1, |time| time.as_micros() as u64),
        clock: inputs.clock,
        codec: FrameCodec::new(KeyRing::new(key)),
        shared: Arc::clone(&inputs.shared),
        metrics: Arc::clone(&inputs.metrics),
        updates: inputs.updates.clone(),
        roster: TargetRoster::default(),
        log: RosterLog::default(),
        config: None,
        peers: std::collections::BTreeMap::new(),
        hub_view: None,
        hub_waited_at: None,
        config_seen_at: None,
        view_order: ViewTracker::default(),
        failing_reads: std::collections::BTreeSet::new(),
        view_wanted_at: None,
        are_routers_listed: false,
        has_targets: false,
        own_counts: Vec::new(),
    }
}

fn answer_readiness(
    state: &ControlState,
    path: &str,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let is_serving = state.shared.stop_phase() == StopPhase::Serving;
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

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Logs the terms of the fleet in force from now on.
pub(crate) fn log_terms(event: &'static str, terms: &FleetTerms, cause: &'static str) {
    tracing::info!(
        event,
        cause,
        stop_grace_ms = terms.stop_grace.as_millis(),
        retry_ratio = terms.retry_ratio,
        retry_window_ms = terms.retry_window.as_millis(),
        retry_slack = terms.retry_slack,
        load_ratio = terms.load_ratio,
    );
}

/// Takes the fleet's terms from the settings file; addresses hold until a restart.
fn reload<D>(inputs: &ControlInputs<D>, cause: &'static str) {
    match GatewaySettings::from_file(&inputs.settings_path) {
        Ok(settings) => {
            log_terms("settings_reloaded", &settings.fleet, cause);
            inputs.shared.terms.store(Arc::new(settings.fleet));
        }
        Err(errors) => tracing::error!(event = "settings_refused", cause, %errors),
    }
}

/// Leaves the balancer, finishes what is in flight, and takes the router's entry back.
async fn stop<D, S>(inputs: &ControlInputs<D>, store: &S)
where
    S: SiteStore,
{
    let in_flight = || inputs.shared.in_flight.load(Ordering::Relaxed);
    let begun = tokio::time::Instant::now();
    tracing::info!(event = "stopping", in_flight = in_flight());
    set_phase(inputs, StopPhase::Leaving);
    let name = inputs.settings.name.clone();
    let removing = store.remove_router(&name);
    match tokio::time::timeout(LEAVING_TIME, removing).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::warn!(event = "router_entry_kept", %error),
        Err(_) => tracing::warn!(event = "router_entry_kept", error = "no reply in time"),
    }
    tokio::time::sleep_until(begun + LEAVING_TIME).await;
    set_phase(inputs, StopPhase::Draining);
    let grace: Duration = inputs.shared.terms.load().stop_grace.into();
    let end = begun + grace.saturating_sub(STOP_MARGIN);
    while in_flight() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(STOP_POLL).await;
    }
    // The last answers are still on their way through the sockets.
    tokio::time::sleep(STOP_POLL).await;
    tracing::info!(event = "stopped", cut = in_flight());
}

fn set_phase<D>(inputs: &ControlInputs<D>, phase: StopPhase) {
    inputs.shared.set_stop_phase(phase);
    if inputs.stop.send(phase).is_err() {
        tracing::debug!("the traffic thread has ended");
    }
}
