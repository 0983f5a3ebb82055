//! The thread that runs the control loop.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use briarrail_fleet::FleetNode;
use briarrail_model::{HostEntry, HostPhase};
use briarrail_peer::FrameCodec;
use briarrail_platform::{HttpDirectory, HttpStore};
use briarrail_settings::DaemonSettings;
use salvo::conn::tcp::TcpAcceptor;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use uuid::Uuid;

use super::claim_service::ClaimService;
use super::control_loop::ControlParts;
use super::peer_server::serve_peers;
use super::snapshot_builder::SnapshotBuilder;
use super::{ControlEvent, ControlLoop, PlatformTasks, claim_settings, fleet_settings, key_ring};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

/// The thread that runs the control loop.
#[derive(Debug)]
pub(crate) struct ControlThread {
    thread: Option<JoinHandle<()>>,
    stop: Option<oneshot::Sender<()>>,
}

/// Settings, clients and shared state of the control thread.
#[derive(Debug)]
pub(crate) struct ControlContext {
    /// Settings of the daemon.
    pub(crate) settings: Arc<DaemonSettings>,
    /// Host list entry of this router.
    pub(crate) local_host: HostEntry,
    /// State shared with the traffic threads.
    pub(crate) state: Arc<SharedState>,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
    /// HTTP client for the platform, peers and load reads.
    pub(crate) client: reqwest::Client,
}

/// Inputs of [`ControlThread::start`].
#[derive(Debug)]
pub(crate) struct ControlInputs {
    /// Settings, clients and shared state.
    pub(crate) context: ControlContext,
    /// Accepts connections of other routers.
    pub(crate) acceptor: TcpAcceptor,
    /// Sends events to the thread; cloned into the peer server and the platform tasks.
    pub(crate) sender: mpsc::Sender<ControlEvent>,
    /// Receives the events.
    pub(crate) events: mpsc::Receiver<ControlEvent>,
}

impl ControlThread {
    /// Starts the thread with its own runtime.
    ///
    /// # Errors
    ///
    /// Fails when the runtime or the thread can't be created.
    pub(crate) fn start(inputs: ControlInputs) -> std::io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let body = move || {
            runtime.block_on(async {
                let (_handle, serving) = serve_peers(inputs.acceptor, &inputs.sender);
                tokio::spawn(serving);
                let control_loop = build_loop(inputs.context, inputs.sender, inputs.events);
                tokio::select! {
                    () = control_loop.run() => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(body)?;
        Ok(Self {
            thread: Some(thread),
            stop: Some(stop),
        })
    }

    /// Stops the control loop and waits for the thread to end.
    pub(crate) fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn build_loop(
    context: ControlContext,
    sender: mpsc::Sender<ControlEvent>,
    events: mpsc::Receiver<ControlEvent>,
) -> ControlLoop<HttpStore, HttpDirectory> {
    let ControlContext {
        settings,
        local_host,
        state,
        clock,
        client,
    } = context;
    let platform = &settings.platform;
    let timeout = Duration::from(platform.timeout_ms);
    let new_store = |timeout: Duration| {
        Arc::new(HttpStore::new(
            client.clone(),
            &platform.object_api_url,
            timeout,
        ))
    };
    let store = new_store(timeout);
    let claim_store = new_store(settings.claims.store_timeout_ms.into());
    let directory = HttpDirectory::new(client.clone(), &platform.host_list_url, timeout);
    let directory = Arc::new(directory);
    let tasks = PlatformTasks::new(store, claim_store, directory, client.clone(), sender, clock);
    let random_id = random_u64();
    let host = &settings.host;
    let parts = ControlParts {
        fleet: FleetNode::new(
            fleet_settings(&settings),
            local_host.clone(),
            clock.now(),
            random_id,
        ),
        claims: ClaimService::new(claim_settings(&settings), random_id),
        codec: FrameCodec::new(key_ring(&settings.exchange)),
        snapshot_builder: SnapshotBuilder::new(host.data_centre.clone(), host.region.clone()),
        local_host,
        state,
        clock,
    };
    ControlLoop::new(parts, tasks, events)
}

fn random_u64() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}

/// Returns the host list entry of this router.
///
/// Without an incarnation in the settings, the start time in Unix milliseconds is used.
pub(crate) fn local_host_entry(
    settings: &DaemonSettings,
    address: std::net::SocketAddr,
    clock: &SystemClock,
) -> HostEntry {
    let started_at_ms = clock.now().as_millis();
    HostEntry {
        name: settings.host.name.clone(),
        service: settings.exchange.router_service.clone(),
        data_centre: settings.host.data_centre.clone(),
        region: settings.host.region.clone(),
        address,
        phase: HostPhase::Live,
        incarnation: settings.host.incarnation.unwrap_or(started_at_ms),
        labels: Default::default(),
    }
}
