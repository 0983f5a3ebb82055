//! Answers the other routers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use briarrail_model::MilliDuration;
use briarrail_peer::{
    Envelope, FrameError, MAX_FRAME_BYTES, MessageKind, StoredConfig, SyncReply, SyncRequest,
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

/// Shortest time between a follower's rounds: counts stay fresher than a short request lasts.
pub(crate) const MIN_ROUND_MS: u32 = 200;
/// Longest time between a follower's rounds: targets that leave must be known within seconds.
const MAX_ROUND_MS: u32 = 600;
/// Time that one follower adds, about ten times what its round costs a small host.
const ROUND_MS_PER_FOLLOWER: u32 = 6;

/// How long a router that stops is not followed; it is gone by then.
const STOP_AVOIDANCE: MilliDuration = MilliDuration::from_millis(10_000);

/// Path at which routers ask for what they lack.
pub(crate) const SYNC_PATH: &str = "/sync";

/// Serves the other routers.
pub(crate) async fn serve_peers(state: Rc<RefCell<ControlState>>, listener: TcpListener) {
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
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| answer(Rc::clone(&state), request));
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
    let reply = answer_frame(&mut state.borrow_mut(), &frame.to_bytes());
    Ok(match reply {
        Ok(reply) => Response::new(Full::new(reply)),
        Err(error) => {
            tracing::warn!(event = "peer_message_refused", %error);
            with_status(StatusCode::BAD_REQUEST)
        }
    })
}

fn answer_frame(state: &mut ControlState, frame: &[u8]) -> Result<Bytes, FrameError> {
    let now = state.clock.now();
    let name = state.own.name.clone();
    let envelope: Envelope<SyncRequest> =
        state.codec.open(MessageKind::SyncRequest, &name, frame)?;
    let request = envelope.body;
    state.note_router(request.sender);
    if request.is_stopping {
        state.avoid(&envelope.from, now + STOP_AVOIDANCE);
    }
    if request.wants_view {
        state.view_wanted_at = Some(now);
    } else {
        state.take_counts(&envelope.from, request.counts, request.counted_routers, now);
    }
    let config = state.config.as_ref();
    let newer = config.filter(|(revision, _)| *revision > request.config_revision);
    let part = state.log.part_since(
        state.incarnation,
        request.roster_epoch,
        request.roster_sequence,
        now,
    );
    let roster = part.unwrap_or_else(|error| {
        tracing::error!(event = "roster_not_encoded", %error);
        None
    });
    let has_routers = request.routers_digest == state.routers_digest();
    let reply = SyncReply {
        view_age_ms: state.view_age(now).map(MilliDuration::as_millis),
        store_read_failed: state.is_cut(),
        routers: (!has_routers).then(|| state.known_routers()),
        live_routers: state.live_routers(now),
        next_round_ms: next_round_ms(state.follower_count(now)),
        counts: state.counts_for(&envelope.from, now),
        config: newer.map(|(revision, body)| StoredConfig {
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

/// Returns the time between a follower's rounds, so that many followers don't outrun this host.
fn next_round_ms(followers: usize) -> u32 {
    let wished = followers as u32 * ROUND_MS_PER_FOLLOWER;
    wished.clamp(MIN_ROUND_MS, MAX_ROUND_MS)
}
