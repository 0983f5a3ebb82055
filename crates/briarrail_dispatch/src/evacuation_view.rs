//! The evacuations of data centres at one revision of the store.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{DataCentre, MilliTime};

use crate::ViewTime;

/// Position in the history of the store; a view of a later one is newer.
///
/// A store that was restored from a copy gives out revisions again, so the epoch comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvacuationPosition {
    /// Number of times the store was restored from a copy.
    pub epoch: u64,
    /// Revision within the epoch.
    pub revision: u64,
}

/// The evacuations as the store or another router tells them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationView {
    /// Position in the history of the store; `None` if the store was allowed to answer from an older
    /// state.
    pub position: Option<EvacuationPosition>,
    /// Time at which the store had reached that position.
    pub time: ViewTime,
    /// Data centres with an entry in the store.
    pub data_centres: BTreeSet<DataCentre>,
    /// Data centres whose entries another router knew before the store was restored without them,
    /// with the end of the time in which the operators write them again.
    pub retained: BTreeMap<DataCentre, MilliTime>,
}
