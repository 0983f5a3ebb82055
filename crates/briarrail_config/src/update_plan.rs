//! Decides which objects an accepted edit writes.

use briarrail_model::hash_bytes;
use bytes::Bytes;
use serde::Serialize;

use crate::{
    BaseObject, BaseRef, ConfigEdit, ConfigState, HeadObject, LayoutLimits, PART_PREFIX,
    SegmentRef, ShardObject, ShardRef,
};

/// An object to be created before the head refers to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPart {
    /// Key of the object.
    pub key: String,
    /// Value of the object.
    pub value: Bytes,
}

/// What the decision is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Head as it stands.
    pub head: &'a HeadObject,
    /// Edits of the head's last segment, when they are at hand.
    pub last_segment: Option<&'a [ConfigEdit]>,
    /// Base as it stands.
    pub base: &'a BaseObject,
    /// Tables with the edit.
    pub state: &'a ConfigState,
    /// The edit.
    pub edit: &'a ConfigEdit,
    /// Number that differs between tries to write the edit.
    pub attempt: u32,
    /// Sizes of the objects.
    pub limits: &'a LayoutLimits,
}

/// The objects to create, then the head to write.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdatePlan {
    /// Objects to create first.
    pub parts: Vec<StoredPart>,
    /// Head to write when its version is unchanged.
    pub head: HeadObject,
}

/// Decides which objects to write for an edit.
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
    if encode(&plan.head.edits).len() > input.limits.head_edit_bytes {
        seal_edits(&mut plan, input);
    }
    let base_sequence = plan.head.base_sequence();
    let unsealed = plan.head.segments_after(base_sequence).count();
    if unsealed > input.limits.segments_per_base {
        write_base(&mut plan, input);
    }
    trim_segments(&mut plan.head, input.limits.max_segments);
    plan
}

/// Moves edits from the head to a segment; the newest stays when it is small.
fn seal_edits(plan: &mut UpdatePlan, input: &PlanInput<'_>) {
    let newest_bytes = encode(std::slice::from_ref(input.edit)).len();
    let keeps_newest = newest_bytes <= input.limits.head_edit_bytes / 2;
    let sealed_count = plan.head.edits.len() - usize::from(keeps_newest);
    let sealed: Vec<_> = plan.head.edits.drain(..sealed_count).collect();
    let merged = merge_last_segment(plan, input, &sealed);
    let edits = merged.as_ref().unwrap_or(&sealed);
    let value = encode(edits);
    if value.len() > input.limits.part_bytes {
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

/// Takes the last segment out of the head and returns its edits with the sealed ones, when both
/// together are small enough.
fn merge_last_segment(
    plan: &mut UpdatePlan,
    input: &PlanInput<'_>,
    sealed: &[ConfigEdit],
) -> Option<Vec<ConfigEdit>> {
    let mut merged = input.last_segment?.to_vec();
    merged.extend_from_slice(sealed);
    if encode(&merged).len() > input.limits.segment_bytes {
        return None;
    }
    plan.head.segments.pop();
    Some(merged)
}

/// Writes the tables into shards, sharing those that did not change.
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

/// Returns the encoded shards, as many as keep each of them under the size limit.
fn split_tables(input: &PlanInput<'_>) -> Vec<Bytes> {
    let tables = &input.state.snapshot().tables;
    let total = encode(tables).len();
    let mut count = (total / input.limits.shard_bytes + 1).next_power_of_two();
    loop {
        let shards = ShardObject::split(tables, count);
        let values: Vec<_> = shards.iter().map(encode).collect();
        let fits = values
            .iter()
            .all(|value| value.len() <= input.limits.part_bytes);
        if fits || count >= tables.routes.len() + tables.pools.len() {
            return values;
        }
        count *= 2;
    }
}

fn trim_segments(head: &mut HeadObject, max_segments: usize) {
    let base_sequence = head.base_sequence();
    let surplus = head.segments.len().saturating_sub(max_segments);
    let covered = head.segments.iter().take(surplus);
    let count = covered
        .take_while(|segment| segment.last <= base_sequence)
        .count();
    head.segments.drain(..count);
}

/// Returns a key that no other edit and no other try uses.
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
/// Panics when the value has map keys that are not text, which the stored objects don't.
pub(crate) fn encode<T>(value: &T) -> Bytes
where
    T: Serialize + ?Sized,
{
    let text = serde_json::to_vec(value).expect("stored objects have text keys only");
    Bytes::from(text)
}
