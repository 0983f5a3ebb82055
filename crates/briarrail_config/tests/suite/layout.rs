//! Layout of the stored objects: head, segments, shards and bases.

use std::sync::Arc;

use briarrail_config::{
    ConfigEditor, ConfigState, ConfigUpdate, HeadObject, LayoutLimits, PART_PREFIX, ReadErrorKind,
    RowChange,
};
use briarrail_platform::{ObjectStore, WriteCondition};
use bytes::Bytes;

use crate::faulty_store::FaultyStore;
use crate::row_fixtures::{edit_request, put_pool, route_row};

const SMALL_LIMITS: LayoutLimits = LayoutLimits {
    max_head_edit_bytes: 1_200,
    max_merged_segment_bytes: 3_000,
    max_part_bytes: 8_000,
    max_segments: 6,
    max_segments_after_base: 3,
    max_mean_shard_bytes: 1_000,
    max_row_bytes: 4_000,
};

fn encoded_len(head: &HeadObject) -> usize {
    serde_json::to_vec(head).unwrap().len()
}

async fn store_with_edits(
    limits: LayoutLimits,
    edits: u64,
) -> (Arc<FaultyStore>, ConfigEditor<FaultyStore>) {
    let store = Arc::new(FaultyStore::default());
    let editor = ConfigEditor::with_limits(Arc::clone(&store), limits);
    let mut versions = [0; 7];
    for number in 1..=edits {
        let index = (number % 7) as usize;
        let change = put_pool(
            &format!("p{index}"),
            2.0 + number as f64 / 100.0,
            versions[index],
        );
        let receipt = editor
            .submit(&edit_request(number.into(), "ann", vec![change]))
            .await;
        versions[index] = receipt.unwrap().sequence;
    }
    (store, editor)
}

#[tokio::test]
async fn head_stays_small_over_many_edits() {
    let limits = LayoutLimits {
        max_merged_segment_bytes: 4_000,
        ..LayoutLimits::default()
    };
    let (store, editor) = store_with_edits(limits, 150).await;
    // A reference is at most 150 bytes long.
    let bound = limits.max_head_edit_bytes + 150 * (limits.max_segments + 2);
    let largest = store.heads().iter().map(encoded_len).max().unwrap();
    assert!(largest <= bound, "{largest} bytes");
    let head = editor.reader().head().await.unwrap().head;
    assert_eq!(head.sequence, 150);
    assert_eq!(head.segments.len(), limits.max_segments);
}

#[tokio::test]
async fn cleanup_keeps_parts_of_pending_edits() {
    let (store, editor) = store_with_edits(SMALL_LIMITS, 3).await;
    let stale = format!("{PART_PREFIX}{:012}-stale", 3);
    let pending = format!("{PART_PREFIX}{:012}-pending", 4);
    for key in [&stale, &pending] {
        let value = Bytes::from_static(b"[]");
        store.put(key, value, WriteCondition::Absent).await.unwrap();
    }
    assert_eq!(editor.delete_unreferenced_parts().await.unwrap(), 1);
    assert!(!store.keys().contains(&stale));
    assert!(store.keys().contains(&pending));
}

#[tokio::test]
async fn update_leads_to_the_head_from_any_sequence_number() {
    let (_, editor) = store_with_edits(SMALL_LIMITS, 60).await;
    let reader = editor.reader();
    let latest = reader.snapshot().await.unwrap();
    let mut snapshot_count = 0;
    for from in 0..=61 {
        match reader.update_since(from).await.unwrap() {
            ConfigUpdate::UpToDate => assert!(from >= 60),
            ConfigUpdate::Edits(edits) => {
                let sequences: Vec<_> = edits.iter().map(|edit| edit.sequence).collect();
                assert_eq!(sequences, (from + 1..=60).collect::<Vec<_>>());
            }
            ConfigUpdate::Snapshot(snapshot) => {
                assert_eq!(snapshot, latest);
                snapshot_count += 1;
            }
        }
    }
    assert!(snapshot_count > 0, "the oldest edits were not dropped");
}

#[tokio::test]
async fn snapshot_equals_the_edits_applied_in_order() {
    let (store, editor) = store_with_edits(SMALL_LIMITS, 60).await;
    let mut state = ConfigState::default();
    for head in store.heads() {
        let edits = head
            .edits_since(state.sequence())
            .expect("the head holds the newest edit");
        state.apply_all(edits).unwrap();
    }
    assert_eq!(&editor.reader().snapshot().await.unwrap(), state.snapshot());
}

#[tokio::test]
async fn replaced_parts_are_deleted() {
    let (store, editor) = store_with_edits(SMALL_LIMITS, 200).await;
    let parts = store
        .keys()
        .iter()
        .filter(|key| key.starts_with(PART_PREFIX))
        .count();
    let head = editor.reader().head().await.unwrap().head;
    // Seven rows of about 600 bytes need at most eight shards, plus the base and the segments.
    assert!(parts <= 8 + 1 + head.segments.len(), "{parts} parts");
    assert_eq!(editor.delete_unreferenced_parts().await.unwrap(), 0);
}

#[tokio::test]
async fn one_edit_can_store_tables_larger_than_the_value_limit() {
    let store = Arc::new(FaultyStore::default());
    let editor = ConfigEditor::new(Arc::clone(&store));
    let mut changes = vec![put_pool("p", 2.0, 0)];
    for number in 0..6_000 {
        let mut row = route_row(&format!("customer-{number:05}"), "p");
        row.conditions.customers = vec![format!("customer-{number:05}").as_str().into()];
        changes.push(RowChange::PutRoute { expected: 0, row });
    }
    let bulk_edit = edit_request(1, "ann", changes);
    editor.submit(&bulk_edit).await.unwrap();
    let snapshot = editor.reader().snapshot().await.unwrap();
    assert_eq!(snapshot.tables.routes.len(), 6_000);
    assert!(serde_json::to_vec(&snapshot).unwrap().len() > 1 << 20);
    assert_eq!(editor.submit(&bulk_edit).await.unwrap().sequence, 1);
    let shard_keys = |store: &FaultyStore| -> Vec<_> {
        let keys = store.keys().into_iter();
        keys.filter(|key| key.contains("-shard-")).collect()
    };
    let before = shard_keys(&store);
    assert!(before.len() > 1);
    let next = edit_request(2, "ann", vec![put_pool("p", 3.0, 1)]);
    editor.submit(&next).await.unwrap();
    assert_eq!(shard_keys(&store), before);
}

#[tokio::test]
async fn missing_part_is_reported_as_replaced() {
    let (store, editor) = store_with_edits(SMALL_LIMITS, 60).await;
    let base = editor.reader().head().await.unwrap().head.base.unwrap();
    store.remove_object(&base.key);
    let error = editor.reader().snapshot().await.unwrap_err();
    assert_eq!(error.kind, ReadErrorKind::Replaced);
}
