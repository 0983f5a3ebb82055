//! Decides from when on a router sends requests to the targets of a release.
//!
//! A release is used once the store lists this router among its users, or lists the release as open
//! to all. A release without either is used only if no target of another one is ready: its streams
//! can't be told from those of the releases that have left, but these have no targets to continue them.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{MilliDuration, MilliTime};

use crate::{ReleaseEntry, ReleaseKey, ServiceRelease};

/// Time for which the first targets of a service wait for an admission; small beside the time in which
/// changes of targets must take effect.
const MAX_ADMISSION_WAIT: MilliDuration = MilliDuration::from_millis(500);
/// Time without targets after which a release needs a new admission; shorter than the store lists
/// a release that has left.
const ADMISSION_RETENTION: MilliDuration = MilliDuration::from_secs(5);

/// The releases whose targets this router uses.
#[derive(Debug, Clone, Default)]
pub struct ReleaseGate {
    /// Releases at which this router may begin streams.
    admitted: BTreeSet<ServiceRelease>,
    /// Releases that are used without an admission.
    unadmitted: BTreeSet<ServiceRelease>,
    /// Times at which releases that are not used were first seen.
    waiting_since: BTreeMap<ServiceRelease, MilliTime>,
    /// Times since which admitted releases have had no target.
    unused_since: BTreeMap<ServiceRelease, MilliTime>,
}

impl ReleaseGate {
    /// Returns whether requests may be sent to the targets of a release.
    #[must_use]
    pub fn is_open(&self, release: &ServiceRelease) -> bool {
        self.admitted.contains(release) || self.unadmitted.contains(release)
    }

    /// Returns the releases in use at which this router is not admitted.
    #[must_use]
    pub fn pending(&self, in_use: &BTreeSet<ServiceRelease>) -> BTreeSet<ServiceRelease> {
        in_use.difference(&self.admitted).cloned().collect()
    }

    /// Admits this router to the releases that the store lists as open, or will as the first ones of
    /// their services, and returns those that it didn't use yet.
    pub fn admit_unguarded(
        &mut self,
        entries: &[ReleaseEntry],
        in_use: &BTreeSet<ServiceRelease>,
    ) -> Vec<ServiceRelease> {
        let open = entries.iter().filter(|entry| !entry.is_guarded);
        let open = open.map(|entry| &entry.release);
        let is_first = |release: &&ServiceRelease| {
            let is_same = |other: &ServiceRelease| other.service == release.service;
            let mut listed = entries.iter().map(|entry| &entry.release);
            let others = in_use.iter().filter(|other| is_same(other));
            !listed.any(is_same) && others.count() == 1
        };
        let first = in_use.iter().filter(is_first);
        let keys = open.chain(first).map(ServiceRelease::key).collect();
        self.admit(&keys, in_use)
    }

    /// Admits this router to releases in use, and returns those that it didn't use yet.
    pub fn admit(
        &mut self,
        keys: &BTreeSet<ReleaseKey>,
        in_use: &BTreeSet<ServiceRelease>,
    ) -> Vec<ServiceRelease> {
        let admitted = in_use
            .iter()
            .filter(|release| keys.contains(&release.key()));
        let mut opened = Vec::new();
        for release in admitted {
            self.waiting_since.remove(release);
            let was_used = self.unadmitted.remove(release);
            if self.admitted.insert(release.clone()) && !was_used {
                opened.push(release.clone());
            }
        }
        opened
    }

    /// Returns the releases that are used from now on although this router is not admitted to them,
    /// because no target of another release of their service is ready.
    pub fn open_overdue(
        &mut self,
        in_use: &BTreeSet<ServiceRelease>,
        ready: &BTreeSet<ServiceRelease>,
        now: MilliTime,
    ) -> Vec<ServiceRelease> {
        self.waiting_since
            .retain(|release, _| in_use.contains(release));
        let waiting = in_use.iter().filter(|release| !self.is_open(release));
        for release in waiting.cloned().collect::<Vec<_>>() {
            self.waiting_since.entry(release).or_insert(now);
        }
        let is_overdue = |release: &ServiceRelease, since: MilliTime| {
            let others = ready.iter();
            let mut others = others.filter(|other| other.service == release.service);
            now.since(since) >= MAX_ADMISSION_WAIT && !others.any(|other| self.is_open(other))
        };
        let waiting = self.waiting_since.iter();
        let overdue = waiting.filter(|(release, since)| is_overdue(release, **since));
        let overdue: Vec<ServiceRelease> = overdue.map(|(release, _)| release.clone()).collect();
        for release in &overdue {
            self.waiting_since.remove(release);
            self.unadmitted.insert(release.clone());
        }
        overdue
    }

    /// Drops the admissions to releases that have had no target for some time, since the store may no
    /// longer list their users.
    pub fn drop_unused(&mut self, in_use: &BTreeSet<ServiceRelease>, now: MilliTime) {
        self.unadmitted.retain(|release| in_use.contains(release));
        self.unused_since
            .retain(|release, _| !in_use.contains(release));
        for release in self.admitted.difference(in_use) {
            self.unused_since.entry(release.clone()).or_insert(now);
        }
        let unused_since = &self.unused_since;
        self.admitted.retain(|release| {
            let since = unused_since.get(release);
            since.is_none_or(|since| now.since(*since) < ADMISSION_RETENTION)
        });
        let admitted = &self.admitted;
        self.unused_since
            .retain(|release, _| admitted.contains(release));
    }
}
