//! Tells other routers where streams began, so that callers can continue them there after the loss
//! of a router.
//!
//! Each stream has a few holders among the other routers, chosen by its key, so that what a router
//! sends and keeps does not grow with the fleet. A datagram that is lost costs one holder of several;
//! a connection would cost more than the message.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{
    LiveOrigins, ReleaseEntry, ReleaseKey, ReleaseUser, ServiceRelease, StreamKey, StreamOrigins,
    is_in_touch, origin_holders, origin_sources, origin_witnesses, sole_release,
};
use briarrail_model::{HostName, MilliTime, StableHash};
use briarrail_peer::{
    Envelope, FrameError, MessageKind, OriginAnswer, OriginMessage, OriginNotice,
};
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedReceiver;

use super::SharedControlState;
use super::control_state::ControlState;
use super::live_router::LiveRouter;
use super::origin_pages::OriginPages;
use super::origin_queries::OriginQueries;
use super::origin_store::OriginStore;
use super::release_admission::{AdmissionCall, answer_admission, request_admission};
use crate::SiteStore;
use crate::traffic::{OriginCall, StreamOrigin};

/// Maximum size of a datagram, in bytes; fits into a packet of any network.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum number of notices in a datagram.
const MAX_NOTICES: usize = 32;
/// Interval at which new origins are written to the store. Streams that began since the last time
/// can't be continued after the loss of all routers, and each call of the store has a price.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Knows where streams began, from this router's own streams and from other routers.
#[derive(Debug)]
pub(crate) struct OriginExchange<S> {
    pub(super) state: SharedControlState,
    pub(super) store: OriginStore<S>,
    socket: UdpSocket,
    origins: RefCell<StreamOrigins>,
    /// This router's own streams.
    own_streams: RefCell<LiveOrigins>,
    pub(super) queries: OriginQueries,
    pub(super) pages: OriginPages,
    /// Routers that answered that they don't know a stream, and the time of the answers; locked while
    /// they are asked.
    pub(super) census: Mutex<Option<(MilliTime, Rc<Vec<LiveRouter>>)>>,
    /// Whether this router is asking for admission to releases.
    pub(super) is_requesting_admission: Cell<bool>,
    /// Number of consecutive requests for admission that failed.
    pub(super) failed_admissions: Cell<usize>,
    /// Router that was told of this router's streams last, to write them to the store.
    recorder: RefCell<Option<HostName>>,
    /// Releases of the services of which several serve; only their streams are told of.
    pub(super) ambiguous: RefCell<BTreeSet<ReleaseKey>>,
}

impl<S> OriginExchange<S>
where
    S: SiteStore,
{
    pub(crate) fn new(state: SharedControlState, store: S, socket: UdpSocket) -> Self {
        Self {
            store: OriginStore::new(Rc::clone(&state), store),
            state,
            socket,
            origins: RefCell::default(),
            own_streams: RefCell::default(),
            queries: OriginQueries::default(),
            pages: OriginPages::new(),
            census: Mutex::default(),
            is_requesting_admission: Cell::default(),
            failed_admissions: Cell::default(),
            recorder: RefCell::default(),
            ambiguous: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> MilliTime {
        self.state.borrow().clock.now()
    }

    /// Records where a stream of this router began, and tells its holders if it may be in doubt.
    async fn record_begin(&self, stream: StreamKey, release: ReleaseKey) {
        let now = self.now();
        let is_new = self
            .own_streams
            .borrow_mut()
            .record_begin(stream, release, now);
        self.record(stream, release);
        if is_new && self.ambiguous.borrow().contains(&release) {
            self.tell_holders(&[(stream, release)]).await;
        }
    }

    /// Records that the caller of this router has a stream completely.
    fn record_end(&self, stream: StreamKey) {
        self.own_streams.borrow_mut().record_end(stream);
        if !self.ambiguous.borrow().is_empty() {
            self.pages.ended_streams.borrow_mut().push(stream);
        }
    }

    async fn tell_holders(&self, origins: &[(StreamKey, ReleaseKey)]) {
        let mut notices: HashMap<HostName, (SocketAddr, Vec<OriginNotice>)> = HashMap::new();
        for (stream, release) in origins {
            let notice = OriginNotice {
                stream: stream.0.0,
                release: Some(release.0.0),
            };
            for (holder, address) in self.holders(*stream) {
                let entry = notices.entry(holder);
                let (_, notices) = entry.or_insert_with(|| (address, Vec::new()));
                notices.push(notice);
            }
        }
        for (holder, (address, notices)) in notices {
            for notices in notices.chunks(MAX_NOTICES) {
                let message = OriginMessage::Notice(notices.to_vec());
                self.send(&holder, address, message).await;
            }
        }
    }

    /// Returns the routers that are told of a stream's origin, and the one that writes it to the
    /// store.
    fn holders(&self, stream: StreamKey) -> Vec<(HostName, SocketAddr)> {
        let state = self.state.borrow();
        let mut names = origin_holders(stream, state.peers.keys());
        let recorder = state.origin_recorder().map(|recorder| &recorder.name);
        names.extend(recorder.filter(|recorder| !names.contains(recorder)));
        addresses(&state, names)
    }

    /// Records where a stream began, also for the store if this router writes it.
    fn record(&self, stream: StreamKey, release: ReleaseKey) {
        let now = self.now();
        let is_new = self.origins.borrow_mut().record(stream, release, now);
        let is_recorder = self.state.borrow().origin_recorder().is_none();
        if is_new && is_recorder && self.ambiguous.borrow().contains(&release) {
            let mut recorded = self.pages.streams.borrow_mut();
            recorded.record_begin(stream, release, now);
        }
    }

    /// Finds where a stream began: from this router's memory, from other routers, or because only
    /// one release can have begun it.
    async fn find(&self, stream: StreamKey, service: &str, is_inferable: bool) -> StreamOrigin {
        let asked_at = self.now();
        if let Some(release) = self.find_local(stream) {
            return StreamOrigin::Known(release, "local");
        }
        let sources = {
            let state = self.state.borrow();
            addresses(&state, origin_sources(stream, state.peers.keys()))
        };
        if let Some(release) = self.ask(stream, sources).await.release {
            self.record(stream, release);
            return StreamOrigin::Known(release, "router");
        }
        if let Some(release) = self.find_local(stream) {
            return StreamOrigin::Known(release, "local");
        }
        let Some(listed) = self.store.read_releases().await else {
            return self.find_without_store(stream, service).await;
        };
        if let Some(release) = self.sole_release(service, &release_set(&listed)) {
            return StreamOrigin::Known(release, "sole");
        }
        let Some(origins) = self.store.read_origins().await else {
            return StreamOrigin::Unavailable;
        };
        if let Some(release) = origins.streams.get(&stream).copied() {
            self.record(stream, release);
            return StreamOrigin::Known(release, "store");
        }
        if !is_inferable {
            return StreamOrigin::Ambiguous;
        }
        let origin = self.infer_origin(stream, service, asked_at).await;
        if let StreamOrigin::Known(release, _) = origin {
            self.record(stream, release);
        }
        origin
    }

    /// Finds where a stream began while the store can't be read.
    ///
    /// What this router has followed decides, since routers tell each other of the streams while
    /// several releases serve. A router that is cut off from the others is not told, and may have
    /// missed a release, so most of the others have to answer.
    async fn find_without_store(&self, stream: StreamKey, service: &str) -> StreamOrigin {
        let (witnesses, followed) = {
            let state = self.state.borrow();
            let names = origin_witnesses(stream, state.peers.keys());
            let releases = state.releases.as_ref();
            let followed = releases.map(|releases| releases.listed().clone());
            (addresses(&state, names), followed)
        };
        let answers = self.ask(stream, witnesses).await;
        if let Some(release) = answers.release {
            self.record(stream, release);
            return StreamOrigin::Known(release, "router");
        }
        let answered = answers.answered.len();
        let is_in_touch = is_in_touch(answers.asked, answered);
        tracing::info!(
            event = "stream_origin_witnesses",
            asked = answers.asked,
            answered,
            is_in_touch,
        );
        let sole = followed.and_then(|followed| self.sole_release(service, &followed));
        let origin = sole.filter(|_| is_in_touch);
        origin.map_or(StreamOrigin::Unavailable, |release| {
            StreamOrigin::Known(release, "sole")
        })
    }

    /// Returns the only release that can have begun a stream which no other router knows.
    fn sole_release(&self, service: &str, listed: &BTreeSet<ServiceRelease>) -> Option<ReleaseKey> {
        let in_use = self.state.borrow().releases_in_use();
        sole_release(service, listed, &in_use)
    }

    fn find_local(&self, stream: StreamKey) -> Option<ReleaseKey> {
        self.origins.borrow_mut().find(stream, self.now())
    }

    /// Updates which releases need their streams told of, and tells of those under way that are new
    /// among them, or of all if another router is to write them to the store.
    pub(super) async fn update_ambiguous(&self) {
        let now = self.now();
        let (found, recorder) = {
            let state = self.state.borrow();
            let recorder = state
                .origin_recorder()
                .map(|recorder| recorder.name.clone());
            (state.ambiguous_releases(), recorder)
        };
        self.own_streams.borrow_mut().retain(|_| true, now);
        self.drop_users();
        let has_users = !self.pages.users.borrow().is_empty();
        let is_kept = |release| has_users || found.contains(&release);
        self.pages.streams.borrow_mut().retain(is_kept, now);
        let is_same = self.recorder.replace(recorder.clone()) == recorder;
        let known = self.ambiguous.replace(found.clone());
        let untold = found.into_iter();
        let untold = untold.filter(|release| !is_same || !known.contains(release));
        let own: Vec<(StreamKey, ReleaseKey)> = {
            let streams = self.own_streams.borrow();
            let of_release = |release| {
                let streams = streams.of_release(release);
                streams.map(move |stream| (stream, release))
            };
            untold.flat_map(of_release).collect()
        };
        if recorder.is_none() {
            let mut recorded = self.pages.streams.borrow_mut();
            for (stream, release) in &own {
                recorded.record_begin(*stream, *release, now);
            }
        }
        self.tell_holders(&own).await;
    }

    /// Returns this router's streams of services of which several releases serve.
    pub(super) fn ambiguous_streams(&self) -> Vec<OriginNotice> {
        let streams = self.own_streams.borrow();
        let ambiguous = self.ambiguous.borrow();
        let notices = ambiguous.iter().flat_map(|release| {
            let streams = streams.of_release(*release);
            streams.map(|stream| OriginNotice {
                stream: stream.0.0,
                release: Some(release.0.0),
            })
        });
        notices.collect()
    }

    pub(super) async fn send(
        &self,
        receiver: &HostName,
        address: SocketAddr,
        message: OriginMessage,
    ) {
        let frame = self.seal(receiver, message);
        let sent = match frame {
            Ok(frame) => self.socket.send_to(&frame, address).await,
            Err(error) => {
                tracing::error!(event = "stream_origin_not_encoded", %error);
                return;
            }
        };
        if let Err(error) = sent {
            tracing::debug!(event = "stream_origin_not_sent", router = %receiver, %error);
        }
    }

    fn seal(
        &self,
        receiver: &HostName,
        message: OriginMessage,
    ) -> Result<bytes::Bytes, FrameError> {
        let state = self.state.borrow();
        let envelope = Envelope {
            from: state.local.name.clone(),
            incarnation: state.incarnation,
            to: receiver.clone(),
            body: message,
        };
        state.codec.seal(MessageKind::Origin, &envelope)
    }

    /// Handles a datagram of another router.
    async fn receive(&self, datagram: &[u8], sender: SocketAddr) {
        let opened = {
            let state = self.state.borrow();
            state
                .codec
                .open::<OriginMessage>(MessageKind::Origin, &state.local.name, datagram)
        };
        let envelope = match opened {
            Ok(envelope) => envelope,
            Err(error) => {
                tracing::debug!(event = "stream_origin_unreadable", %sender, %error);
                return;
            }
        };
        match envelope.body {
            OriginMessage::Notice(notices) => {
                for notice in notices {
                    let stream = StreamKey(StableHash(notice.stream));
                    if let Some(release) = notice.release {
                        self.record(stream, ReleaseKey(StableHash(release)));
                    }
                }
            }
            OriginMessage::Ended(streams) => {
                let streams = streams.into_iter().map(StableHash);
                self.drop_ended(streams.map(StreamKey));
            }
            OriginMessage::Query(stream) => {
                let release = self.find_local(StreamKey(StableHash(stream)));
                let answer = OriginAnswer {
                    stream,
                    release: release.map(|release| release.0.0),
                    knows_lost_router: self.state.borrow().knows_lost_router(self.now()),
                };
                let message = OriginMessage::Answer(answer);
                self.send(&envelope.from, sender, message).await;
            }
            OriginMessage::Answer(answer) => {
                let user = ReleaseUser {
                    router: envelope.from,
                    incarnation: envelope.incarnation,
                };
                let source = LiveRouter {
                    user,
                    knows_lost_router: answer.knows_lost_router,
                };
                self.handle_answer(&source, answer);
            }
        }
    }
}

/// Returns the releases of entries of the store.
fn release_set(entries: &[ReleaseEntry]) -> BTreeSet<ServiceRelease> {
    entries.iter().map(|entry| entry.release.clone()).collect()
}

/// Returns the names and addresses of some of the other routers.
pub(super) fn addresses<'n, N>(state: &ControlState, names: N) -> Vec<(HostName, SocketAddr)>
where
    N: IntoIterator<Item = &'n HostName>,
{
    let routers = names.into_iter().filter_map(|name| state.peers.get(name));
    routers
        .map(|peer| (peer.router.name.clone(), peer.router.address))
        .collect()
}

/// Handles the messages of the traffic thread and of the other routers about streams, indefinitely.
pub(crate) async fn run_origin_exchange<S>(
    exchange: OriginExchange<S>,
    mut calls: UnboundedReceiver<OriginCall>,
    mut admissions: UnboundedReceiver<AdmissionCall>,
) where
    S: SiteStore,
{
    let exchange = Rc::new(exchange);
    tokio::task::spawn_local(record_origins(Rc::clone(&exchange)));
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some(OriginCall::Began(stream, release)) => {
                    exchange.record_begin(stream, release).await;
                }
                Some(OriginCall::Ended(stream)) => exchange.record_end(stream),
                Some(OriginCall::Find { stream, service, is_inferable, reply }) => {
                    let exchange = Rc::clone(&exchange);
                    tokio::task::spawn_local(async move {
                        let origin = exchange.find(stream, &service, is_inferable).await;
                        if reply.send(origin).is_err() {
                            tracing::debug!("the caller of a stream has disconnected");
                        }
                    });
                }
                None => return,
            },
            Some(call) = admissions.recv() => {
                tokio::task::spawn_local(answer_admission(Rc::clone(&exchange), call));
            }
            received = exchange.socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => exchange.receive(&buffer[..length], sender).await,
                Err(error) => {
                    tracing::warn!(event = "stream_origin_not_received", %error);
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// Asks for the use of new releases, and tells of streams and writes their origins to the store while
/// several releases serve, indefinitely.
async fn record_origins<S>(exchange: Rc<OriginExchange<S>>)
where
    S: SiteStore,
{
    let gate_wakeup = Rc::clone(&exchange.state.borrow().gate_wakeup);
    loop {
        tokio::select! {
            () = tokio::time::sleep(RECORD_INTERVAL) => {}
            () = gate_wakeup.notified() => {}
            () = exchange.pages.requests.notified() => {}
        }
        request_admission(&exchange);
        exchange.update_ambiguous().await;
        exchange.tell_ended().await;
        exchange.write_origins().await;
    }
}
