//! Decides which data centres are evacuated.
//!
//! Operators evacuate a data centre whose targets are about to fail, often while the store or links
//! are in trouble as well. Each router has to stop within seconds, whichever router told it, and
//! must not begin again because a slower router still holds an older view.
//!
//! A store that is restored from a copy may lack an evacuation until the operators write it again.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{DataCentre, MilliDuration, MilliTime};

use crate::{EvacuationPosition, EvacuationView, ViewTime};

/// Time after a restore of the store in which operators write lost evacuations again; longer than
/// live targets take for their entries.
const REWRITE_TIME: MilliDuration = MilliDuration::from_millis(4_000);

/// A change of the evacuated data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The data centre gets no more requests.
    Begun(DataCentre),
    /// The store was restored without the entry; the evacuation holds until the given time.
    Retained(DataCentre, MilliTime),
    /// The data centre gets requests again.
    Ended(DataCentre),
}

/// The evacuated data centres, as far as this router knows.
///
/// # Examples
///
/// ```
/// use briarrail_dispatch::{EvacuationLedger, EvacuationPosition, EvacuationView};
/// use briarrail_model::MilliTime;
///
/// let now = MilliTime::from_millis(0);
/// let view = |revision, names: &[&str]| EvacuationView {
///     position: Some(EvacuationPosition { epoch: 1, revision }),
///     data_centres: names.iter().map(|&name| name.into()).collect(),
///     ..EvacuationView::default()
/// };
/// let mut ledger = EvacuationLedger::default();
/// ledger.adopt(view(7, &["coast-1"]), now);
/// ledger.adopt(view(5, &[]), now);
/// assert!(ledger.data_centres().contains("coast-1"));
/// ledger.adopt(view(9, &[]), now);
/// assert!(ledger.data_centres().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct EvacuationLedger {
    position: Option<EvacuationPosition>,
    time: ViewTime,
    is_known: bool,
    /// Evacuated data centres; with the end of the retention if the store lacks the entry.
    entries: BTreeMap<DataCentre, Option<MilliTime>>,
    /// End of the time in which entries that other routers retain are taken over.
    rewrite_until: MilliTime,
}

impl EvacuationLedger {
    /// Adopts a view unless it is older than the current one, and returns the changes.
    ///
    /// A view that may be stale counts only until the first one that is not.
    pub fn adopt(&mut self, view: EvacuationView, now: MilliTime) -> Vec<EvacuationChange> {
        let Some(position) = view.position else {
            return self.adopt_stale(&view.data_centres);
        };
        let mut changes = Vec::new();
        if self.position.is_none_or(|known| known <= position) {
            self.replace_listed(&view.data_centres, position, now, &mut changes);
            self.time.advance(view.time);
        }
        if self
            .position
            .is_some_and(|known| known.epoch == position.epoch)
        {
            self.take_over_retained(view.retained, now, &mut changes);
        }
        changes
    }

    fn adopt_stale(&mut self, listed: &BTreeSet<DataCentre>) -> Vec<EvacuationChange> {
        if self.position.is_some() {
            return Vec::new();
        }
        self.is_known = true;
        let added = listed.iter().filter(|name| {
            let previous = self.entries.insert((*name).clone(), None);
            previous.is_none()
        });
        added.cloned().map(EvacuationChange::Begun).collect()
    }

    fn replace_listed(
        &mut self,
        listed: &BTreeSet<DataCentre>,
        position: EvacuationPosition,
        now: MilliTime,
        changes: &mut Vec<EvacuationChange>,
    ) {
        let is_restored = self
            .position
            .is_some_and(|known| known.epoch < position.epoch);
        if is_restored || self.position.is_none() {
            self.rewrite_until = now + REWRITE_TIME;
        }
        self.position = Some(position);
        self.is_known = true;
        let until = self.rewrite_until;
        self.entries.retain(|name, retained_until| {
            if listed.contains(name) {
                *retained_until = None;
                return true;
            }
            if is_restored && retained_until.is_none() {
                *retained_until = Some(until);
                changes.push(EvacuationChange::Retained(name.clone(), until));
            }
            if retained_until.is_none() {
                changes.push(EvacuationChange::Ended(name.clone()));
            }
            retained_until.is_some()
        });
        for name in listed {
            if !self.entries.contains_key(name) {
                self.entries.insert(name.clone(), None);
                changes.push(EvacuationChange::Begun(name.clone()));
            }
        }
    }

    /// Takes over evacuations that another router knew before the restore.
    fn take_over_retained(
        &mut self,
        retained: BTreeMap<DataCentre, MilliTime>,
        now: MilliTime,
        changes: &mut Vec<EvacuationChange>,
    ) {
        for (name, until) in retained {
            let until = until.min(self.rewrite_until);
            if until > now && !self.entries.contains_key(&name) {
                self.entries.insert(name.clone(), Some(until));
                changes.push(EvacuationChange::Begun(name.clone()));
                changes.push(EvacuationChange::Retained(name, until));
            }
        }
    }

    /// Ends the evacuations that the operators have not written again after a restore.
    pub fn expire(&mut self, now: MilliTime) -> Vec<EvacuationChange> {
        let is_expired = |until: Option<MilliTime>| until.is_some_and(|until| until <= now);
        let expired = self
            .entries
            .extract_if(.., |_, retained_until| is_expired(*retained_until));
        expired
            .map(|(name, _)| EvacuationChange::Ended(name))
            .collect()
    }

    /// Forgets all views, and returns the evacuations that end with them.
    pub fn clear(&mut self) -> Vec<EvacuationChange> {
        let known = std::mem::take(self);
        let names = known.entries.into_keys();
        names.map(EvacuationChange::Ended).collect()
    }

    /// Returns whether the store or another router has told the evacuations.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub fn data_centres(&self) -> BTreeSet<DataCentre> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the view to pass on to other routers, or `None` if there is none that is known to be
    /// current at some position.
    #[must_use]
    pub fn view(&self) -> Option<EvacuationView> {
        let position = self.position?;
        let mut view = EvacuationView {
            position: Some(position),
            time: self.time,
            ..EvacuationView::default()
        };
        for (name, retained_until) in &self.entries {
            match retained_until {
                Some(until) => drop(view.retained.insert(name.clone(), *until)),
                None => drop(view.data_centres.insert(name.clone())),
            }
        }
        Some(view)
    }

    /// Returns the highest possible age of the view, or `None` if it is unknown.
    #[must_use]
    pub fn age(&self, now: MilliTime) -> Option<MilliDuration> {
        self.time.age(now)
    }
}
