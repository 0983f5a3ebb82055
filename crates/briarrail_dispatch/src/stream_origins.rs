//! Remembers at which release streams began.

use std::collections::{HashMap, VecDeque};

use briarrail_model::{HostName, MilliDuration, MilliTime, StableHash, hash_pair};

use crate::{ReleaseKey, StreamKey};

/// Time for which the origin of a stream is remembered; longer than callers wait for a stream.
const ORIGIN_RETENTION: MilliDuration = MilliDuration::from_secs(30);
/// Maximum number of streams whose origin is remembered; the oldest are dropped first.
const MAX_STREAMS: usize = 16_384;
/// Number of other routers that are told of a stream's origin, so that the loss of its router and of
/// half of the others mostly leaves one that knows it.
const ORIGIN_HOLDERS: usize = 2;
/// Maximum number of other routers that are asked whether this router is in touch with the fleet.
const MAX_WITNESSES: usize = 15;

/// Releases at which streams began.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, ReleaseKey>,
    recorded: VecDeque<(MilliTime, StreamKey)>,
}

impl StreamOrigins {
    /// Records the release at which a stream began, and returns whether it was not known yet.
    ///
    /// The first record of a stream holds.
    pub fn record(&mut self, stream: StreamKey, release: ReleaseKey, now: MilliTime) -> bool {
        self.drop_old(now);
        if self.origins.contains_key(&stream) {
            return false;
        }
        if self.recorded.len() >= MAX_STREAMS {
            self.drop_oldest();
        }
        self.origins.insert(stream, release);
        self.recorded.push_back((now, stream));
        true
    }

    /// Returns the release at which a stream began, if it is remembered.
    pub fn find(&mut self, stream: StreamKey, now: MilliTime) -> Option<ReleaseKey> {
        self.drop_old(now);
        self.origins.get(&stream).copied()
    }

    fn drop_old(&mut self, now: MilliTime) {
        let is_old = |&(at, _): &(MilliTime, StreamKey)| now.since(at) > ORIGIN_RETENTION;
        while self.recorded.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, stream)) = self.recorded.pop_front() {
            self.origins.remove(&stream);
        }
    }
}

/// Returns the routers that are told of a stream's origin, of all others than the teller.
#[must_use]
pub fn origin_holders<'r, R>(stream: StreamKey, others: R) -> Vec<&'r HostName>
where
    R: IntoIterator<Item = &'r HostName>,
{
    highest_ranked(stream, others, ORIGIN_HOLDERS)
}

/// Returns the routers that are asked for a stream's origin, of all others than the asker.
///
/// The router of the stream tells others than itself, so that one more has to be asked.
#[must_use]
pub fn origin_sources<'r, R>(stream: StreamKey, others: R) -> Vec<&'r HostName>
where
    R: IntoIterator<Item = &'r HostName>,
{
    highest_ranked(stream, others, ORIGIN_HOLDERS + 1)
}

/// Returns the routers that are asked whether the asker is in touch with the fleet, of all others than
/// the asker; they include those that are asked for the stream's origin.
#[must_use]
pub fn origin_witnesses<'r, R>(stream: StreamKey, others: R) -> Vec<&'r HostName>
where
    R: IntoIterator<Item = &'r HostName>,
{
    highest_ranked(stream, others, MAX_WITNESSES)
}

/// Returns whether a router that gets an answer from `answered` of `asked` others is in touch with
/// most of the fleet, so that no part of it can have followed new releases without this router.
#[must_use]
pub const fn is_in_touch(asked: usize, answered: usize) -> bool {
    2 * (answered + 1) > asked + 1
}

/// Returns the first routers in the rendezvous order of a stream.
fn highest_ranked<'r, R>(stream: StreamKey, routers: R, count: usize) -> Vec<&'r HostName>
where
    R: IntoIterator<Item = &'r HostName>,
{
    let mut ranked: Vec<(StableHash, &HostName)> = routers
        .into_iter()
        .map(|name| (hash_pair(stream.0, name.stable_hash()), name))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name).collect()
}
