//! Origins of the streams that are under way.
//!
//! While one release serves, the loss of all routers leaves no doubt where a stream began. While
//! several do, one router in each data centre keeps a page of the streams that are under way there in
//! the store, so that neither the calls nor the entries grow with the time.

use std::collections::{BTreeMap, HashMap};

use briarrail_model::{MilliDuration, MilliTime};

use crate::{ReleaseKey, StreamKey};

/// Time after which a stream counts as ended although nobody said so; longer than callers wait.
const MAX_STREAM_TIME: MilliDuration = MilliDuration::from_secs(30);
/// Maximum number of streams, so that a page fits into an entry of the store.
const MAX_STREAMS: usize = 20_000;

/// Streams under way, by the release that began them.
pub type OriginPage = BTreeMap<ReleaseKey, Vec<StreamKey>>;

/// Streams under way, and whether the page of them in the store lacks some.
#[derive(Debug, Clone, Default)]
pub struct LiveOrigins {
    streams: HashMap<StreamKey, (ReleaseKey, MilliTime)>,
    /// Time at which a stream was dropped for want of room.
    dropped_at: Option<MilliTime>,
    /// Whether a stream began since the last page was built.
    has_new: bool,
    /// Whether the last page that was built may not be in the store.
    is_unconfirmed: bool,
}

impl LiveOrigins {
    /// Records that a stream began, and returns whether it was not known; streams beyond the maximum
    /// are dropped.
    pub fn record_begin(&mut self, stream: StreamKey, release: ReleaseKey, now: MilliTime) -> bool {
        if self.streams.contains_key(&stream) {
            return false;
        }
        if self.streams.len() >= MAX_STREAMS {
            self.dropped_at = Some(now);
            return false;
        }
        self.streams.insert(stream, (release, now));
        self.has_new = true;
        true
    }

    /// Requests that the page is written again, because what is stored with it has changed.
    pub const fn request_page(&mut self) {
        self.has_new = true;
    }

    /// Records that a caller has a stream completely.
    pub fn record_end(&mut self, stream: StreamKey) {
        self.streams.remove(&stream);
    }

    /// Drops streams that nobody waits for any more, and those of other releases than some.
    pub fn retain<F>(&mut self, is_kept: F, now: MilliTime)
    where
        F: Fn(ReleaseKey) -> bool,
    {
        self.streams.retain(|_, (release, began_at)| {
            now.since(*began_at) <= MAX_STREAM_TIME && is_kept(*release)
        });
    }

    /// Returns the streams under way that began at a release.
    pub fn of_release(&self, release: ReleaseKey) -> impl Iterator<Item = StreamKey> {
        let streams = self.streams.iter();
        streams.filter_map(move |(stream, (origin, _))| (*origin == release).then_some(*stream))
    }

    /// Returns the page to write, if the one in the store lacks a stream.
    pub fn next_page(&mut self) -> Option<OriginPage> {
        if !self.has_new && !self.is_unconfirmed {
            return None;
        }
        self.has_new = false;
        self.is_unconfirmed = true;
        let mut page = OriginPage::new();
        for (stream, (release, _)) in &self.streams {
            page.entry(*release).or_default().push(*stream);
        }
        Some(page)
    }

    /// Returns whether streams that may be under way were dropped.
    #[must_use]
    pub fn is_partial(&self, now: MilliTime) -> bool {
        self.dropped_at
            .is_some_and(|at| now.since(at) <= MAX_STREAM_TIME)
    }

    /// Records that the page that was built last is in the store.
    pub const fn confirm_page(&mut self) {
        self.is_unconfirmed = false;
    }
}
