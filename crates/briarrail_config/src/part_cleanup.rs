//! Finds parts that are no longer referenced.

use std::collections::BTreeSet;

use briarrail_platform::ObjectListing;

use crate::{BaseObject, HeadObject, PART_PREFIX};

/// Returns the keys of the parts that neither `head` nor any later head can refer to.
///
/// Parts of edits after that of the head are kept, because their editors may be about to update
/// the head.
pub(crate) fn unreferenced_parts(
    head: &HeadObject,
    base: &BaseObject,
    listing: &ObjectListing,
) -> Vec<String> {
    let segments = head.segments.iter().map(|segment| segment.key.as_str());
    let bases = head.base.iter().map(|base| base.key.as_str());
    let shards = base.shards.iter().map(|shard| shard.key.as_str());
    let referenced: BTreeSet<_> = segments.chain(bases).chain(shards).collect();
    let keys = listing.objects.iter().map(|object| &object.key);
    let is_up_to_head =
        |key: &&String| part_sequence(key).is_some_and(|sequence| sequence <= head.sequence);
    keys.filter(is_up_to_head)
        .filter(|key| !referenced.contains(key.as_str()))
        .cloned()
        .collect()
}

/// Returns the sequence number in the key of a part.
fn part_sequence(key: &str) -> Option<u64> {
    let name = key.strip_prefix(PART_PREFIX)?;
    name.split('-').next()?.parse().ok()
}
