//! Start and stop of a router.

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
    ControlContext, ControlEvent, ControlStart, ControlThread, claim_settings, key_ring, own_entry,
};
use crate::operators::{OperatorContext, serve_operators};
use crate::state::{SharedState, StopPhase};
use crate::system_clock::SystemClock;
use crate::telemetry::MetricSet;
use crate::traffic::{ClaimManager, TargetClient, TrafficContext, serve_callers};
use crate::{StartError, StartErrorKind};

const REPORT_WAIT: Duration = Duration::from_secs(10);
const HAND_OVER_WAIT: Duration = Duration::from_secs(10);
const EVENT_QUEUE: usize = 4_096;
const DRAIN_POLL: Duration = Duration::from_millis(20);
const LISTEN_BACKLOG: u32 = 1_024;

/// Starts routers.
#[derive(Debug, Clone, Copy)]
pub struct RouterDaemon;

/// A router that runs; it stops at once when this is dropped.
#[derive(Debug)]
pub struct RunningRouter {
    settings: Arc<DaemonSettings>,
    state: Arc<SharedState>,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    peers_address: SocketAddr,
    callers: ServerHandle,
    operators: ServerHandle,
    claims: ClaimManager,
    events: mpsc::Sender<ControlEvent>,
    traffic: Option<Runtime>,
    control: ControlThread,
}

impl RouterDaemon {
    /// Starts a router with its own threads.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on, or a thread can't be started.
    pub fn start(settings: DaemonSettings) -> Result<RunningRouter, StartError> {
        let settings = Arc::new(settings);
        let clock = SystemClock::start();
        let metrics = MetricSet::new().map_err(metrics_error)?;
        let state = Arc::new(SharedState::new(metrics));
        let traffic = traffic_runtime(&settings)?;
        let callers = bind(&traffic, "callers.listen", settings.callers.listen)?;
        let operators = bind(&traffic, "operators.listen", settings.operators.listen)?;
        let callers_address = local_address(&callers, "callers.listen")?;
        let operators_address = local_address(&operators, "operators.listen")?;
        let peers = bind(&traffic, "peers.listen", settings.peers.listen)?;
        let peers_address = local_address(&peers, "peers.listen")?;
        let own = own_entry(&settings, peers_address, &clock);
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .map_err(client_error)?;
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let claims = ClaimManager {
            local_router: own.clone(),
            codec: FrameCodec::new(key_ring(&settings.exchange)),
            client: client.clone(),
            control_events: sender.clone(),
            state: Arc::clone(&state),
            clock,
            bucket_count: claim_settings(&settings).buckets,
            report_backlog: Arc::default(),
            max_wait: settings.claims.wait_ms,
        };
        let context = ControlContext {
            settings: Arc::clone(&settings),
            own: own.clone(),
            state: Arc::clone(&state),
            clock,
            client,
        };
        let start = ControlStart {
            context,
            acceptor: peers,
            sender: sender.clone(),
            events,
        };
        let control =
            ControlThread::start(start).map_err(|error| thread_error(error, "control"))?;
        traffic.spawn(claims.clone().deliver_reports());
        let connect_timeout = Duration::from(settings.limits.connect_timeout_ms);
        let traffic_context = Arc::new(TrafficContext {
            settings: Arc::clone(&settings),
            state: Arc::clone(&state),
            client: TargetClient::new(connect_timeout).map_err(client_error)?,
            claims: claims.clone(),
            clock,
        });
        let (callers_handle, serving) = serve_callers(callers, traffic_context);
        traffic.spawn(serving);
        let pages = Arc::new(OperatorContext {
            settings: Arc::clone(&settings),
            state: Arc::clone(&state),
            own,
            clock,
            started_at: clock.now(),
        });
        let (operators_handle, serving) = serve_operators(operators, &pages);
        traffic.spawn(serving);
        tracing::info!(%callers_address, %operators_address, %peers_address, "daemon: started");
        Ok(RunningRouter {
            settings,
            state,
            callers_address,
            operators_address,
            peers_address,
            callers: callers_handle,
            operators: operators_handle,
            claims,
            events: sender,
            traffic: Some(traffic),
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

    /// Returns whether the router has a configuration and no planned stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.stop_phase() == StopPhase::Serving && self.state.snapshot().is_ready
    }

    /// Stops without cutting a request: not ready at once, then no new work, then the end.
    ///
    /// Blocks until the last request has ended or the limit in the settings has passed.
    pub fn stop(mut self) {
        self.state.advance_stop_phase(StopPhase::Announced);
        // The control thread has ended when nobody receives.
        let _ = self.events.blocking_send(ControlEvent::Leave);
        tracing::info!("daemon: stop announced");
        std::thread::sleep(self.settings.stop.list_lag_ms.into());
        self.state.advance_stop_phase(StopPhase::Draining);
        self.callers.stop_graceful(None);
        self.wait_for_requests();
        self.wait_for_reports();
        self.hand_over();
        self.shut_down();
        tracing::info!("daemon: stopped");
    }

    fn wait_for_requests(&self) {
        let limit = Duration::from(self.settings.stop.limit_ms);
        let start = std::time::Instant::now();
        while self.state.requests_in_flight() > 0 {
            if !limit.is_zero() && start.elapsed() >= limit {
                let cut = self.state.requests_in_flight();
                tracing::warn!(cut, "daemon: limit passed, requests are cut");
                return;
            }
            std::thread::sleep(DRAIN_POLL);
        }
    }

    /// Gives outcomes of claims a while to be recorded; a claim without one stays in doubt.
    fn wait_for_reports(&self) {
        let start = std::time::Instant::now();
        while self.claims.unrecorded_count() > 0 && start.elapsed() < REPORT_WAIT {
            std::thread::sleep(DRAIN_POLL);
        }
    }

    /// Waits until the claims of this router's buckets are written.
    fn hand_over(&self) {
        let (done, handed_over) = oneshot::channel();
        if self
            .events
            .blocking_send(ControlEvent::HandOver(done))
            .is_err()
        {
            return;
        }
        let Some(traffic) = &self.traffic else {
            return;
        };
        let waited = async { tokio::time::timeout(HAND_OVER_WAIT, handed_over).await };
        if traffic.block_on(waited).is_err() {
            tracing::warn!("claims: buckets left with writes under way");
        }
    }

    fn shut_down(&mut self) {
        self.operators.stop_forceful();
        self.callers.stop_forceful();
        self.control.stop();
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for RunningRouter {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn traffic_runtime(settings: &DaemonSettings) -> Result<Runtime, StartError> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(settings.threads.traffic as usize)
        .thread_name("traffic")
        .enable_all();
    builder
        .build()
        .map_err(|error| thread_error(error, "threads.traffic"))
}

fn bind(
    runtime: &Runtime,
    setting: &'static str,
    address: SocketAddr,
) -> Result<TcpAcceptor, StartError> {
    let bound = runtime.block_on(async { listen(address) });
    bound.map_err(|error| listen_error(error, setting, address))
}

/// Listens on a socket whose connections send small writes at once.
///
/// Accepted connections inherit the option. Without it, an event waits for the acknowledgement
/// of the one before, which receivers delay by up to 40 ms.
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
