//! Rounds with the router that this one follows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{
    RemovalPolicy, RosterChange, RosterRecord, TargetRecord, ViewPosition, ViewTimeBounds,
};
use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::{
    Envelope, MessageKind, RosterUpdate, StoredConfig, SyncReply, SyncRequest, SyncRouter,
};
use bytes::Bytes;
use tokio::sync::oneshot;

use super::SharedControl;
use super::config_codec::decode_config;
use super::control_state::{ControlState, HubView, VIEW_LIMIT};
use super::hub_server::{MIN_ROUND_MS, SYNC_PATH};
use crate::traffic::{ControlUpdate, StopPhase};
use crate::{CallClient, VersionedConfig};

/// Longest round; several round trips within a site, with a configuration in the reply.
const ROUND_LIMIT: Duration = Duration::from_millis(500);
/// How long a router that the store fails as well is not asked for its view.
const STALE_AVOIDANCE: MilliDuration = MilliDuration::from_millis(1_000);
/// Longest wait for the traffic thread's counts.
const COUNTS_LIMIT: Duration = Duration::from_millis(100);

/// Follows the chosen router in rounds, for ever.
pub(crate) async fn run_rounds(state: SharedControl) {
    let mut clients: HashMap<SocketAddr, CallClient> = HashMap::new();
    let mut followed: Option<HostName> = None;
    loop {
        read_own_counts(&state).await;
        let (now, hub) = {
            let mut state = state.borrow_mut();
            let now = state.clock.now();
            let late = state.roster.expire(now);
            state.apply_roster(late, "expired");
            state.publish_router_count(now);
            (now, state.choose_hub(now))
        };
        let name = hub.as_ref().map(|hub| hub.name.clone());
        if name != followed {
            match &name {
                Some(hub) => tracing::info!(event = "following", hub = %hub),
                None => tracing::info!(event = "reading_store"),
            }
            followed = name;
        }
        let round = match &hub {
            Some(hub) => {
                clients.retain(|address, _| *address == hub.address);
                let client = client_of(&mut clients, hub);
                ask_hub(&state, &client, &hub.name, false).await
            }
            None => {
                state.borrow_mut().hub_view = None;
                ask_for_views(&state, &mut clients).await;
                MIN_ROUND_MS
            }
        };
        {
            let state = state.borrow();
            let counts = state.peer_counts(now);
            state.tell_traffic(ControlUpdate::PeerCounts(counts));
        }
        tokio::time::sleep(Duration::from_millis(u64::from(round))).await;
    }
}

fn client_of(clients: &mut HashMap<SocketAddr, CallClient>, router: &SyncRouter) -> CallClient {
    let client = clients.entry(router.address);
    client
        .or_insert_with(|| CallClient::new(router.address))
        .clone()
}

/// Asks others for their view while the store fails this router, which follows nobody.
async fn ask_for_views(state: &SharedControl, clients: &mut HashMap<SocketAddr, CallClient>) {
    let sources = {
        let state = state.borrow();
        if !state.is_cut() {
            clients.clear();
            return;
        }
        state.choose_view_sources(state.clock.now())
    };
    let names: Vec<&str> = sources.iter().map(|source| source.name.as_str()).collect();
    tracing::info!(event = "asking_for_views", sources = names.join(","));
    let mut questions = tokio::task::JoinSet::new();
    for source in sources {
        let (state, client) = (Rc::clone(state), client_of(clients, &source));
        questions.spawn_local(async move { ask_hub(&state, &client, &source.name, true).await });
    }
    questions.join_all().await;
}

async fn read_own_counts(state: &SharedControl) {
    let (reply, counts) = oneshot::channel();
    state
        .borrow()
        .tell_traffic(ControlUpdate::LocalCounts(reply));
    match tokio::time::timeout(COUNTS_LIMIT, counts).await {
        Ok(Ok(counts)) => state.borrow_mut().own_counts = counts,
        Ok(Err(_)) | Err(_) => tracing::debug!("no counts from the traffic thread"),
    }
}

/// Asks the followed router, and returns the milliseconds until the next round.
async fn ask_hub(
    state: &SharedControl,
    client: &CallClient,
    name: &HostName,
    wants_view: bool,
) -> u32 {
    let (frame, asked_at) = {
        let state = state.borrow();
        let now = state.clock.now();
        let position = state.view_order.position();
        let envelope = Envelope {
            from: state.own.name.clone(),
            incarnation: state.incarnation,
            to: name.clone(),
            body: SyncRequest {
                sender: state.own.clone(),
                config_revision: state.config.as_ref().map_or(0, |(revision, _)| *revision),
                roster_epoch: position.epoch,
                roster_sequence: position.sequence,
                counts: state.covered_counts(None, now),
                counted_routers: state.covered_routers(now),
                routers_digest: state.routers_digest(),
                wants_view,
                is_stopping: state.shared.stop_phase() != StopPhase::Serving,
            },
        };
        let frame = state.codec.seal(MessageKind::SyncRequest, &envelope);
        (frame, now)
    };
    let frame = match frame {
        Ok(frame) => frame,
        Err(error) => {
            tracing::error!(event = "sync_not_encoded", %error);
            return MIN_ROUND_MS;
        }
    };
    let outcome = call_hub(state, client, frame).await;
    let mut state = state.borrow_mut();
    match outcome {
        Ok(envelope) => {
            let next = envelope.body.next_round_ms;
            take_reply(&mut state, name, envelope.body, wants_view, asked_at);
            next
        }
        Err(error) => {
            let now = state.clock.now();
            state.metrics.count_sync("failed");
            tracing::info!(event = "hub_lost", hub = %name, error);
            state.avoid_silent(name, now);
            0
        }
    }
}

async fn call_hub(
    state: &SharedControl,
    client: &CallClient,
    frame: Bytes,
) -> Result<Envelope<SyncReply>, String> {
    let content_type = "application/msgpack";
    let reply = client
        .post(SYNC_PATH, content_type, frame, ROUND_LIMIT)
        .await
        .map_err(|error| error.to_string())?;
    if !reply.status.is_success() {
        return Err(format!("status {}", reply.status));
    }
    let state = state.borrow();
    state
        .codec
        .open(MessageKind::SyncReply, &state.own.name, &reply.body)
        .map_err(|error| error.to_string())
}

fn take_reply(
    state: &mut ControlState,
    hub: &HostName,
    reply: SyncReply,
    wants_view: bool,
    asked_at: MilliTime,
) {
    let now = state.clock.now();
    state.note_answer(hub, now);
    if !wants_view {
        state.hub_view = Some(HubView {
            counts: reply.counts,
            live: reply.live_routers,
            told_at: now,
        });
    }
    if let Some(routers) = reply.routers {
        state.replace_routers(routers, now);
    }
    if let Some(part) = reply.config {
        take_config(state, &part);
    }
    let age = reply.view_age_ms.map(MilliDuration::from_millis);
    if age.is_none() && !reply.store_read_failed && !wants_view {
        state.hub_waited_at = Some(now);
        return;
    }
    let Some(age) = age.filter(|age| *age <= VIEW_LIMIT) else {
        state.metrics.count_sync("stale");
        tracing::debug!(event = "hub_view_old", hub = %hub, is_cut = reply.store_read_failed);
        if wants_view && reply.store_read_failed {
            state.avoid_view(hub, now + STALE_AVOIDANCE);
        }
        return;
    };
    let age_before = state.view_age(now);
    state.roster.observe_view_age(now, age_before);
    let seen = ViewTimeBounds {
        earliest: asked_at - age,
        latest: now - age,
    };
    state.note_config_seen(seen.earliest);
    let held = state.view_order.position();
    let told = reply.roster.as_ref().map_or(held, |part| ViewPosition {
        epoch: part.epoch,
        sequence: part.sequence,
    });
    if !state.view_order.accepts(told.epoch, seen) {
        state.metrics.count_sync("older");
        return;
    }
    if let Some(part) = reply.roster
        && !take_roster(state, &part)
    {
        return;
    }
    state.view_order.record_adopted_view(told, seen);
    state.metrics.count_sync("good");
}

fn take_config(state: &mut ControlState, part: &StoredConfig) {
    match decode_config(&part.body) {
        Ok(config) => state.adopt_config(
            VersionedConfig {
                revision: part.revision,
                config,
            },
            "hub",
        ),
        Err(error) => tracing::error!(event = "hub_config_unreadable", %error),
    }
}

/// Takes a followed router's targets, and returns whether they could be read.
fn take_roster(state: &mut ControlState, part: &RosterUpdate) -> bool {
    let rows = match rmp_serde::from_slice::<Vec<TargetRecord>>(&part.rows) {
        Ok(rows) => rows,
        Err(error) => {
            tracing::error!(event = "hub_roster_unreadable", %error);
            return false;
        }
    };
    let now = state.clock.now();
    let kept: HashMap<&str, u64> = part
        .expiring
        .iter()
        .map(|(id, left)| (&**id, *left))
        .collect();
    let rows = rows.into_iter().map(|row| {
        let left = kept.get(row.id.as_str()).copied();
        RosterRecord {
            retained_until: left.map(|left| now + MilliDuration::from_millis(left)),
            record: row,
        }
    });
    let changes: Vec<RosterChange> = if part.is_full {
        state.roster.replace_all(rows, RemovalPolicy::Immediate)
    } else {
        let mut changes: Vec<_> = rows.flat_map(|row| state.roster.upsert(row)).collect();
        let gone = part.removed.iter();
        changes.extend(gone.filter_map(|id| state.roster.remove(id, RemovalPolicy::Immediate)));
        changes
    };
    state.apply_roster(changes, "hub");
    state.has_targets = true;
    true
}
