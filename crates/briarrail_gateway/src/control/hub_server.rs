//! Answers the other routers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use briarrail_peer::{
    ConfigPart, Envelope, FrameError, MAX_FRAME_BYTES, MessageKind, SyncReply, SyncRequest,
    SyncRouter, TargetCount,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::control_state::ControlState;

/// Idle time after which another router's connection is closed; many rounds.
const PEER_IDLE: Duration = Duration::from_secs(10);

/// Path at which routers ask for what they lack.
pub(crate) const SYNC_PATH: &str = "/sync";

/// This router's own counts, as of its last round.
pub(crate) type OwnCounts = Rc<RefCell<Vec<TargetCount>>>;

/// Serves the other routers.
pub(crate) async fn serve_peers(
    state: Rc<RefCell<ControlState>>,
    own: OwnCounts,
    listener: TcpListener,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "peer_accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "no-delay could not be set");
        }
        let (state, own) = (Rc::clone(&state), Rc::clone(&own));
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| answer(Rc::clone(&state), Rc::clone(&own), request));
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PEER_IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "a router's connection ended");
            }
        });
    }
}

async fn answer(
    state: Rc<RefCell<ControlState>>,
    own: OwnCounts,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let with_status = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != SYNC_PATH {
        return Ok(with_status(StatusCode::NOT_FOUND));
    }
    let Ok(frame) = Limited::new(request.into_body(), MAX_FRAME_BYTES)
        .collect()
        .await
    else {
        return Ok(with_status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let reply = answer_frame(&mut state.borrow_mut(), &own.borrow(), &frame.to_bytes());
    Ok(match reply {
        Ok(reply) => Response::new(Full::new(reply)),
        Err(error) => {
            tracing::warn!(event = "peer_message_refused", %error);
            with_status(StatusCode::BAD_REQUEST)
        }
    })
}

fn answer_frame(
    state: &mut ControlState,
    own: &[TargetCount],
    frame: &[u8],
) -> Result<Bytes, FrameError> {
    let now = state.clock.now();
    let name = state.name.clone();
    let envelope: Envelope<SyncRequest> =
        state.codec.open(MessageKind::SyncRequest, &name, frame)?;
    let sender = SyncRouter {
        name: envelope.from.clone(),
        address: envelope.body.address,
    };
    state.note_router(&sender, Some(now));
    let request = envelope.body;
    if let Some(peer) = state.peers.get_mut(&envelope.from) {
        peer.counts = request.counts;
        peer.counts_at = Some(now);
        peer.is_stopping = request.is_stopping;
    }
    let config = state.config.as_ref();
    let newer = config.filter(|(revision, _)| *revision > request.config_revision);
    let part = state.log.part_since(
        state.incarnation,
        request.roster_epoch,
        request.roster_sequence,
    );
    let roster = part.unwrap_or_else(|error| {
        tracing::error!(event = "roster_not_encoded", %error);
        None
    });
    let reply = SyncReply {
        view_age_ms: state
            .read_age(now)
            .map(briarrail_model::MilliDuration::as_millis),
        routers: state.live_routers(now),
        counts: state.counts_without(&envelope.from, own, now),
        config: newer.map(|(revision, body)| ConfigPart {
            revision: *revision,
            body: body.clone(),
        }),
        roster: roster.filter(|_| state.has_targets),
    };
    let envelope = Envelope {
        from: name,
        incarnation: state.incarnation,
        to: envelope.from,
        body: reply,
    };
    state.codec.seal(MessageKind::SyncReply, &envelope)
}
