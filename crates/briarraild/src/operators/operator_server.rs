//! The HTTP server for operators.

use std::sync::Arc;

use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::server::ServerHandle;

use crate::state::{SharedState, StopPhase};

const TEXT_TYPE: &str = "text/plain; version=0.0.4";

/// Makes the server for operators.
///
/// Returns the future that serves until the handle stops it.
pub(crate) fn serve_operators(
    acceptor: TcpAcceptor,
    state: &Arc<SharedState>,
) -> (
    ServerHandle,
    impl Future<Output = std::io::Result<()>> + Send + use<>,
) {
    let page = |page| OperatorPage {
        page,
        state: Arc::clone(state),
    };
    let router = Router::new()
        .push(Router::with_path("health").get(page(PageKind::Health)))
        .push(Router::with_path("ready").get(page(PageKind::Ready)))
        .push(Router::with_path("metrics").get(page(PageKind::Metrics)));
    let server = Server::new(acceptor);
    (server.handle(), server.try_serve(router))
}

#[derive(Debug, Clone, Copy)]
enum PageKind {
    Health,
    Ready,
    Metrics,
}

struct OperatorPage {
    page: PageKind,
    state: Arc<SharedState>,
}

impl OperatorPage {
    fn readiness(&self) -> (StatusCode, &'static str) {
        if self.state.phase() != StopPhase::Serving {
            return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
        }
        if !self.state.snapshot().is_ready {
            return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        (StatusCode::OK, "ready\n")
    }
}

#[async_trait]
impl Handler for OperatorPage {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (status, text) = match self.page {
            PageKind::Health => (StatusCode::OK, "alive\n".to_owned()),
            PageKind::Ready => {
                let (status, text) = self.readiness();
                (status, text.to_owned())
            }
            PageKind::Metrics => (StatusCode::OK, self.state.metrics.encode()),
        };
        response.status_code(status);
        response
            .headers_mut()
            .insert("content-type", TEXT_TYPE.parse().expect("valid header"));
        response.body(ResBody::Once(text.into()));
    }
}
