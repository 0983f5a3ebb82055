//! The thread on which the control loop runs.

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

use super::claim_desk::ClaimDesk;
use super::control_loop::ControlParts;
use super::peer_server::serve_peers;
use super::snapshot_builder::SnapshotBuilder;
use super::{ControlEvent, ControlLoop, PlatformTasks, claim_settings, fleet_settings, key_ring};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

/// The thread on which the control loop runs.
#[derive(Debug)]
pub(crate) struct ControlThread {
    thread: Option<JoinHandle<()>>,
    stop: Option<oneshot::Sender<()>>,
}

/// What the control thread works with.
#[derive(Debug)]
pub(crate) struct ControlContext {
    /// Settings of the daemon.
    pub(crate) settings: Arc<DaemonSettings>,
    /// This router, as the host list shows it.
    pub(crate) own: HostEntry,
    /// State shared with the traffic threads.
    pub(crate) state: Arc<SharedState>,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
    /// Client for the platform, peers and load reads.
    pub(crate) client: reqwest::Client,
}

/// What the control thread starts from.
#[derive(Debug)]
pub(crate) struct ControlStart {
    /// What the thread works with.
    pub(crate) context: ControlContext,
    /// Where other routers connect.
    pub(crate) acceptor: TcpAcceptor,
    /// Sends events.
    pub(crate) sender: mpsc::Sender<ControlEvent>,
    /// Receives events.
    pub(crate) events: mpsc::Receiver<ControlEvent>,
}

impl ControlThread {
    /// Starts the thread with its own runtime.
    ///
    /// # Errors
    ///
    /// Fails when the runtime or the thread can't be made.
    pub(crate) fn start(start: ControlStart) -> std::io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let body = move || {
            runtime.block_on(async {
                let (_handle, serving) = serve_peers(start.acceptor, &start.sender);
                tokio::spawn(serving);
                let control = make_loop(start.context, start.sender, start.events);
                tokio::select! {
                    () = control.run() => {}
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

    /// Ends the thread.
    pub(crate) fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the control thread was reported where it happened.
            let _ = thread.join();
        }
    }
}

fn make_loop(
    context: ControlContext,
    sender: mpsc::Sender<ControlEvent>,
    events: mpsc::Receiver<ControlEvent>,
) -> ControlLoop<HttpStore, HttpDirectory> {
    let ControlContext {
        settings,
        own,
        state,
        clock,
        client,
    } = context;
    let platform = &settings.platform;
    let timeout = Duration::from(platform.timeout_ms);
    let store_with = |timeout: Duration| {
        Arc::new(HttpStore::new(
            client.clone(),
            &platform.object_api_url,
            timeout,
        ))
    };
    let store = store_with(timeout);
    let claim_store = store_with(settings.claims.store_timeout_ms.into());
    let directory = HttpDirectory::new(client.clone(), &platform.host_list_url, timeout);
    let directory = Arc::new(directory);
    let tasks = PlatformTasks::new(store, claim_store, directory, client.clone(), sender, clock);
    let writer = random_u64();
    let host = &settings.host;
    let parts = ControlParts {
        fleet: FleetNode::new(fleet_settings(&settings), own.clone(), clock.now(), writer),
        desk: ClaimDesk::new(claim_settings(&settings), writer),
        codec: FrameCodec::new(key_ring(&settings.exchange)),
        builder: SnapshotBuilder::new(host.data_centre.clone(), host.region.clone()),
        own,
        state,
        clock,
    };
    ControlLoop::new(parts, tasks, events)
}

fn random_u64() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}

/// Returns this router, as the host list shows it.
pub(crate) fn own_entry(
    settings: &DaemonSettings,
    address: std::net::SocketAddr,
    clock: &SystemClock,
) -> HostEntry {
    let started_ms = clock.now().as_millis();
    HostEntry {
        name: settings.host.name.clone(),
        service: settings.exchange.router_service.clone(),
        data_centre: settings.host.data_centre.clone(),
        region: settings.host.region.clone(),
        address,
        phase: HostPhase::Live,
        incarnation: settings.host.incarnation.unwrap_or(started_ms),
        labels: Default::default(),
    }
}
