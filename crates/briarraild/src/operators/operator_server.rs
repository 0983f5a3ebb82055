//! The HTTP server for operators.

use std::sync::Arc;

use briarrail_model::{HostEntry, MilliTime};
use briarrail_settings::DaemonSettings;
use briarrail_status::{BURN_PATH, STATUS_PATH};
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderValue, ResBody, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::server::ServerHandle;
use serde::Serialize;

use super::router_status::router_status;
use crate::state::{SharedState, StopPhase};
use crate::system_clock::SystemClock;

const TEXT_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// Shared state of the operator endpoints.
#[derive(Debug)]
pub(crate) struct OperatorContext {
    /// Settings of the daemon.
    pub(crate) settings: Arc<DaemonSettings>,
    /// State shared with the other threads.
    pub(crate) state: Arc<SharedState>,
    /// Host list entry of this router.
    pub(crate) local_host: HostEntry,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
    /// Time at which the router started.
    pub(crate) started_at: MilliTime,
}

/// Creates the server for operators.
///
/// The returned future serves until the handle stops it.
pub(crate) fn serve_operators(
    acceptor: TcpAcceptor,
    context: &Arc<OperatorContext>,
) -> (
    ServerHandle,
    impl Future<Output = std::io::Result<()>> + Send + use<>,
) {
    let endpoints = [
        ("health", EndpointKind::Health),
        ("ready", EndpointKind::Ready),
        ("metrics", EndpointKind::Metrics),
        (STATUS_PATH.trim_start_matches('/'), EndpointKind::Status),
        (BURN_PATH.trim_start_matches('/'), EndpointKind::Burn),
    ];
    let router = endpoints
        .into_iter()
        .fold(Router::new(), |router, (path, kind)| {
            let handler = OperatorEndpoint {
                kind,
                context: Arc::clone(context),
            };
            router.push(Router::with_path(path).get(handler))
        });
    let server = Server::new(acceptor);
    (server.handle(), server.try_serve(router))
}

#[derive(Debug, Clone, Copy)]
enum EndpointKind {
    Health,
    Ready,
    Metrics,
    Status,
    Burn,
}

struct OperatorEndpoint {
    kind: EndpointKind,
    context: Arc<OperatorContext>,
}

impl OperatorEndpoint {
    fn readiness(&self) -> (StatusCode, &'static str) {
        let state = &self.context.state;
        if state.stop_phase() != StopPhase::Serving {
            return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
        }
        if !state.snapshot().is_ready {
            return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        (StatusCode::OK, "ready\n")
    }

    fn burn_report(&self) -> String {
        let now = self.context.clock.now();
        to_json(&self.context.state.burn_recorder().snapshot(now))
    }
}

#[async_trait]
impl Handler for OperatorEndpoint {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (status, content_type, text) = match self.kind {
            EndpointKind::Health => (StatusCode::OK, TEXT_CONTENT_TYPE, "alive\n".to_owned()),
            EndpointKind::Ready => {
                let (status, text) = self.readiness();
                (status, TEXT_CONTENT_TYPE, text.to_owned())
            }
            EndpointKind::Metrics => (
                StatusCode::OK,
                TEXT_CONTENT_TYPE,
                self.context.state.metrics.encode(),
            ),
            EndpointKind::Status => (
                StatusCode::OK,
                JSON_CONTENT_TYPE,
                to_json(&router_status(&self.context)),
            ),
            EndpointKind::Burn => (StatusCode::OK, JSON_CONTENT_TYPE, self.burn_report()),
        };
        response.status_code(status);
        response.headers_mut().insert("content-type", content_type);
        response.body(ResBody::Once(text.into()));
    }
}

fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).unwrap_or_default()
}
