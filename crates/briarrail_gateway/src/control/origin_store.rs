//! What the store knows of the releases that began streams, for the loss of all routers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{OriginPage, ReleaseEntry, ReleaseKey, ReleaseUsers, StreamKey};
use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};
use tokio::sync::Mutex;

use super::SharedControlState;
use super::control_state::ControlState;
use super::release_records::count_call;
use crate::{OriginPageRecord, ReadConsistency, SiteStore};

/// Minimum time between two reads of the same entries, so that many streams whose origins are inferred
/// at once share a call.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Number of pages that a data centre keeps: those of routers that were lost one after the other
/// within the time that callers wait for a stream.
const MAX_PAGES: usize = 8;
/// Time for which the store's releases are used after they were read, so that many streams that are
/// continued at once cost one call.
const RELEASES_MAX_AGE: MilliDuration = MilliDuration::from_millis(500);
/// Time for which the origins that the store holds are used after they were read.
const ORIGINS_MAX_AGE: MilliDuration = MilliDuration::from_millis(1_000);

/// What the pages of all data centres hold.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoredOrigins {
    /// Releases at which streams began.
    pub(crate) streams: HashMap<StreamKey, ReleaseKey>,
    /// Users of guarded releases.
    pub(crate) users: ReleaseUsers,
    /// Whether a page may lack streams, for want of room.
    pub(crate) is_partial: bool,
}

/// Reads releases and origins of streams from the store, and writes the page of this router.
#[derive(Debug)]
pub(crate) struct OriginStore<S> {
    state: SharedControlState,
    store: S,
    /// Releases that the store listed, and the time of the call; locked while it is read.
    listed_releases: Mutex<Option<(MilliTime, Rc<Vec<ReleaseEntry>>)>>,
    /// Origins that the store held, and the time of the call; locked while it is read.
    stored_origins: Mutex<Option<(MilliTime, Rc<StoredOrigins>)>>,
    /// Number of this router's page; `None` until it has read those of its predecessors.
    page_number: Cell<Option<u64>>,
    /// Pages to remove once this router's page lists their users.
    replaced_pages: RefCell<Vec<OriginPageRecord>>,
}

impl<S> OriginStore<S>
where
    S: SiteStore,
{
    pub(crate) fn new(state: SharedControlState, store: S) -> Self {
        Self {
            state,
            store,
            listed_releases: Mutex::default(),
            stored_origins: Mutex::default(),
            page_number: Cell::default(),
            replaced_pages: RefCell::default(),
        }
    }

    fn now(&self) -> MilliTime {
        self.state.borrow().clock.now()
    }

    /// Returns the releases that the store lists, from a call at most a moment ago.
    pub(crate) async fn read_releases(&self) -> Option<Rc<Vec<ReleaseEntry>>> {
        let oldest = self.now() - RELEASES_MAX_AGE;
        self.read_releases_since(oldest).await
    }

    /// Returns the releases that the store lists, from a call at `oldest` or later.
    pub(crate) async fn read_releases_since(
        &self,
        oldest: MilliTime,
    ) -> Option<Rc<Vec<ReleaseEntry>>> {
        let mut listed = self.listed_releases.lock().await;
        if let Some((at, releases)) = listed.as_ref() {
            if *at >= oldest {
                return Some(Rc::clone(releases));
            }
            self.await_read_interval(*at).await;
        }
        let requested_at = self.now();
        let outcome = self.store.list_releases(ReadConsistency::Current).await;
        count_call(&self.state, &outcome);
        match outcome {
            Ok(releases) => {
                let releases = Rc::new(releases);
                *listed = Some((requested_at, Rc::clone(&releases)));
                Some(releases)
            }
            Err(error) => {
                tracing::warn!(event = "releases_not_read", %error);
                None
            }
        }
    }

    /// Returns the origins that the store holds, from a call at most a moment ago.
    pub(crate) async fn read_origins(&self) -> Option<Rc<StoredOrigins>> {
        let oldest = self.now() - ORIGINS_MAX_AGE;
        self.read_origins_since(oldest).await
    }

    /// Returns the origins that the store holds, from a call at `oldest` or later.
    pub(crate) async fn read_origins_since(&self, oldest: MilliTime) -> Option<Rc<StoredOrigins>> {
        let mut stored = self.stored_origins.lock().await;
        if let Some((at, origins)) = stored.as_ref() {
            if *at >= oldest {
                return Some(Rc::clone(origins));
            }
            self.await_read_interval(*at).await;
        }
        let requested_at = self.now();
        let outcome = self.store.list_origin_pages().await;
        count_call(&self.state, &outcome);
        match outcome {
            Ok(pages) => {
                let mut origins = StoredOrigins::default();
                for page in pages {
                    for (release, streams) in page.streams {
                        let streams = streams.into_iter();
                        origins
                            .streams
                            .extend(streams.map(|stream| (stream, release)));
                    }
                    merge_users(&mut origins.users, page.users);
                    origins.is_partial |= page.is_partial;
                }
                let origins = Rc::new(origins);
                *stored = Some((requested_at, Rc::clone(&origins)));
                tracing::info!(
                    event = "stream_origins_read",
                    streams = origins.streams.len()
                );
                Some(origins)
            }
            Err(error) => {
                tracing::warn!(event = "stream_origins_not_read", %error);
                None
            }
        }
    }

    /// Chooses the number of this router's page, which follows those of its predecessors: after a
    /// loss of all routers, their pages are still needed. Returns whether there is one.
    ///
    /// The oldest pages of the data centre are removed once there are many; `users` gets the users that
    /// they list.
    pub(crate) async fn choose_page(&self, users: &RefCell<ReleaseUsers>) -> bool {
        if self.page_number.get().is_some() {
            return true;
        }
        let outcome = self.store.list_origin_pages().await;
        count_call(&self.state, &outcome);
        let pages = match outcome {
            Ok(pages) => pages,
            Err(error) => {
                tracing::warn!(event = "stream_origins_not_read", %error);
                return false;
            }
        };
        let data_centre = self.state.borrow().local.data_centre.clone();
        let mut of_data_centre: Vec<OriginPageRecord> = pages
            .into_iter()
            .filter(|page| page.data_centre == data_centre)
            .collect();
        of_data_centre.sort_by_key(|page| std::cmp::Reverse(page.number));
        let number = of_data_centre.first().map_or(0, |last| last.number + 1);
        tracing::info!(event = "stream_origins_recorded_here", page = number);
        self.page_number.set(Some(number));
        for page in of_data_centre.into_iter().skip(MAX_PAGES) {
            merge_users(&mut users.borrow_mut(), page.users.clone());
            self.replaced_pages.borrow_mut().push(page);
        }
        true
    }

    async fn await_read_interval(&self, requested_at: MilliTime) {
        let elapsed: Duration = self.now().since(requested_at).into();
        tokio::time::sleep(MIN_READ_INTERVAL.saturating_sub(elapsed)).await;
    }

    /// Removes the pages whose users are on this router's page now.
    async fn remove_replaced_pages(&self) {
        let replaced = std::mem::take(&mut *self.replaced_pages.borrow_mut());
        for page in replaced {
            let outcome = self.store.remove_origin_page(&page).await;
            count_call(&self.state, &outcome);
            if let Err(error) = outcome {
                tracing::warn!(event = "stream_origins_not_removed", page = page.number, %error);
            }
        }
    }

    /// Writes the streams under way to this router's page, and returns whether the store has them.
    pub(crate) async fn write_page(
        &self,
        streams: OriginPage,
        users: ReleaseUsers,
        is_partial: bool,
    ) -> bool {
        let page = {
            let state = self.state.borrow();
            OriginPageRecord {
                data_centre: state.local.data_centre.clone(),
                number: self.page_number.get().unwrap_or_default(),
                owner: page_owner(&state),
                streams,
                users,
                is_partial,
            }
        };
        let outcome = self.store.put_origin_page(&page).await;
        count_call(&self.state, &outcome);
        if let Err(error) = &outcome {
            tracing::warn!(event = "stream_origins_not_stored", %error);
            return false;
        }
        self.remove_replaced_pages().await;
        true
    }
}

/// Returns the identity of this router's process, as the owner of its page.
fn page_owner(state: &ControlState) -> u64 {
    let incarnation = StableHash(state.incarnation);
    hash_pair(state.local.name.stable_hash(), incarnation).0
}

fn merge_users(users: &mut ReleaseUsers, others: ReleaseUsers) {
    for (release, others) in others {
        users.entry(release).or_default().extend(others);
    }
}
