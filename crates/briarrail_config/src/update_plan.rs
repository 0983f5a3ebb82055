//! Plans the object writes of an edit.

use briarrail_model::hash_bytes;
use bytes::Bytes;
use serde::Serialize;

use crate::{
    BaseObject, BaseRef, ConfigEdit, ConfigState, HeadObject, LayoutLimits, PART_PREFIX,
    SegmentRef, ShardObject, ShardRef,
};

/// A part to create before the head refers to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPart {
    /// Key of the object.
    pub key: String,
    /// Value of the object.
    pub value: Bytes,
}

/// Input of [`plan_update`].
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Current head.
    pub head: &'a HeadObject,
    /// Edits of the head's last segment, if they were loaded; edits moved out of the head can be
    /// merged with them.
    pub last_segment: Option<&'a [ConfigEdit]>,
    /// Current base.
    pub base: &'a BaseObject,
    /// Tables after the edit.
    pub state: &'a ConfigState,
    /// The edit.
    pub edit: &'a ConfigEdit,
    /// Number of the attempt to write the edit; makes the keys of the parts unique.
    pub attempt: u32,
    /// Size limits of the objects.
    pub limits: &'a LayoutLimits,
}

/// Parts to create, and the head to write after them.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdatePlan {
    /// Parts to create before the head is written.
    pub parts: Vec<StoredPart>,
    /// Head to write if the version of the stored head is unchanged.
    pub head: HeadObject,
}

/// Plans the object writes of an edit.
#[must_use]
pub fn plan_update(input: &PlanInput<'_>) -> UpdatePlan {
    let mut head = input.head.clone();
    head.sequence = input.edit.sequence;
    head.last_edit = Some(input.edit.id);
    head.edits.push(input.edit.clone());
    let mut plan = UpdatePlan {
        parts: Vec::new(),
        head,
    };
    if encode(&plan.head.edits).len() > input.limits.max_head_edit_bytes {
        move_edits_to_segment(&mut plan, input);
    }
    let base_sequence = plan.head.base_sequence();
    let segments_after_base = plan.head.segments_after(base_sequence).count();
    if segments_after_base > input.limits.max_segments_after_base {
        write_base(&mut plan, input);
    }
    drop_oldest_segments(&mut plan.head, input.limits.max_segments);
    plan
}

/// Moves edits from the head to a segment, except the newest one if it is small.
///
/// Writes a new base instead if the segment would be too large.
fn move_edits_to_segment(plan: &mut UpdatePlan, input: &PlanInput<'_>) {
    let newest_bytes = encode(std::slice::from_ref(input.edit)).len();
    let keeps_newest = newest_bytes <= input.limits.max_head_edit_bytes / 2;
    let moved_count = plan.head.edits.len() - usize::from(keeps_newest);
    let moved: Vec<_> = plan.head.edits.drain(..moved_count).collect();
    let merged = merge_last_segment(plan, input, &moved);
    let edits = merged.as_ref().unwrap_or(&moved);
    let value = encode(edits);
    if value.len() > input.limits.max_part_bytes {
        plan.head.segments.clear();
        write_base(plan, input);
        return;
    }
    let (Some(first), Some(last)) = (edits.first(), edits.last()) else {
        return;
    };
    let segment = SegmentRef {
        key: part_key(input, "segment", 0),
        first: first.sequence,
        last: last.sequence,
        bytes: value.len() as u64,
    };
    plan.parts.push(StoredPart {
        key: segment.key.clone(),
        value,
    });
    plan.head.segments.push(segment);
}

/// Removes the last segment from the head and returns its edits followed by the moved ones, if
/// they fit into one segment.
fn merge_last_segment(
    plan: &mut UpdatePlan,
    input: &PlanInput<'_>,
    moved: &[ConfigEdit],
) -> Option<Vec<ConfigEdit>> {
    let mut merged = input.last_segment?.to_vec();
    merged.extend_from_slice(moved);
    if encode(&merged).len() > input.limits.max_merged_segment_bytes {
        return None;
    }
    plan.head.segments.pop();
    Some(merged)
}

/// Writes the tables as a new base, which reuses the unchanged shards of the previous one.
fn write_base(plan: &mut UpdatePlan, input: &PlanInput<'_>) {
    let mut base = BaseObject {
        sequence: input.edit.sequence,
        shards: Vec::new(),
    };
    for (index, value) in split_tables(input).into_iter().enumerate() {
        let digest = hash_bytes(&value);
        let previous = input.base.shards.get(index);
        if let Some(shard) = previous.filter(|shard| shard.digest == digest) {
            base.shards.push(shard.clone());
            continue;
        }
        let key = part_key(input, "shard", index);
        base.shards.push(ShardRef {
            key: key.clone(),
            digest,
        });
        plan.parts.push(StoredPart { key, value });
    }
    let key = part_key(input, "base", 0);
    plan.parts.push(StoredPart {
        key: key.clone(),
        value: encode(&base),
    });
    plan.head.base = Some(BaseRef {
        key,
        sequence: base.sequence,
    });
}

/// Splits the tables into enough shards to keep each under the size limit, and encodes them.
fn split_tables(input: &PlanInput<'_>) -> Vec<Bytes> {
    let tables = &input.state.snapshot().tables;
    let total = encode(tables).len();
    let mut count = (total / input.limits.max_mean_shard_bytes + 1).next_power_of_two();
    loop {
        let shards = ShardObject::split(tables, count);
        let values: Vec<_> = shards.iter().map(encode).collect();
        let fits = values
            .iter()
            .all(|value| value.len() <= input.limits.max_part_bytes);
        if fits || count >= tables.routes.len() + tables.pools.len() {
            return values;
        }
        count *= 2;
    }
}

/// Removes the oldest segments beyond `max_segments`, as far as the base covers them.
fn drop_oldest_segments(head: &mut HeadObject, max_segments: usize) {
    let base_sequence = head.base_sequence();
    let excess = head.segments.len().saturating_sub(max_segments);
    let oldest = head.segments.iter().take(excess);
    let count = oldest
        .take_while(|segment| segment.last <= base_sequence)
        .count();
    head.segments.drain(..count);
}

/// Returns a key that is unique to the edit and the attempt.
fn part_key(input: &PlanInput<'_>, kind: &str, index: usize) -> String {
    let sequence = input.edit.sequence;
    let id = input.edit.id.0.simple();
    let attempt = input.attempt;
    format!("{PART_PREFIX}{sequence:012}-{id}-{attempt}-{kind}-{index:04}")
}

/// Encodes a value as JSON.
///
/// # Panics
///
/// Panics when the value has map keys that are not strings; the stored objects have none.
pub(crate) fn encode<T>(value: &T) -> Bytes
where
    T: Serialize + ?Sized,
{
    let text = serde_json::to_vec(value).expect("stored objects have only string keys");
    Bytes::from(text)
}
