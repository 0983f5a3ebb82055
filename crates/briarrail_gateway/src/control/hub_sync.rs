//! Rounds with the router that reads the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{RosterChange, SiteConfig, TargetRow};
use briarrail_model::{HostName, MilliDuration};
use briarrail_peer::{Envelope, MessageKind, SyncReply, SyncRequest};
use bytes::Bytes;
use tokio::sync::oneshot;

use super::control_state::{ControlState, VIEW_LIMIT};
use super::hub_server::{OwnCounts, SYNC_PATH};
use crate::traffic::{ControlUpdate, StopPhase};
use crate::{CallClient, ConfigRead};

/// Time between two rounds: counts of other routers stay fresher than a short request lasts.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Longest round; several round trips within a site.
const ROUND_LIMIT: Duration = Duration::from_millis(400);
/// How long a silent router is passed over; it is asked again soon after a restart.
const SILENT_AVOIDANCE: MilliDuration = MilliDuration::from_millis(3_000);
/// How long a router with an old view is passed over.
const STALE_AVOIDANCE: MilliDuration = MilliDuration::from_millis(1_000);
/// Longest wait for the traffic thread's counts.
const COUNTS_LIMIT: Duration = Duration::from_millis(100);

/// Asks the hub in rounds, for ever.
pub(crate) async fn run_rounds(state: Rc<RefCell<ControlState>>, own: OwnCounts) {
    let mut clients: HashMap<SocketAddr, CallClient> = HashMap::new();
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        read_own_counts(&state, &own).await;
        let now = state.borrow().clock.now();
        state.borrow().publish_router_count(now);
        let hub = state.borrow().choose_hub(now);
        let Some((name, address)) = hub else {
            // This router is the hub; the counts that the others told it are its own to use.
            let (counts, updates) = {
                let state = state.borrow();
                let counts = state.counts_without(&state.name, &own.borrow(), now);
                (counts, state.updates.clone())
            };
            if updates.send(ControlUpdate::PeerCounts(counts)).is_err() {
                return;
            }
            continue;
        };
        clients.retain(|known, _| *known == address);
        let client = clients
            .entry(address)
            .or_insert_with(|| CallClient::new(address));
        ask_hub(&state, client, &name, &own).await;
    }
}

async fn read_own_counts(state: &Rc<RefCell<ControlState>>, own: &OwnCounts) {
    let (reply, counts) = oneshot::channel();
    state.borrow().tell_traffic(ControlUpdate::OwnCounts(reply));
    match tokio::time::timeout(COUNTS_LIMIT, counts).await {
        Ok(Ok(counts)) => *own.borrow_mut() = counts,
        Ok(Err(_)) | Err(_) => tracing::debug!("no counts from the traffic thread"),
    }
}

async fn ask_hub(
    state: &Rc<RefCell<ControlState>>,
    client: &CallClient,
    name: &HostName,
    own: &OwnCounts,
) {
    let frame = {
        let state = state.borrow();
        let envelope = Envelope {
            from: state.name.clone(),
            incarnation: state.incarnation,
            to: name.clone(),
            body: SyncRequest {
                address: state.address,
                config_revision: state.config.as_ref().map_or(0, |(revision, _)| *revision),
                roster_epoch: state.hub_position.0,
                roster_sequence: state.hub_position.1,
                counts: own.borrow().clone(),
                is_stopping: state.shared.stop_phase() != StopPhase::Serving,
            },
        };
        state.codec.seal(MessageKind::SyncRequest, &envelope)
    };
    let frame = match frame {
        Ok(frame) => frame,
        Err(error) => {
            tracing::error!(event = "sync_not_encoded", %error);
            return;
        }
    };
    let outcome = call_hub(state, client, frame).await;
    let mut state = state.borrow_mut();
    let now = state.clock.now();
    match outcome {
        Ok(envelope) => take_reply(&mut state, name, envelope),
        Err(error) => {
            state.metrics.count_sync("failed");
            tracing::info!(event = "hub_lost", hub = %name, error);
            state.avoid(name, now + SILENT_AVOIDANCE);
        }
    }
}

async fn call_hub(
    state: &Rc<RefCell<ControlState>>,
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
        .open(MessageKind::SyncReply, &state.name, &reply.body)
        .map_err(|error| error.to_string())
}

fn take_reply(state: &mut ControlState, hub: &HostName, envelope: Envelope<SyncReply>) {
    let now = state.clock.now();
    let reply = envelope.body;
    for router in &reply.routers {
        state.note_router(router, Some(now));
    }
    let age = reply.view_age_ms.map(MilliDuration::from_millis);
    let fresh = age.filter(|age| *age <= VIEW_LIMIT);
    state.tell_traffic(ControlUpdate::PeerCounts(reply.counts));
    if let Some(part) = reply.config {
        match rmp_serde::from_slice::<SiteConfig>(&part.body) {
            Ok(config) => state.adopt_config(
                ConfigRead {
                    revision: part.revision,
                    config,
                },
                "hub",
            ),
            Err(error) => tracing::error!(event = "hub_config_unreadable", %error),
        }
    }
    let Some(age) = fresh else {
        state.metrics.count_sync("stale");
        tracing::info!(event = "hub_view_old", hub = %hub, age_ms = age.map(MilliDuration::as_millis));
        state.avoid(hub, now + STALE_AVOIDANCE);
        return;
    };
    if let Some(part) = reply.roster {
        match rmp_serde::from_slice::<Vec<TargetRow>>(&part.rows) {
            Ok(rows) => {
                let changes: Vec<RosterChange> = if part.is_whole {
                    state.roster.replace(rows, now)
                } else {
                    let puts = rows.into_iter().filter_map(|row| state.roster.put(row));
                    let mut changes: Vec<_> = puts.collect();
                    let gone = part.gone.iter();
                    changes.extend(gone.filter_map(|id| state.roster.remove(id, now)));
                    changes
                };
                state.apply_roster(changes, "hub");
                state.hub_position = (part.epoch, part.sequence);
                state.has_targets = true;
            }
            Err(error) => tracing::error!(event = "hub_roster_unreadable", %error),
        }
    }
    // The view went on without this router's own reads, so what lapsed meanwhile is gone.
    state.roster.forget_outage();
    let seen_at = now - age;
    state.config_seen_at = state.config_seen_at.max(Some(seen_at));
    state.targets_seen_at = state.targets_seen_at.max(Some(seen_at));
    state.metrics.count_sync("good");
}
