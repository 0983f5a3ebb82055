//! Writes where streams began, and the users of releases, to this router's page in the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::Duration;

use briarrail_dispatch::{
    LiveOrigins, ReleaseKey, ReleaseUser, ReleaseUsers, ServiceRelease, StreamKey,
};
use briarrail_model::StableHash;
use briarrail_peer::{OriginMessage, OriginNotice};
use tokio::sync::{Notify, watch};

use super::origin_exchange::OriginExchange;
use crate::SiteStore;

/// Maximum number of ended streams in a datagram.
const MAX_ENDED_STREAMS: usize = 96;
/// Time for which a change of the page waits for the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// What this router writes to its page in the store.
#[derive(Debug)]
pub(super) struct OriginPages {
    /// Streams that this router writes to the store for its data centre.
    pub(super) streams: RefCell<LiveOrigins>,
    /// Own streams that ended since the router that writes origins to the store was told.
    pub(super) ended_streams: RefCell<Vec<StreamKey>>,
    /// Users of guarded releases.
    pub(super) users: RefCell<ReleaseUsers>,
    /// Number of changes of the page that other routers wait for.
    changes: Cell<u64>,
    /// Number of these changes that the store has.
    stored_changes: watch::Sender<u64>,
    /// Wakes the task that writes the page.
    pub(super) requests: Notify,
    /// Epoch of the store to which the page was last written.
    epoch: Cell<u64>,
}

impl OriginPages {
    pub(super) fn new() -> Self {
        Self {
            streams: RefCell::default(),
            ended_streams: RefCell::default(),
            users: RefCell::default(),
            changes: Cell::default(),
            stored_changes: watch::Sender::new(0),
            requests: Notify::new(),
            epoch: Cell::default(),
        }
    }
}

impl<S> OriginExchange<S>
where
    S: SiteStore,
{
    /// Tells the router that writes origins to the store which streams have ended.
    pub(super) async fn tell_ended(&self) {
        let ended = std::mem::take(&mut *self.pages.ended_streams.borrow_mut());
        let recorder = self.state.borrow().origin_recorder().cloned();
        let Some(recorder) = recorder else {
            self.drop_ended(ended.into_iter());
            return;
        };
        for streams in ended.chunks(MAX_ENDED_STREAMS) {
            let streams = streams.iter().map(|stream| stream.0.0).collect();
            let message = OriginMessage::Ended(streams);
            self.send(&recorder.name, recorder.address, message).await;
        }
    }

    pub(super) fn drop_ended<I>(&self, streams: I)
    where
        I: Iterator<Item = StreamKey>,
    {
        let mut recorded = self.pages.streams.borrow_mut();
        for stream in streams {
            recorded.record_end(stream);
        }
    }

    /// Writes the new origins to the store.
    pub(super) async fn write_origins(&self) {
        let (is_recorder, epoch) = {
            let state = self.state.borrow();
            let is_recorder = state.is_listed && state.origin_recorder().is_none();
            (is_recorder, state.store_epoch())
        };
        let has_streams = is_recorder && !self.ambiguous.borrow().is_empty();
        let has_users = !self.pages.users.borrow().is_empty();
        if (!has_streams && !has_users) || !self.store.choose_page(&self.pages.users).await {
            return;
        }
        if self.pages.epoch.replace(epoch) != epoch {
            // A restore of the store may have taken the page back.
            self.pages.streams.borrow_mut().request_page();
        }
        let change = self.pages.changes.get();
        let Some(streams) = self.pages.streams.borrow_mut().next_page() else {
            return;
        };
        let users = self.pages.users.borrow().clone();
        let is_partial = self.pages.streams.borrow().is_partial(self.now());
        if self.store.write_page(streams, users, is_partial).await {
            self.pages.streams.borrow_mut().confirm_page();
            self.pages.stored_changes.send_replace(change);
        }
    }

    /// Drops the users of releases that the store lists no more.
    pub(super) fn drop_users(&self) {
        let state = self.state.borrow();
        let Some(ledger) = &state.releases else {
            return;
        };
        let in_use = state.releases_in_use();
        let listed = ledger.listed().union(&in_use);
        let listed: BTreeSet<ReleaseKey> = listed.map(ServiceRelease::key).collect();
        let mut users = self.pages.users.borrow_mut();
        users.retain(|release, _| listed.contains(release));
    }

    /// Adds a user and its streams to this router's page, and returns whether the store has the page.
    pub(super) async fn store_user(
        &self,
        user: &ReleaseUser,
        releases: &BTreeSet<ReleaseKey>,
        streams: &[OriginNotice],
    ) -> bool {
        let now = self.now();
        for release in releases {
            let mut users = self.pages.users.borrow_mut();
            users.entry(*release).or_default().insert(user.clone());
        }
        {
            let mut recorded = self.pages.streams.borrow_mut();
            for notice in streams {
                if let Some(release) = notice.release {
                    let stream = StreamKey(StableHash(notice.stream));
                    recorded.record_begin(stream, ReleaseKey(StableHash(release)), now);
                }
            }
            recorded.request_page();
        }
        let change = self.pages.changes.get() + 1;
        self.pages.changes.set(change);
        let mut stored = self.pages.stored_changes.subscribe();
        self.pages.requests.notify_one();
        let storing = stored.wait_for(|stored| *stored >= change);
        let stored = tokio::time::timeout(STORE_TIMEOUT, storing).await;
        matches!(stored, Ok(Ok(_)))
    }
}
