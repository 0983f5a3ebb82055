//! HTTP server for callers.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarrail_dispatch::{CallerLimits, ReclaimCause};
use briarrail_model::MilliDuration;
use http::{HeaderValue, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::caller_memory::{MemoryHold, reclaim_cause_name};
use super::connection_activity::{ConnectionActivity, TrackedStream};
use super::request_handler::serve_request;
use super::traffic_state::{StopPhase, TrafficState};
use crate::WireDialect;

/// Limits that apply until the first configuration is loaded.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: MilliDuration::from_millis(3_000),
    idle_timeout: MilliDuration::from_millis(15_000),
};
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Interval between checks of a connection's timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from callers until the router is draining.
pub(crate) async fn serve_callers<D>(
    state: Rc<TrafficState<D>>,
    listener: TcpListener,
    mut stop: watch::Receiver<StopPhase>,
) where
    D: WireDialect,
{
    let connection_stop = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&phase| phase >= StopPhase::Draining) => return,
        };
        match accepted {
            Ok((stream, caller)) => match state.memory.open() {
                Some(hold) => {
                    let hold = Rc::new(hold);
                    let stop = connection_stop.clone();
                    let serving = serve_connection(Rc::clone(&state), stream, hold, stop);
                    tokio::task::spawn_local(serving);
                }
                None => tracing::warn!(event = "caller_refused", %caller, cause = "no place"),
            },
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes the account of a connection when it is dropped, also by a panic.
struct OpenConnection<'a>(&'a MemoryHold);

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.close();
    }
}

async fn serve_connection<D>(
    state: Rc<TrafficState<D>>,
    stream: TcpStream,
    hold: Rc<MemoryHold>,
    mut stop: watch::Receiver<StopPhase>,
) where
    D: WireDialect,
{
    let _open = OpenConnection(&hold);
    let caller = stream.peer_addr().ok();
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "failed to set TCP_NODELAY");
    }
    let limits = |state: &TrafficState<D>| {
        let table = state.shared.routing_table.load();
        table
            .as_ref()
            .map_or(DEFAULT_LIMITS, |table| table.limits())
    };
    let activity = Rc::new(ConnectionActivity::new(
        state.clock,
        Arc::clone(&state.shared),
        Rc::clone(&hold),
    ));
    let request_stop = stop.clone();
    let service = service_fn(|request| {
        let (state, activity) = (Rc::clone(&state), Rc::clone(&activity));
        let hold = Rc::clone(&hold);
        let stop = request_stop.clone();
        async move {
            activity.start_request();
            let mut response = serve_request(&state, request, &hold, stop).await;
            if state.shared.stop_phase() != StopPhase::Serving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| body.with_activity(activity)))
        }
    });
    let stream = TrackedStream::new(stream, Rc::clone(&activity));
    let connection = http1::Builder::new()
        .max_buf_size(limits(&state).header_bytes.max(MIN_BUFFER_BYTES))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            // Bytes that have arrived are read before the timeouts are checked.
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    tracing::debug!(%error, "caller connection failed");
                }
                break;
            }
            cause = hold.signal().connection_reclaimed() => {
                let name = reclaim_cause_name(cause);
                tracing::info!(event = "caller_closed", ?caller, cause = name);
                // A request may have been read since the connection was found idle.
                if cause != ReclaimCause::Idle || !activity.is_busy() {
                    break;
                }
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(TIMEOUT_CHECK_INTERVAL) => {
                let limits = limits(&state);
                if let Some(timeout) = activity.expired_timeout(&limits, state.clock.now()) {
                    tracing::info!(
                        event = "caller_timed_out",
                        ?caller,
                        ?timeout,
                        head_timeout_ms = limits.header_timeout.as_millis(),
                        idle_timeout_ms = limits.idle_timeout.as_millis(),
                    );
                    break;
                }
            }
            _ = stop.wait_for(|&phase| phase >= StopPhase::Draining), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
