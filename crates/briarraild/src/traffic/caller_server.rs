//! HTTP server for callers.

use std::sync::Arc;

use salvo::async_trait;
use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service};
use salvo::server::ServerHandle;

use briarrail_outcome::{OutcomeReply, RequestOutcome};
use uuid::Uuid;

use super::call_service::serve_call;
use super::request_reader::{ReadError, read_request};
use super::{CallerReply, TrafficContext};

/// Open connections allowed per stream of `max_streams`, because idle connections count as well.
const CONNECTIONS_PER_STREAM: usize = 4;

/// Creates the server for callers.
///
/// Returns a handle that stops the server, and the future that runs it.
pub(crate) fn serve_callers(
    acceptor: TcpAcceptor,
    context: Arc<TrafficContext>,
) -> (
    ServerHandle,
    impl Future<Output = std::io::Result<()>> + Send,
) {
    let limits = &context.settings.limits;
    let read_timeout = std::time::Duration::from(limits.caller_read_timeout_ms);
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(read_timeout)
        .with_write_stall_timeout(read_timeout);
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(limits.max_streams as usize * CONNECTIONS_PER_STREAM);
    server
        .http1_mut()
        .max_buf_size(limits.max_head_bytes as usize);
    let handle = server.handle();
    let router = Router::with_path("{**path}").goal(CallerHandler { context });
    let service = Service::new(router).catcher(Catcher::new(KeepReplyCatcher));
    (handle, server.try_serve(service))
}

/// Handles all requests from callers.
struct CallerHandler {
    context: Arc<TrafficContext>,
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let settings = &self.context.settings;
        let now = self.context.clock.now();
        let result = read_request(request, &settings.identity, &settings.limits, now).await;
        match result {
            Ok(call) => {
                let request_id = call.id.clone();
                let reply = serve_call(&self.context, call).await;
                reply.write_to(&request_id, response);
            }
            Err(error) => {
                self.context
                    .state
                    .count_unrouted_request(RequestOutcome::NotRun(error.reason()));
                read_error_reply(&error).write_to(&Uuid::now_v7().to_string(), response);
            }
        }
    }
}

fn read_error_reply(error: &ReadError) -> CallerReply {
    let outcome = RequestOutcome::NotRun(error.reason());
    let reply = OutcomeReply::from(outcome).with_detail(&error.to_string());
    let reply = OutcomeReply {
        status: error.status(),
        ..reply
    };
    CallerReply::from_outcome(reply)
}

/// Leaves replies unchanged, where salvo's default catcher would write an error page.
struct KeepReplyCatcher;

#[async_trait]
impl Handler for KeepReplyCatcher {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        _response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
    }
}
