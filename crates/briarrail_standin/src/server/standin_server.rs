//! The server that all stand-ins run on.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, StatusCode};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::TcpSocket;

use crate::server::{StandinApp, StandinCall, StandinHandle, StandinReply};

const RESERVED_PREFIX: &str = "/_standin/";
const FAULTS_PATH: &str = "/_standin/faults";
const LISTEN_BACKLOG: u32 = 1_024;

/// Starts a stand-in on an address such as `127.0.0.1:0`.
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
            tracing::error!("standin: stopped serving: {error}");
        }
    });
    Ok(StandinHandle::new(address, app, task))
}

/// Binds a socket whose connections send small writes at once.
///
/// Accepted connections inherit the option from the listening socket. Without it, the end of an
/// event stream waits for the receiver's delayed acknowledgement.
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

/// Hands the calls of a connection to a stand-in.
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
        control: &mut FlowCtrl,
    ) {
        let reply = match StandinCall::read(request).await {
            Some(call) => dispatch(&*self.app, call).await,
            None => StandinReply::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body not readable"),
        };
        match reply {
            StandinReply::Answer {
                status,
                headers,
                body,
            } => {
                response.status_code(status);
                response.set_headers(headers);
                response.replace_body(*body);
            }
            StandinReply::Abort => {
                control.conn().abort();
                std::future::pending::<()>().await;
            }
            StandinReply::Hang => std::future::pending::<()>().await,
        }
    }
}

async fn dispatch<A>(app: &A, call: StandinCall) -> StandinReply
where
    A: StandinApp,
{
    if !call.path.starts_with(RESERVED_PREFIX) {
        return app.answer(call).await;
    }
    if call.path != FAULTS_PATH {
        return app.inspect(&call);
    }
    if call.method == Method::POST {
        match serde_json::from_slice(&call.body) {
            Ok(faults) => app.faults().set(faults),
            Err(error) => return StandinReply::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
    StandinReply::json(StatusCode::OK, &app.faults().get())
}
