//! Periodic syncs with the hub, the router that this one follows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{RemovalPolicy, RosterChange, RosterRecord, ViewPosition, ViewTime};
use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_peer::{
    Envelope, FrameError, MessageKind, RosterUpdate, SyncReply, SyncRequest, SyncRouter,
};
use bytes::Bytes;
use tokio::sync::oneshot;

use super::SharedControlState;
use super::control_state::{ControlState, HubCounts, MAX_VIEW_AGE};
use super::hub_server::{MIN_SYNC_INTERVAL_MS, SYNC_PATH};
use super::roster_codec::decode_records;
use super::suspect_exchange::EncodedReports;
use crate::fleet_counts::FleetCounts;
use crate::traffic::{ControlUpdate, StopPhase};
use crate::{CallClient, StoreRevision};

/// Timeout of a sync; several round trips within a site, with a configuration in the reply.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a router that cannot read the store either is not asked for its view.
const STALE_VIEW_AVOIDANCE: MilliDuration = MilliDuration::from_millis(1_000);
/// Timeout for reading the traffic thread's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Syncs with the hub, or with several other routers while there is no hub and the store fails,
/// indefinitely.
pub(crate) async fn run_hub_sync(state: SharedControlState) {
    let mut clients: HashMap<SocketAddr, CallClient> = HashMap::new();
    let mut followed_name: Option<HostName> = None;
    loop {
        update_local_report(&state).await;
        let (now, hub) = {
            let mut state = state.borrow_mut();
            let now = state.clock.now();
            let expired = state.roster.expire(now);
            state.apply_roster_changes(expired, "expired");
            state.expire_evacuations(now);
            state.publish_router_count(now);
            state.followed = state.choose_hub(now);
            (now, state.followed.clone())
        };
        let name = hub.as_ref().map(|hub| hub.name.clone());
        if name != followed_name {
            match &name {
                Some(hub) => tracing::info!(event = "following", hub = %hub),
                None => tracing::info!(event = "reading_store"),
            }
            followed_name = name;
        }
        let interval_ms = match &hub {
            Some(hub) => {
                clients.retain(|address, _| *address == hub.address);
                let client = client_for(&mut clients, hub);
                sync_with(&state, &client, &hub.name, false).await
            }
            None => {
                state.borrow_mut().hub_counts = None;
                request_views(&state, &mut clients).await;
                MIN_SYNC_INTERVAL_MS
            }
        };
        greet_silent_routers(&state);
        {
            let state = state.borrow();
            state.send_router_list(state.clock.now());
            state.send_view_time();
            let counts = state.peer_counts(now);
            state.send_update(ControlUpdate::PeerCounts(counts));
        }
        tokio::time::sleep(Duration::from_millis(u64::from(interval_ms))).await;
    }
}

fn client_for(clients: &mut HashMap<SocketAddr, CallClient>, router: &SyncRouter) -> CallClient {
    let client = clients.entry(router.address);
    client
        .or_insert_with(|| CallClient::new(router.address))
        .clone()
}

/// Requests the views of other routers while this router follows none and cannot read the store.
async fn request_views(state: &SharedControlState, clients: &mut HashMap<SocketAddr, CallClient>) {
    let sources = {
        let state = state.borrow();
        if !state.has_failing_calls() {
            clients.clear();
            return;
        }
        state.choose_view_sources(state.clock.now())
    };
    let names: Vec<&str> = sources.iter().map(|source| source.name.as_str()).collect();
    tracing::info!(event = "asking_for_views", sources = names.join(","));
    let mut requests = tokio::task::JoinSet::new();
    for source in sources {
        let (state, client) = (Rc::clone(state), client_for(clients, &source));
        requests.spawn_local(async move { sync_with(&state, &client, &source.name, true).await });
    }
    requests.join_all().await;
}

async fn update_local_report(state: &SharedControlState) {
    let (reply, report) = oneshot::channel();
    state
        .borrow()
        .send_update(ControlUpdate::LocalReport(reply));
    match tokio::time::timeout(REPORT_TIMEOUT, report).await {
        Ok(Ok(report)) => {
            let mut state = state.borrow_mut();
            state.local_counts = report.counts;
            state.merge_local_suspect_reports(&report.suspect_reports);
        }
        Ok(Err(_)) | Err(_) => {
            tracing::debug!("failed to read the report of the traffic thread");
        }
    }
}

/// Syncs with another router, and returns the time until the next sync in milliseconds; 0 if the
/// request could not be delivered or got no valid reply.
async fn sync_with(
    state: &SharedControlState,
    client: &CallClient,
    name: &HostName,
    wants_view: bool,
) -> u32 {
    let (frame, requested_at) = {
        let mut state = state.borrow_mut();
        let now = state.clock.now();
        let position = state.view_tracker.position();
        let counts = state.covered_counts(None, now);
        let config = state.take_requested_config(name);
        let reports = state.encode_suspect_reports(state.sync_transit(), now);
        let request = SyncRequest {
            sender: state.local.clone(),
            config_revision: state.config_revision(),
            config_version: Some(state.config_version()),
            config,
            roster_epoch: position.epoch,
            roster_sequence: position.sequence,
            leaving: counts.leaving_list(),
            pauses: counts.pause_list(),
            counts: counts.targets,
            demands: counts.demands,
            limits: counts.limits,
            part_reports: reports.parts,
            request_reports: reports.requests,
            evacuations: state.reported_evacuations(now),
            counted_routers: state.counted_routers(now),
            routers_digest: state.routers_digest(),
            wants_view,
            is_stopping: state.shared.stop_phase() != StopPhase::Serving,
            is_greeting: false,
        };
        (seal_request(&state, name, request), now)
    };
    let frame = match frame {
        Ok(frame) => frame,
        Err(error) => {
            tracing::error!(event = "sync_not_encoded", %error);
            return MIN_SYNC_INTERVAL_MS;
        }
    };
    let outcome = send_sync_request(state, client, frame).await;
    let mut state = state.borrow_mut();
    match outcome {
        Ok(envelope) => {
            let interval_ms = envelope.body.next_round_ms;
            apply_reply(&mut state, name, envelope.body, wants_view, requested_at);
            interval_ms
        }
        Err(error) => {
            let now = state.clock.now();
            state.metrics.count_sync("failed");
            tracing::info!(event = "hub_lost", hub = %name, error);
            state.avoid_unresponsive(name, now);
            0
        }
    }
}

/// Encodes a sync request to another router.
fn seal_request(
    state: &ControlState,
    name: &HostName,
    request: SyncRequest,
) -> Result<Bytes, FrameError> {
    let envelope = Envelope {
        from: state.local.name.clone(),
        incarnation: state.incarnation,
        to: name.clone(),
        body: request,
    };
    state.codec.seal(MessageKind::SyncRequest, &envelope)
}

/// Makes this router known to listed routers of its data centre that it does not hear from, so that
/// they can follow it even if they cannot read the store.
fn greet_silent_routers(state: &SharedControlState) {
    let now = state.borrow().clock.now();
    let routers = state.borrow_mut().take_greetings(now);
    for router in routers {
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            if let Err(error) = greet(&state, &router).await {
                tracing::info!(event = "greeting_failed", router = %router.name, error);
            }
        });
    }
}

async fn greet(state: &SharedControlState, router: &SyncRouter) -> Result<(), String> {
    let frame = {
        let state = state.borrow();
        let request = SyncRequest {
            sender: state.local.clone(),
            config_revision: 0,
            config_version: None,
            config: None,
            roster_epoch: 0,
            roster_sequence: 0,
            counts: Vec::new(),
            demands: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
            pauses: Vec::new(),
            part_reports: Bytes::new(),
            request_reports: Bytes::new(),
            evacuations: None,
            counted_routers: 0,
            routers_digest: state.routers_digest(),
            wants_view: false,
            is_stopping: false,
            is_greeting: true,
        };
        seal_request(&state, &router.name, request)
    };
    let frame = frame.map_err(|error| error.to_string())?;
    send_sync_request(state, &CallClient::new(router.address), frame).await?;
    Ok(())
}

async fn send_sync_request(
    state: &SharedControlState,
    client: &CallClient,
    frame: Bytes,
) -> Result<Envelope<SyncReply>, String> {
    let content_type = "application/msgpack";
    let reply = client
        .post(SYNC_PATH, content_type, frame, SYNC_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if !reply.status.is_success() {
        return Err(format!("status {}", reply.status));
    }
    let state = state.borrow();
    state
        .codec
        .open(MessageKind::SyncReply, &state.local.name, &reply.body)
        .map_err(|error| error.to_string())
}

fn apply_reply(
    state: &mut ControlState,
    hub: &HostName,
    reply: SyncReply,
    wants_view: bool,
    requested_at: MilliTime,
) {
    let now = state.clock.now();
    state.record_contact(hub, now);
    state.sync_round_trip = now.since(requested_at);
    let transit = state.sync_transit();
    let reports = EncodedReports {
        parts: reply.part_reports,
        requests: reply.request_reports,
    };
    state.merge_encoded_suspect_reports(&reports, transit, "hub");
    if !wants_view {
        state.hub_counts = Some(HubCounts {
            counts: FleetCounts {
                targets: reply.counts,
                demands: reply.demands,
                limits: reply.limits,
                leaving: reply.leaving.into_iter().collect(),
                pauses: FleetCounts::decode_pauses(&reply.pauses),
            },
            live_routers: reply.live_routers,
            received_at: now,
        });
    }
    if let Some(routers) = reply.routers {
        state.replace_routers(routers, now);
    }
    if let Some(epoch) = reply.store_epoch {
        state.observe_store_revision(StoreRevision { epoch, number: 0 }, "hub");
    }
    if let Some(stored) = reply.config {
        state.adopt_encoded_config(&stored, "hub");
    }
    if reply.wants_config {
        state.config_requested_by = Some(hub.clone());
    }
    if let Some(list) = reply.evacuations {
        let age = list.age_ms.map(MilliDuration::from_millis);
        let time = age.map_or(ViewTime::Unknown, |age| {
            ViewTime::reported(age, None, requested_at, now)
        });
        state.adopt_evacuation_list(list, time, "hub");
    }
    let age = reply.view_age_ms.map(MilliDuration::from_millis);
    if age.is_none() && !reply.store_read_failed && !wants_view {
        state.hub_starting_at = Some(now);
        return;
    }
    let Some(age) = age.filter(|age| *age <= MAX_VIEW_AGE) else {
        state.metrics.count_sync("stale");
        tracing::debug!(event = "hub_view_old", hub = %hub, is_cut = reply.store_read_failed);
        if wants_view && reply.store_read_failed {
            state.avoid_view(hub, now + STALE_VIEW_AVOIDANCE);
        }
        return;
    };
    let previous_age = state.view_age(now);
    state.roster.observe_view_age(now, previous_age);
    let min_age = reply.view_min_age_ms.map(MilliDuration::from_millis);
    let time = ViewTime::reported(age, min_age, requested_at, now);
    state.config_time.advance(time);
    let current = state.view_tracker.position();
    let position = reply
        .roster
        .as_ref()
        .map_or(current, |update| ViewPosition {
            epoch: update.epoch,
            sequence: update.sequence,
        });
    if !state.view_tracker.accepts(position.epoch, time) {
        state.metrics.count_sync("older");
        return;
    }
    if let Some(update) = reply.roster
        && !apply_roster_update(state, &update)
    {
        return;
    }
    state.view_tracker.record_adopted_view(position, time);
    state.metrics.count_sync("good");
}

/// Applies another router's roster update, and returns whether it could be decoded.
fn apply_roster_update(state: &mut ControlState, update: &RosterUpdate) -> bool {
    let records = match decode_records(update) {
        Ok(records) => records,
        Err(error) => {
            tracing::error!(event = "hub_roster_unreadable", %error);
            return false;
        }
    };
    let now = state.clock.now();
    let expiring: HashMap<&str, u64> = update
        .expiring
        .iter()
        .map(|(id, remaining_ms)| (&**id, *remaining_ms))
        .collect();
    let records = records.into_iter().map(|record| {
        let remaining_ms = expiring.get(record.id.as_str()).copied();
        RosterRecord {
            retained_until: remaining_ms.map(|millis| now + MilliDuration::from_millis(millis)),
            write_sequence: None,
            record,
        }
    });
    let changes: Vec<RosterChange> = if update.is_full {
        state.roster.replace_all(records, RemovalPolicy::Immediate)
    } else {
        let mut changes: Vec<_> = records
            .flat_map(|record| state.roster.upsert(record))
            .collect();
        let removed = update.removed.iter();
        changes.extend(removed.filter_map(|id| state.roster.remove(id, RemovalPolicy::Immediate)));
        changes
    };
    state.apply_roster_changes(changes, "hub");
    state.has_target_list = true;
    true
}
