//! The server for callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::CallerLimits;
use briarrail_model::MilliDuration;
use http::{HeaderValue, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::caller_connection::{ConnectionWatch, WatchedSocket};
use super::request_run::serve_request;
use super::traffic_state::{StopPhase, TrafficState};
use crate::WireDialect;

/// Limits before the first configuration.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: MilliDuration::from_millis(3_000),
    idle_timeout: MilliDuration::from_millis(15_000),
};
/// Smallest read buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Time between two looks at a connection's limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// Pause after a failed accept, such as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the stop is in its last phase.
pub(crate) async fn serve_callers<D>(
    state: Rc<TrafficState<D>>,
    listener: TcpListener,
    max_callers: usize,
    mut stop: watch::Receiver<StopPhase>,
) where
    D: WireDialect,
{
    let stop_for_connections = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&phase| phase == StopPhase::Draining) => return,
        };
        match accepted {
            Ok((stream, _)) if state.open_callers.get() < max_callers => {
                let serving = serve_caller(Rc::clone(&state), stream, stop_for_connections.clone());
                tokio::task::spawn_local(serving);
            }
            Ok((stream, caller)) => {
                tracing::warn!(event = "caller_refused", %caller, open = max_callers);
                drop(stream);
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller<D>(
    state: Rc<TrafficState<D>>,
    stream: TcpStream,
    mut stop: watch::Receiver<StopPhase>,
) where
    D: WireDialect,
{
    state.open_callers.set(state.open_callers.get() + 1);
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "no-delay could not be set");
    }
    let limits = |state: &TrafficState<D>| {
        let routing = state.shared.routing_table.load();
        routing
            .as_ref()
            .map_or(FIRST_LIMITS, |table| table.limits())
    };
    let watch = Rc::new(ConnectionWatch::new(state.clock));
    let service = service_fn(|request| {
        let (state, watch) = (Rc::clone(&state), Rc::clone(&watch));
        async move {
            watch.begin_request();
            let mut response = serve_request(&state, request).await;
            if state.shared.stop_phase() != StopPhase::Serving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| body.watched_by(watch)))
        }
    });
    let socket = WatchedSocket::new(stream, Rc::clone(&watch));
    let connection = http1::Builder::new()
        .max_buf_size(limits(&state).header_bytes.max(MIN_BUFFER_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "a caller's connection ended");
                }
                break;
            }
            () = tokio::time::sleep(CHECK_INTERVAL) => {
                if watch.is_expired(&limits(&state), state.clock.now()) {
                    break;
                }
            }
            _ = stop.wait_for(|&phase| phase == StopPhase::Draining), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
    state.open_callers.set(state.open_callers.get() - 1);
}
