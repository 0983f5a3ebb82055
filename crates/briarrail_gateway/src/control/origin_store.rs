//! What the store knows of the releases that began streams, for the loss of all routers.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use briarrail_dispatch::{OriginPage, ReleaseKey, ServiceRelease, StreamKey};
use briarrail_model::{MilliDuration, MilliTime};
use tokio::sync::Mutex;

use super::SharedControlState;
use super::release_records::count_call;
use crate::{OriginPageRecord, ReadConsistency, SiteStore};

/// Time for which the store's releases are used after they were read, so that many streams that are
/// continued at once cost one call.
const RELEASES_MAX_AGE: MilliDuration = MilliDuration::from_millis(500);
/// Time for which the origins that the store holds are used after they were read.
const ORIGINS_MAX_AGE: MilliDuration = MilliDuration::from_millis(1_000);

type StoredOrigins = Rc<HashMap<StreamKey, ReleaseKey>>;

/// Reads releases and origins of streams from the store, and writes the page of this router.
#[derive(Debug)]
pub(crate) struct OriginStore<S> {
    state: SharedControlState,
    store: S,
    /// Releases that the store listed, and the time of the call; locked while it is read.
    listed_releases: Mutex<Option<(MilliTime, Rc<BTreeSet<ServiceRelease>>)>>,
    /// Origins that the store held, and the time of the call; locked while it is read.
    stored_origins: Mutex<Option<(MilliTime, StoredOrigins)>>,
    /// Number of this router's page; `None` until it has read those of its predecessors.
    page_number: Cell<Option<u64>>,
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
        }
    }

    fn now(&self) -> MilliTime {
        self.state.borrow().clock.now()
    }

    /// Returns the releases that the store lists, from a call at most a moment ago.
    pub(crate) async fn read_releases(&self) -> Option<Rc<BTreeSet<ServiceRelease>>> {
        let mut listed = self.listed_releases.lock().await;
        let requested_at = self.now();
        if let Some((at, releases)) = listed.as_ref()
            && requested_at.since(*at) <= RELEASES_MAX_AGE
        {
            return Some(Rc::clone(releases));
        }
        let outcome = self.store.list_releases(ReadConsistency::Current).await;
        count_call(&self.state, &outcome);
        match outcome {
            Ok(releases) => {
                let releases = Rc::new(BTreeSet::from_iter(releases));
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
    pub(crate) async fn read_origins(&self) -> Option<StoredOrigins> {
        let mut stored = self.stored_origins.lock().await;
        let requested_at = self.now();
        if let Some((at, origins)) = stored.as_ref()
            && requested_at.since(*at) <= ORIGINS_MAX_AGE
        {
            return Some(Rc::clone(origins));
        }
        let outcome = self.store.list_origin_pages().await;
        count_call(&self.state, &outcome);
        match outcome {
            Ok(pages) => {
                let groups = pages.into_iter().flat_map(|page| page.streams);
                let origins = groups.flat_map(|(release, streams)| {
                    streams.into_iter().map(move |stream| (stream, release))
                });
                let origins: StoredOrigins = Rc::new(origins.collect());
                *stored = Some((requested_at, Rc::clone(&origins)));
                tracing::info!(event = "stream_origins_read", streams = origins.len());
                Some(origins)
            }
            Err(error) => {
                tracing::warn!(event = "stream_origins_not_read", %error);
                None
            }
        }
    }

    /// Returns the number of this router's page, which follows those of its predecessors: after a
    /// loss of all routers, their pages are still needed.
    pub(crate) async fn choose_page(&self) -> Option<u64> {
        if let Some(number) = self.page_number.get() {
            return Some(number);
        }
        let outcome = self.store.list_origin_pages().await;
        count_call(&self.state, &outcome);
        let pages = match outcome {
            Ok(pages) => pages,
            Err(error) => {
                tracing::warn!(event = "stream_origins_not_read", %error);
                return None;
            }
        };
        let data_centre = self.state.borrow().local.data_centre.clone();
        let of_data_centre = pages.iter().filter(|page| page.data_centre == data_centre);
        let last = of_data_centre.map(|page| page.number).max();
        let number = last.map_or(0, |last| last + 1);
        tracing::info!(event = "stream_origins_recorded_here", page = number);
        self.page_number.set(Some(number));
        Some(number)
    }

    /// Writes the streams under way to this router's page, and returns whether the store has them.
    pub(crate) async fn write_page(&self, number: u64, streams: OriginPage) -> bool {
        let page = OriginPageRecord {
            data_centre: self.state.borrow().local.data_centre.clone(),
            number,
            streams,
        };
        let outcome = self.store.put_origin_page(&page).await;
        count_call(&self.state, &outcome);
        if let Err(error) = &outcome {
            tracing::warn!(event = "stream_origins_not_stored", %error);
        }
        outcome.is_ok()
    }
}
