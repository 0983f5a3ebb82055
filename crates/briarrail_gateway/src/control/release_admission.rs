//! Has routers listed in the store as users of guarded releases, before they send requests there.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{ReleaseEntry, ReleaseKey, ReleaseUser, ServiceRelease};
use briarrail_model::{MilliDuration, MilliTime, StableHash};
use briarrail_peer::{
    AdmissionReply, AdmissionRequest, Envelope, FrameError, MessageKind, ReleaseName, SyncRouter,
};
use bytes::Bytes;
use tokio::sync::oneshot;

use super::SharedControlState;
use super::control_state::ControlState;
use super::origin_exchange::OriginExchange;
use crate::{CallClient, SiteStore};

/// Path of admission requests.
pub(super) const ADMISSION_PATH: &str = "/admission";
/// Timeout of an admission request; longer than the receiver waits for the store.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a router that starts waits for its own, cheaper reads: most releases are open, and
/// the router that it follows is not known yet.
const START_TIME: MilliDuration = MilliDuration::from_millis(1_000);

/// A router's request to be listed as a user of releases.
#[derive(Debug)]
pub(crate) struct AdmissionCall {
    user: ReleaseUser,
    request: AdmissionRequest,
    /// Gets the releases that the router may use.
    reply: oneshot::Sender<BTreeSet<ReleaseKey>>,
}

/// Asks for admission to the releases that this router may not use yet, unless it is asking already.
pub(super) fn request_admission<S>(exchange: &Rc<OriginExchange<S>>)
where
    S: SiteStore,
{
    let pending = {
        let mut state = exchange.state.borrow_mut();
        if !state.has_target_list {
            return;
        }
        state.update_gate();
        let is_starting = state.clock.now().since(MilliTime::default()) < START_TIME;
        if is_starting && (state.releases.is_none() || !state.is_listed) {
            return;
        }
        state.gate.pending(&state.releases_in_use())
    };
    if pending.is_empty() || exchange.is_requesting_admission.replace(true) {
        return;
    }
    let exchange = Rc::clone(exchange);
    tokio::task::spawn_local(async move {
        exchange.seek_admission(&pending).await;
        exchange.is_requesting_admission.set(false);
    });
}

/// Answers another router's request for admission.
pub(super) async fn answer_admission<S>(exchange: Rc<OriginExchange<S>>, call: AdmissionCall)
where
    S: SiteStore,
{
    let admitted = exchange.admit(call.user, call.request).await;
    if call.reply.send(admitted).is_err() {
        tracing::debug!("the router that asked for admission has disconnected");
    }
}

/// Answers an encoded request for admission.
///
/// # Errors
///
/// Fails if the request can't be decoded or the reply can't be encoded.
pub(super) async fn answer_admission_frame(
    state: &SharedControlState,
    frame: &[u8],
) -> Result<Bytes, FrameError> {
    let (requester, admitted) = {
        let state = state.borrow();
        let envelope: Envelope<AdmissionRequest> =
            state
                .codec
                .open(MessageKind::AdmissionRequest, &state.local.name, frame)?;
        let (reply, admitted) = oneshot::channel();
        let user = ReleaseUser {
            router: envelope.from.clone(),
            incarnation: envelope.incarnation,
        };
        let call = AdmissionCall {
            user,
            request: envelope.body,
            reply,
        };
        if state.admissions.send(call).is_err() {
            tracing::debug!("the task that answers requests for admission has ended");
        }
        (envelope.from, admitted)
    };
    let admitted = admitted.await.unwrap_or_default();
    let state = state.borrow();
    let envelope = Envelope {
        from: state.local.name.clone(),
        incarnation: state.incarnation,
        to: requester,
        body: AdmissionReply {
            admitted: admitted.into_iter().map(|key| key.0.0).collect(),
        },
    };
    state.codec.seal(MessageKind::AdmissionReply, &envelope)
}

impl<S> OriginExchange<S>
where
    S: SiteStore,
{
    async fn seek_admission(&self, pending: &BTreeSet<ServiceRelease>) {
        // Streams that begin from now on are told to other routers, so that none is missed.
        self.update_ambiguous().await;
        let request = AdmissionRequest {
            releases: pending.iter().map(release_name).collect(),
            streams: self.ambiguous_streams(),
        };
        let (user, receiver) = {
            let state = self.state.borrow();
            (local_user(&state), self.choose_receiver(&state))
        };
        let admitted = match &receiver {
            None => self.admit(user, request).await,
            Some(receiver) => {
                let reply = self.send_admission_request(receiver, request).await;
                reply.unwrap_or_else(|error| {
                    let router = &receiver.name;
                    tracing::info!(event = "admission_failed", router = %router, error);
                    BTreeSet::new()
                })
            }
        };
        let failures = self.failed_admissions.get();
        let failures = if admitted.is_empty() { failures + 1 } else { 0 };
        self.failed_admissions.set(failures);
        self.state.borrow_mut().admit_releases(&admitted);
    }

    /// Returns the router that writes this router's page, or after failures others in turn; `None` if
    /// it is this one.
    fn choose_receiver(&self, state: &ControlState) -> Option<SyncRouter> {
        let recorder = state.origin_recorder().cloned();
        let others = state.choose_view_sources(state.clock.now());
        let others = others.into_iter().filter(|other| {
            let recorder = recorder.as_ref();
            recorder.is_none_or(|recorder| recorder.name != other.name)
        });
        let mut receivers = vec![recorder.clone()];
        receivers.extend(others.map(Some));
        let index = self.failed_admissions.get() % receivers.len();
        receivers.swap_remove(index)
    }

    async fn send_admission_request(
        &self,
        receiver: &SyncRouter,
        request: AdmissionRequest,
    ) -> Result<BTreeSet<ReleaseKey>, String> {
        let frame = {
            let state = self.state.borrow();
            let envelope = Envelope {
                from: state.local.name.clone(),
                incarnation: state.incarnation,
                to: receiver.name.clone(),
                body: request,
            };
            state.codec.seal(MessageKind::AdmissionRequest, &envelope)
        };
        let frame = frame.map_err(|error| error.to_string())?;
        let client = CallClient::new(receiver.address);
        let content_type = "application/msgpack";
        let reply = client
            .post(ADMISSION_PATH, content_type, frame, REQUEST_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        if !reply.status.is_success() {
            return Err(format!("status {}", reply.status));
        }
        let state = self.state.borrow();
        let envelope: Envelope<AdmissionReply> = state
            .codec
            .open(MessageKind::AdmissionReply, &state.local.name, &reply.body)
            .map_err(|error| error.to_string())?;
        let admitted = envelope.body.admitted.into_iter();
        Ok(admitted.map(|key| ReleaseKey(StableHash(key))).collect())
    }

    /// Lists a router in the store as a user of releases, and returns those that it may use.
    async fn admit(&self, user: ReleaseUser, request: AdmissionRequest) -> BTreeSet<ReleaseKey> {
        let Some(listed) = self.store.read_releases_since(self.now()).await else {
            return BTreeSet::new();
        };
        let names = request.releases.iter();
        let requested: BTreeSet<ReleaseKey> = names
            .map(|name| ReleaseKey::new(&name.service, &name.version))
            .collect();
        let select = |is_guarded: bool| {
            let entries = listed.iter();
            let entries = entries.filter(move |entry| entry.is_guarded == is_guarded);
            let keys = entries.map(|entry: &ReleaseEntry| entry.release.key());
            keys.filter(|key| requested.contains(key))
        };
        let mut admitted: BTreeSet<ReleaseKey> = select(false).collect();
        let guarded: BTreeSet<ReleaseKey> = select(true).collect();
        if guarded.is_empty() {
            return admitted;
        }
        if let Some(ledger) = self.state.borrow_mut().releases.as_mut() {
            let entries = listed.iter();
            let entries = entries.filter(|entry| guarded.contains(&entry.release.key()));
            for entry in entries {
                ledger.record_listed(entry.clone());
            }
        }
        let is_stored = self.store_user(&user, &guarded, &request.streams).await;
        tracing::info!(
            event = "release_user_listed",
            router = %user.router,
            releases = guarded.len(),
            streams = request.streams.len(),
            is_stored,
        );
        if is_stored {
            admitted.extend(guarded);
        }
        admitted
    }
}

fn local_user(state: &ControlState) -> ReleaseUser {
    ReleaseUser {
        router: state.local.name.clone(),
        incarnation: state.incarnation,
    }
}

fn release_name(release: &ServiceRelease) -> ReleaseName {
    ReleaseName {
        service: release.service.clone(),
        version: release.version.clone(),
    }
}
