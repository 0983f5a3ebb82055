//! The HTTP server for other routers.

use briarrail_peer::MAX_FRAME_BYTES;
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::server::ServerHandle;
use tokio::sync::{mpsc, oneshot};

use super::ControlEvent;
use super::control_event::PeerPath;

/// Creates the server for other routers, which passes frames to the control thread as events.
///
/// The returned future serves until the handle stops it.
pub(crate) fn serve_peers(
    acceptor: TcpAcceptor,
    events: &mpsc::Sender<ControlEvent>,
) -> (
    ServerHandle,
    impl Future<Output = std::io::Result<()>> + Send + use<>,
) {
    let router = PeerPath::ALL
        .into_iter()
        .fold(Router::new(), |router, path| {
            let handler = PeerHandler {
                path,
                events: events.clone(),
            };
            router.push(Router::with_path(path.as_str()).post(handler))
        });
    let server = Server::new(acceptor);
    (server.handle(), server.try_serve(router))
}

struct PeerHandler {
    path: PeerPath,
    events: mpsc::Sender<ControlEvent>,
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Ok(frame) = request.payload_with_max_size(MAX_FRAME_BYTES).await else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let (reply, receiver) = oneshot::channel();
        let event = ControlEvent::FrameReceived {
            path: self.path,
            frame: frame.clone(),
            reply,
        };
        if self.events.send(event).await.is_err() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match receiver.await {
            Ok(Some(frame)) => {
                response.status_code(StatusCode::OK);
                response.body(ResBody::Once(frame));
            }
            Ok(None) => {
                response.status_code(StatusCode::NO_CONTENT);
            }
            Err(_) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}
