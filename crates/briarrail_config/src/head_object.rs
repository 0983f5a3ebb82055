//! The head object.

use serde::{Deserialize, Serialize};

use crate::{ConfigEdit, EditId};

/// Reference to a segment, which is an object that stores consecutive edits.
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

/// Reference to a base, which is a snapshot of both tables as of one edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseRef {
    /// Key of the object, which lists the shards.
    pub key: String,
    /// Sequence number of the last edit that the rows include.
    pub sequence: u64,
}

/// The head object; its conditional update accepts an edit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HeadObject {
    /// Sequence number of the last edit; 0 before the first.
    pub sequence: u64,
    /// Identifier of the last edit.
    pub last_edit: Option<EditId>,
    /// The latest edits, oldest first; may be empty when the last edit was large.
    pub edits: Vec<ConfigEdit>,
    /// Segments with the edits before `edits`, oldest first and without gaps.
    pub segments: Vec<SegmentRef>,
    /// Snapshot of the tables as of an earlier edit; `None` before the first compaction.
    pub base: Option<BaseRef>,
}

impl HeadObject {
    /// Returns the edits after a sequence number if the head itself holds all of them.
    #[must_use]
    pub fn edits_since(&self, sequence: u64) -> Option<&[ConfigEdit]> {
        let missing = self.sequence.checked_sub(sequence)?;
        let start = self
            .edits
            .len()
            .checked_sub(usize::try_from(missing).ok()?)?;
        Some(&self.edits[start..])
    }

    /// Returns the sequence number of the base, or 0 without a base.
    #[must_use]
    pub fn base_sequence(&self) -> u64 {
        self.base.as_ref().map_or(0, |base| base.sequence)
    }

    /// Returns the sequence number of the oldest edit that the head or its segments hold, or the
    /// next sequence number if they hold none.
    #[must_use]
    pub fn oldest_edit_sequence(&self) -> u64 {
        let segment = self.segments.first().map(|segment| segment.first);
        let edit = self.edits.first().map(|edit| edit.sequence);
        segment.or(edit).unwrap_or(self.sequence + 1)
    }

    /// Returns the sequence number of an edit if it is the last one or the head itself holds it.
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
