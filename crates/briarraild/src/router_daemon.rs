//! Starting and stopping a router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarrail_peer::FrameCodec;
use briarrail_settings::DaemonSettings;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use tokio::net::TcpSocket;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};

use crate::control::{
    ControlContext, ControlEvent, ControlInputs, ControlThread, claim_settings, key_ring,
    local_host_entry,
};
use crate::operators::{OperatorContext, serve_operators};
use crate::state::{SharedState, StopPhase};
use crate::system_clock::SystemClock;
use crate::telemetry::MetricSet;
use crate::traffic::{ClaimManager, TargetClient, TrafficContext, serve_callers};
use crate::{StartError, StartErrorKind};

const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
const EVENT_QUEUE_CAPACITY: usize = 4_096;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
const LISTEN_BACKLOG: u32 = 1_024;

/// Starts routers.
#[derive(Debug, Clone, Copy)]
pub struct RouterDaemon;

/// A running router; dropping it stops the router without waiting for requests.
#[derive(Debug)]
pub struct RunningRouter {
    settings: Arc<DaemonSettings>,
    state: Arc<SharedState>,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    peers_address: SocketAddr,
    caller_server: ServerHandle,
    operator_server: ServerHandle,
    claims: ClaimManager,
    events: mpsc::Sender<ControlEvent>,
    traffic_runtime: Option<Runtime>,
    control: ControlThread,
}

impl RouterDaemon {
    /// Starts a router, which runs on its own threads.
    ///
    /// # Errors
    ///
    /// Fails when the router can't listen on an address or start a thread, or when its HTTP clients
    /// or metrics can't be set up.
    pub fn start(settings: DaemonSettings) -> Result<RunningRouter, StartError> {
        let settings = Arc::new(settings);
        let clock = SystemClock::start();
        let metrics = MetricSet::new().map_err(metrics_error)?;
        let state = Arc::new(SharedState::new(metrics));
        let traffic_runtime = build_traffic_runtime(&settings)?;
        let caller_acceptor =
            bind_listener(&traffic_runtime, "callers.listen", settings.callers.listen)?;
        let operator_acceptor = bind_listener(
            &traffic_runtime,
            "operators.listen",
            settings.operators.listen,
        )?;
        let callers_address = local_address(&caller_acceptor, "callers.listen")?;
        let operators_address = local_address(&operator_acceptor, "operators.listen")?;
        let peer_acceptor = bind_listener(&traffic_runtime, "peers.listen", settings.peers.listen)?;
        let peers_address = local_address(&peer_acceptor, "peers.listen")?;
        let local_host = local_host_entry(&settings, peers_address, &clock);
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .map_err(client_error)?;
        let (event_sender, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let claims = ClaimManager {
            local_router: local_host.clone(),
            codec: FrameCodec::new(key_ring(&settings.exchange)),
            client: client.clone(),
            control_events: event_sender.clone(),
            state: Arc::clone(&state),
            clock,
            bucket_count: claim_settings(&settings).buckets,
            report_backlog: Arc::default(),
            max_wait: settings.claims.wait_ms,
        };
        let control_context = ControlContext {
            settings: Arc::clone(&settings),
            local_host: local_host.clone(),
            state: Arc::clone(&state),
            clock,
            client,
        };
        let inputs = ControlInputs {
            context: control_context,
            acceptor: peer_acceptor,
            sender: event_sender.clone(),
            events: event_receiver,
        };
        let control =
            ControlThread::start(inputs).map_err(|error| thread_error(error, "control"))?;
        traffic_runtime.spawn(claims.clone().deliver_reports());
        let connect_timeout = Duration::from(settings.limits.connect_timeout_ms);
        let traffic_context = Arc::new(TrafficContext {
            settings: Arc::clone(&settings),
            state: Arc::clone(&state),
            client: TargetClient::new(connect_timeout).map_err(client_error)?,
            claims: claims.clone(),
            clock,
        });
        let (caller_server, serving) = serve_callers(caller_acceptor, traffic_context);
        traffic_runtime.spawn(serving);
        let operator_context = Arc::new(OperatorContext {
            settings: Arc::clone(&settings),
            state: Arc::clone(&state),
            local_host,
            clock,
            started_at: clock.now(),
        });
        let (operator_server, serving) = serve_operators(operator_acceptor, &operator_context);
        traffic_runtime.spawn(serving);
        tracing::info!(%callers_address, %operators_address, %peers_address, "daemon: started");
        Ok(RunningRouter {
            settings,
            state,
            callers_address,
            operators_address,
            peers_address,
            caller_server,
            operator_server,
            claims,
            events: event_sender,
            traffic_runtime: Some(traffic_runtime),
            control,
        })
    }
}

impl RunningRouter {
    /// Returns the address for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Returns the address for other routers.
    #[must_use]
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// Returns whether the router has a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.stop_phase() == StopPhase::Serving && self.state.snapshot().is_ready
    }

    /// Stops gracefully, and blocks until the router has stopped.
    ///
    /// The router reports not ready at once but still accepts requests for `stop.list_lag_ms`, the
    /// time that load balancers need to notice. Then it refuses new requests and waits until those
    /// in flight have ended or `stop.limit_ms` has passed; a limit of 0 means no limit. Last, it
    /// delivers the outcomes of claims and hands over its claim buckets.
    pub fn stop(mut self) {
        self.state.advance_stop_phase(StopPhase::Announced);
        // The receiver is gone when the control thread has ended.
        let _ = self.events.blocking_send(ControlEvent::Leave);
        tracing::info!("daemon: graceful stop started");
        std::thread::sleep(self.settings.stop.list_lag_ms.into());
        self.state.advance_stop_phase(StopPhase::Draining);
        self.caller_server.stop_graceful(None);
        self.wait_for_requests();
        self.wait_for_reports();
        self.hand_over_buckets();
        self.shut_down();
        tracing::info!("daemon: stopped");
    }

    fn wait_for_requests(&self) {
        let limit = Duration::from(self.settings.stop.limit_ms);
        let started_at = std::time::Instant::now();
        while self.state.requests_in_flight() > 0 {
            if !limit.is_zero() && started_at.elapsed() >= limit {
                let remaining = self.state.requests_in_flight();
                tracing::warn!(
                    cut = remaining,
                    "daemon: time limit of the stop exceeded; aborting requests in flight"
                );
                return;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Waits, with a timeout, until the outcomes of claims are recorded.
    ///
    /// The outcome of a claim that isn't recorded stays in doubt.
    fn wait_for_reports(&self) {
        let started_at = std::time::Instant::now();
        while self.claims.unrecorded_count() > 0 && started_at.elapsed() < REPORT_TIMEOUT {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Gives up the claim buckets and waits, with a timeout, until pending claims are processed.
    fn hand_over_buckets(&self) {
        let (done, handover_done) = oneshot::channel();
        if self
            .events
            .blocking_send(ControlEvent::HandOver(done))
            .is_err()
        {
            return;
        }
        let Some(traffic_runtime) = &self.traffic_runtime else {
            return;
        };
        let wait = async { tokio::time::timeout(HANDOVER_TIMEOUT, handover_done).await };
        if traffic_runtime.block_on(wait).is_err() {
            tracing::warn!(
                "claims: handover of buckets timed out with claims or store calls pending"
            );
        }
    }

    fn shut_down(&mut self) {
        self.operator_server.stop_forceful();
        self.caller_server.stop_forceful();
        self.control.stop();
        if let Some(traffic_runtime) = self.traffic_runtime.take() {
            traffic_runtime.shutdown_background();
        }
    }
}

impl Drop for RunningRouter {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn build_traffic_runtime(settings: &DaemonSettings) -> Result<Runtime, StartError> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(settings.threads.traffic as usize)
        .thread_name("traffic")
        .enable_all();
    builder
        .build()
        .map_err(|error| thread_error(error, "threads.traffic"))
}

fn bind_listener(
    runtime: &Runtime,
    setting: &'static str,
    address: SocketAddr,
) -> Result<TcpAcceptor, StartError> {
    let bound = runtime.block_on(async { listen(address) });
    bound.map_err(|error| listen_error(error, setting, address))
}

/// Listens on a socket with `TCP_NODELAY`, which accepted connections inherit.
///
/// Without it, an event waits for the acknowledgement of the previous one, which receivers delay by
/// up to 40 ms.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)?.try_into()
}

fn local_address(acceptor: &TcpAcceptor, setting: &'static str) -> Result<SocketAddr, StartError> {
    let address = acceptor.inner().local_addr();
    address.map_err(|error| listen_error(error, setting, SocketAddr::from(([0, 0, 0, 0], 0))))
}

fn listen_error(error: std::io::Error, setting: &'static str, address: SocketAddr) -> StartError {
    let value = address.to_string();
    StartError {
        kind: StartErrorKind::Listen(error),
        setting,
        value,
    }
}

fn thread_error(error: std::io::Error, setting: &'static str) -> StartError {
    StartError {
        kind: StartErrorKind::Thread(error),
        setting,
        value: String::new(),
    }
}

fn client_error(error: reqwest::Error) -> StartError {
    let kind = StartErrorKind::Client(error);
    StartError {
        kind,
        setting: "limits.connect_timeout_ms",
        value: String::new(),
    }
}

fn metrics_error(error: String) -> StartError {
    let kind = StartErrorKind::Metrics(error);
    StartError {
        kind,
        setting: "metrics",
        value: String::new(),
    }
}
