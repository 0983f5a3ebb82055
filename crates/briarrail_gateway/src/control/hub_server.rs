//! Answers sync requests from the other routers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::ViewTime;
use briarrail_model::MilliDuration;
use briarrail_peer::{Envelope, FrameError, MAX_FRAME_BYTES, MessageKind, SyncReply, SyncRequest};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::SharedControlState;
use super::control_state::ControlState;
use super::release_admission::{ADMISSION_PATH, answer_admission_frame};
use super::suspect_exchange::EncodedReports;
use crate::fleet_counts::FleetCounts;

/// Idle time after which another router's connection is closed; many syncs.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum time between two syncs of a follower; keeps the age of counts below the duration of a
/// short request.
pub(crate) const MIN_SYNC_INTERVAL_MS: u32 = 200;
/// Maximum time between two syncs of a follower; the removal of a target must be known within
/// seconds.
const MAX_SYNC_INTERVAL_MS: u32 = 600;
/// Time that each follower adds to the sync interval; about ten times the cost of its sync on a
/// small host.
const SYNC_INTERVAL_MS_PER_FOLLOWER: u32 = 6;

/// Time for which a router that is shutting down is not followed; it has exited by then.
const STOPPING_ROUTER_AVOIDANCE: MilliDuration = MilliDuration::from_millis(10_000);

/// Path of sync requests.
pub(crate) const SYNC_PATH: &str = "/sync";

/// Accepts connections from the other routers and answers their sync requests.
pub(crate) async fn serve_peers(state: SharedControlState, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "peer_accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "failed to set TCP_NODELAY");
        }
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| handle_request(Rc::clone(&state), request));
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PEER_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection of another router failed");
            }
        });
    }
}

async fn handle_request(
    state: SharedControlState,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let empty_response = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    let path = request.uri().path().to_owned();
    if path != SYNC_PATH && path != ADMISSION_PATH {
        return Ok(empty_response(StatusCode::NOT_FOUND));
    }
    let Ok(frame) = Limited::new(request.into_body(), MAX_FRAME_BYTES)
        .collect()
        .await
    else {
        return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let frame = frame.to_bytes();
    let reply = if path == ADMISSION_PATH {
        answer_admission_frame(&state, &frame).await
    } else {
        handle_frame(&mut state.borrow_mut(), &frame)
    };
    Ok(match reply {
        Ok(reply) => Response::new(Full::new(reply)),
        Err(error) => {
            tracing::warn!(event = "peer_message_refused", %error);
            empty_response(StatusCode::BAD_REQUEST)
        }
    })
}

fn handle_frame(state: &mut ControlState, frame: &[u8]) -> Result<Bytes, FrameError> {
    let now = state.clock.now();
    let local_name = state.local.name.clone();
    let envelope: Envelope<SyncRequest> =
        state
            .codec
            .open(MessageKind::SyncRequest, &local_name, frame)?;
    let request = envelope.body;
    state.upsert_router(request.sender.clone(), now);
    if let Some(stored) = &request.config {
        state.adopt_encoded_config(stored, "router");
    }
    let config = state.config_for(&request);
    let wants_config = state.requests_config(&request, now);
    if request.is_stopping {
        state.avoid(&envelope.from, now + STOPPING_ROUTER_AVOIDANCE);
    }
    // The sender accounts for the transit, since only it knows the round trip.
    let reports = EncodedReports {
        parts: request.part_reports,
        requests: request.request_reports,
    };
    state.merge_encoded_suspect_reports(&reports, MilliDuration::ZERO, "router");
    if let Some(list) = request.evacuations {
        state.adopt_evacuation_list(list, ViewTime::Unknown, "router");
    }
    if request.is_greeting {
        tracing::info!(event = "greeted", router = %envelope.from);
    } else if request.wants_view {
        state.view_requested_at = Some(now);
    } else {
        let counts = FleetCounts {
            targets: request.counts,
            demands: request.demands,
            limits: request.limits,
            leaving: request.leaving.into_iter().collect(),
            pauses: FleetCounts::decode_pauses(&request.pauses),
        };
        state.record_follower_counts(&envelope.from, counts, request.counted_routers, now);
    }
    let update = state.roster_log.update_since(
        state.incarnation,
        request.roster_epoch,
        request.roster_sequence,
        now,
    );
    let roster = update.unwrap_or_else(|error| {
        tracing::error!(event = "roster_not_encoded", %error);
        None
    });
    let has_same_routers = request.routers_digest == state.routers_digest();
    let counts = state.counts_for(&envelope.from, now);
    let reports = state.encode_suspect_reports(MilliDuration::ZERO, now);
    let reply = SyncReply {
        view_age_ms: state.view_age(now).map(MilliDuration::as_millis),
        view_min_age_ms: state
            .view_tracker
            .min_age(now)
            .map(MilliDuration::as_millis),
        store_read_failed: state.has_failing_calls(),
        routers: (!has_same_routers).then(|| state.known_routers()),
        live_routers: state.live_routers(now),
        next_round_ms: sync_interval_ms(state.follower_count(now)),
        leaving: counts.leaving_list(),
        pauses: counts.pause_list(),
        counts: counts.targets,
        demands: counts.demands,
        limits: counts.limits,
        part_reports: reports.parts,
        request_reports: reports.requests,
        evacuations: state.evacuation_list(now),
        store_epoch: state.store_revision.map(|revision| revision.epoch),
        config,
        wants_config,
        roster: roster.filter(|_| state.has_target_list && !request.is_greeting),
    };
    let envelope = Envelope {
        from: local_name,
        incarnation: state.incarnation,
        to: envelope.from,
        body: reply,
    };
    state.codec.seal(MessageKind::SyncReply, &envelope)
}

/// Returns the time between two syncs of a follower, which grows with the number of followers so
/// that they do not overload this host.
fn sync_interval_ms(followers: usize) -> u32 {
    let interval = followers as u32 * SYNC_INTERVAL_MS_PER_FOLLOWER;
    interval.clamp(MIN_SYNC_INTERVAL_MS, MAX_SYNC_INTERVAL_MS)
}
