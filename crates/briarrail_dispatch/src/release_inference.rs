//! Infers the release that began a stream whose origin was lost with its routers.
//!
//! A service's first release is open to all routers. Every later one is guarded: before a router begins
//! streams there, the store lists it as a user of the release, together with its streams under way.
//! A stream of which neither a router nor the store knows can therefore have begun at a guarded
//! release only if one of the users of that release is lost.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::MilliDuration;

use crate::{ReleaseEntry, ReleaseKey, ReleaseUser, ServiceRelease};

/// Time for which routers and the store keep the origin of a stream.
const ORIGIN_RETENTION: MilliDuration = MilliDuration::from_secs(30);
/// Longest time limit of a route whose streams are inferred; leaves a margin for the time between a
/// broken stream and its take-up.
const MAX_STREAM_TIME: MilliDuration = MilliDuration::from_secs(20);

/// What is known of the routers that can have begun a stream.
#[derive(Debug, Clone, Default)]
pub struct FleetEvidence {
    /// Router processes that have answered, since the stream was taken up or a moment before, that
    /// they know nothing of it.
    pub live: BTreeSet<ReleaseUser>,
    /// Whether a router may have been lost with its streams; otherwise a stream that nobody knows has
    /// not begun here.
    pub has_lost_router: bool,
}

/// Returns whether the origins of a route's streams can be inferred: not if they can be under way for
/// longer than their origins are kept.
#[must_use]
pub fn can_infer(route_timeout: MilliDuration) -> bool {
    route_timeout <= MAX_STREAM_TIME
}

/// Returns whether a stream under way can be older than a process or an event of that age.
#[must_use]
pub fn can_precede_process(age: MilliDuration) -> bool {
    age <= ORIGIN_RETENTION
}

/// Users of guarded releases, as the store lists them.
pub type ReleaseUsers = BTreeMap<ReleaseKey, BTreeSet<ReleaseUser>>;

/// Returns the users of a service's guarded releases, which have to answer before the origin of a
/// stream can be inferred.
#[must_use]
pub fn users_to_ask(
    service: &str,
    listed: &[ReleaseEntry],
    users: &ReleaseUsers,
) -> BTreeSet<ReleaseUser> {
    let guarded = listed
        .iter()
        .filter(|entry| entry.is_guarded && entry.release.service == service);
    let users = guarded.filter_map(|entry| users.get(&entry.release.key()));
    users.flatten().cloned().collect()
}

/// Returns the release at which a stream of unknown origin must have begun, or `None` if it may be
/// one of several.
///
/// `listed` and `users` are from reads of the store that began after the stream was taken up, and
/// `in_use` are the releases of the targets that this router knows.
#[must_use]
pub fn infer_release(
    service: &str,
    listed: &[ReleaseEntry],
    in_use: &BTreeSet<ServiceRelease>,
    users: &ReleaseUsers,
    evidence: &FleetEvidence,
) -> Option<ReleaseKey> {
    if !evidence.has_lost_router {
        return None;
    }
    let is_listed =
        |release: &&ServiceRelease| listed.iter().any(|entry| entry.release == **release);
    let unlisted = in_use.iter().filter(|release| !is_listed(release));
    let is_possible = |entry: &&ReleaseEntry| {
        let users = users.get(&entry.release.key());
        !entry.is_guarded || users.is_some_and(|users| !users.is_subset(&evidence.live))
    };
    let listed = listed.iter().filter(is_possible);
    let releases = listed.map(|entry| &entry.release).chain(unlisted);
    let mut origins = releases.filter(|release| release.service == service);
    let origin = origins.next()?;
    origins.next().is_none().then(|| origin.key())
}
