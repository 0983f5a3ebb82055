//! Decides which releases the store lists as possible origins of streams.
//!
//! After all routers have lost their memory at once, a stream can only be continued if it can't have
//! begun at another release than the one in service. The store therefore lists each release from
//! before its first use until no stream that began at it can be under way.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{MilliDuration, MilliTime};

use crate::{ReleaseEntry, ReleaseKey, ServiceRelease};

/// Time after which no stream of a release that has left is under way; longer than callers wait for
/// a stream.
const RELEASE_RETENTION: MilliDuration = MilliDuration::from_secs(15);

/// The releases that the store lists, as known to the router that reads the store.
#[derive(Debug, Clone, Default)]
pub struct ReleaseLedger {
    listed: BTreeSet<ServiceRelease>,
    /// Listed releases that routers use only after the store has listed them as users.
    guarded: BTreeSet<ServiceRelease>,
    /// Times since which listed releases have no target.
    unused_since: BTreeMap<ServiceRelease, MilliTime>,
}

impl ReleaseLedger {
    /// Returns the releases that the store lists.
    #[must_use]
    pub const fn listed(&self) -> &BTreeSet<ServiceRelease> {
        &self.listed
    }

    /// Replaces the releases by those that the store lists.
    pub fn replace_listed<E>(&mut self, entries: E)
    where
        E: IntoIterator<Item = ReleaseEntry>,
    {
        self.listed.clear();
        self.guarded.clear();
        for entry in entries {
            self.record_listed(entry);
        }
        self.unused_since
            .retain(|release, _| self.listed.contains(release));
    }

    /// Records that the store lists a release.
    pub fn record_listed(&mut self, entry: ReleaseEntry) {
        if entry.is_guarded {
            self.guarded.insert(entry.release.clone());
        } else {
            self.guarded.remove(&entry.release);
        }
        self.listed.insert(entry.release);
    }

    /// Returns the entry of a release that the store doesn't list yet: it is open to all routers if
    /// the store lists no other release of the service.
    #[must_use]
    pub fn new_entry(&self, release: ServiceRelease) -> ReleaseEntry {
        let mut others = self.listed.iter().filter(|other| **other != release);
        ReleaseEntry {
            is_guarded: others.any(|other| other.service == release.service),
            release,
        }
    }

    /// Returns the guarded releases that have become the only ones of their services, and can be
    /// opened to all routers.
    #[must_use]
    pub fn sole_guarded(&self) -> Vec<ServiceRelease> {
        let guarded = self.guarded.iter();
        let sole = guarded.filter(|release| !self.new_entry((*release).clone()).is_guarded);
        sole.cloned().collect()
    }

    /// Records that the store lists a release no more.
    pub fn record_removed(&mut self, release: &ServiceRelease) {
        self.listed.remove(release);
        self.guarded.remove(release);
        self.unused_since.remove(release);
    }

    /// Returns the releases of services of which several are listed or in use.
    #[must_use]
    pub fn ambiguous(&self, in_use: &BTreeSet<ServiceRelease>) -> BTreeSet<ReleaseKey> {
        let releases: BTreeSet<&ServiceRelease> = self.listed.union(in_use).collect();
        let is_ambiguous = |release: &&&ServiceRelease| {
            let mut others = releases.iter().filter(|other| *other != *release);
            others.any(|other| other.service == release.service)
        };
        let ambiguous = releases.iter().filter(is_ambiguous);
        ambiguous.map(|release| release.key()).collect()
    }

    /// Returns the releases in use that the store doesn't list.
    pub fn unlisted<R>(&self, in_use: R) -> BTreeSet<ServiceRelease>
    where
        R: IntoIterator<Item = ServiceRelease>,
    {
        let releases = in_use.into_iter();
        releases
            .filter(|release| !self.listed.contains(release))
            .collect()
    }

    /// Returns the listed releases that have had no target for so long that no stream of theirs is
    /// under way.
    pub fn expired(
        &mut self,
        in_use: &BTreeSet<ServiceRelease>,
        now: MilliTime,
    ) -> Vec<ServiceRelease> {
        let mut expired = Vec::new();
        for release in &self.listed {
            if in_use.contains(release) {
                self.unused_since.remove(release);
                continue;
            }
            let since = *self.unused_since.entry(release.clone()).or_insert(now);
            if now.since(since) >= RELEASE_RETENTION {
                expired.push(release.clone());
            }
        }
        expired
    }
}

/// Returns the release at which a stream of unknown origin must have begun, or `None` if it may be
/// one of several.
///
/// `listed` are the releases that the store lists now, and `in_use` those of the targets that this
/// router knows. These can be ahead of the store's list, which is empty when a service is new.
#[must_use]
pub fn sole_release(
    service: &str,
    listed: &BTreeSet<ServiceRelease>,
    in_use: &BTreeSet<ServiceRelease>,
) -> Option<ReleaseKey> {
    let of_service = |release: &&ServiceRelease| release.service == service;
    let mut origins = listed.union(in_use).filter(of_service);
    let origin = origins.next()?;
    origins.next().is_none().then(|| origin.key())
}
