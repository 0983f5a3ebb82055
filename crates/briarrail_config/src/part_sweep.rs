//! Finds objects that no head refers to.

use std::collections::BTreeSet;

use briarrail_platform::ObjectListing;

use crate::{BaseObject, HeadObject, PART_PREFIX};

/// Returns the parts that no head from `head` on can refer to.
///
/// Parts of edits after the head's are left alone: their editors may be about to write the head.
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
    let settled = |key: &&String| part_sequence(key).is_some_and(|part| part <= head.sequence);
    keys.filter(settled)
        .filter(|key| !referenced.contains(key.as_str()))
        .cloned()
        .collect()
}

fn part_sequence(key: &str) -> Option<u64> {
    let name = key.strip_prefix(PART_PREFIX)?;
    name.split('-').next()?.parse().ok()
}
