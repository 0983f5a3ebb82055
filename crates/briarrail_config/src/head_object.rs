//! The head object.

use serde::{Deserialize, Serialize};

use crate::{ConfigEdit, EditId};

/// Refers to a segment: a run of edits in an object of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Key of the object, which holds a list of edits.
    pub key: String,
    /// Sequence number of the first edit.
    pub first: u64,
    /// Sequence number of the last edit.
    pub last: u64,
    /// Size of the object, in bytes.
    pub bytes: u64,
}

/// Refers to a base: the rows of both tables as of one edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseRef {
    /// Key of the object, which lists the shards.
    pub key: String,
    /// Sequence number of the last edit that the rows include.
    pub sequence: u64,
}

/// The object whose conditional update accepts an edit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HeadObject {
    /// Sequence number of the last edit; 0 before the first.
    pub sequence: u64,
    /// Identifier of the last edit.
    pub last_edit: Option<EditId>,
    /// The latest edits, oldest first; may be empty when the last edit was large.
    pub edits: Vec<ConfigEdit>,
    /// Earlier edits, oldest first, without a gap up to `edits`.
    pub segments: Vec<SegmentRef>,
    /// Rows as of an earlier edit; none before the first compaction.
    pub base: Option<BaseRef>,
}

impl HeadObject {
    /// Returns the edits after a sequence number, when the head itself carries all of them.
    #[must_use]
    pub fn edits_since(&self, sequence: u64) -> Option<&[ConfigEdit]> {
        let missing = self.sequence.checked_sub(sequence)?;
        let start = self
            .edits
            .len()
            .checked_sub(usize::try_from(missing).ok()?)?;
        Some(&self.edits[start..])
    }

    /// Returns the sequence number of the base; 0 without one.
    #[must_use]
    pub fn base_sequence(&self) -> u64 {
        self.base.as_ref().map_or(0, |base| base.sequence)
    }

    /// Returns the sequence number of the oldest edit that the head or its segments carry.
    #[must_use]
    pub fn oldest_edit(&self) -> u64 {
        let segment = self.segments.first().map(|segment| segment.first);
        let edit = self.edits.first().map(|edit| edit.sequence);
        segment.or(edit).unwrap_or(self.sequence + 1)
    }

    /// Returns the sequence number of an edit, when the head itself carries it.
    #[must_use]
    pub fn find_edit(&self, id: EditId) -> Option<u64> {
        if self.last_edit == Some(id) {
            return Some(self.sequence);
        }
        let edit = self.edits.iter().find(|edit| edit.id == id);
        edit.map(|edit| edit.sequence)
    }

    /// Returns the segments that hold edits after a sequence number.
    pub(crate) fn segments_after(&self, sequence: u64) -> impl Iterator<Item = &SegmentRef> {
        let newer = move |segment: &&SegmentRef| segment.last > sequence;
        self.segments.iter().filter(newer)
    }
}
