//! The HTTP server of a stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, StatusCode};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::TcpSocket;

use crate::server::{StandinApp, StandinHandle, StandinRequest, StandinResponse};

const RESERVED_PREFIX: &str = "/_standin/";
const FAULTS_PATH: &str = "/_standin/faults";
const LISTEN_BACKLOG: u32 = 1_024;

/// Starts a stand-in on an address such as `127.0.0.1:0`; port 0 picks a free port.
pub(crate) async fn start_standin<A>(address: &str, app: A) -> io::Result<StandinHandle<A>>
where
    A: StandinApp,
{
    let acceptor = bind(address)?;
    let address = acceptor.local_addr()?;
    let app = Arc::new(app);
    let router = Router::with_path("{**rest}").goal(AppHandler { app: app.clone() });
    let server = Server::new(acceptor);
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(router).await {
            tracing::error!("stand-in server failed: {error}");
        }
    });
    Ok(StandinHandle::new(address, app, task))
}

/// Binds a listening socket with `TCP_NODELAY`.
///
/// Accepted connections inherit the option from the listening socket. Without it, the end of an
/// event stream is held back until the receiver's delayed acknowledgement.
fn bind(address: &str) -> io::Result<TcpAcceptor> {
    let invalid = |error| io::Error::new(io::ErrorKind::InvalidInput, error);
    let address: SocketAddr = address.parse().map_err(invalid)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)?.try_into()
}

/// Passes HTTP requests to a stand-in.
struct AppHandler<A> {
    app: Arc<A>,
}

#[async_trait]
impl<A> Handler for AppHandler<A>
where
    A: StandinApp,
{
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let outcome = match StandinRequest::read(request).await {
            Some(request) => route_request(&*self.app, request).await,
            None => StandinResponse::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body not readable"),
        };
        match outcome {
            StandinResponse::Respond {
                status,
                headers,
                body,
            } => {
                response.status_code(status);
                response.set_headers(headers);
                response.replace_body(*body);
            }
            StandinResponse::Abort => {
                flow.conn().abort();
                std::future::pending::<()>().await;
            }
            StandinResponse::Hang => std::future::pending::<()>().await,
        }
    }
}

async fn route_request<A>(app: &A, request: StandinRequest) -> StandinResponse
where
    A: StandinApp,
{
    if !request.path.starts_with(RESERVED_PREFIX) {
        return app.handle(request).await;
    }
    if request.path != FAULTS_PATH {
        return app.inspect(&request);
    }
    if request.method == Method::POST {
        match serde_json::from_slice(&request.body) {
            Ok(faults) => app.faults().set(faults),
            Err(error) => {
                return StandinResponse::error(StatusCode::BAD_REQUEST, &error.to_string());
            }
        }
    }
    StandinResponse::json(StatusCode::OK, &app.faults().get())
}
