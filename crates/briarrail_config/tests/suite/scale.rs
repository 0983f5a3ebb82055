//! Measures the cost of edits with up to 44,000 routes.
//!
//! `cargo test --release -p briarrail_config --test suite -- --ignored --nocapture scale` prints
//! one JSON object per table size and takes minutes.

use std::sync::Arc;
use std::time::Instant;

use briarrail_config::{ConfigEditor, HEAD_KEY, HeadObject, RowChange};
use serde_json::json;

use crate::faulty_store::FaultyStore;
use crate::row_fixtures::{edit_request, put_pool, route_row};

const EDIT_COUNT: u64 = 2_000;

fn customer_route(number: usize) -> briarrail_model::RouteRow {
    let name = format!("customer-{number:05}");
    let mut row = route_row(&name, "p");
    row.conditions.customers = vec![name.as_str().into()];
    row
}

async fn measure_edits(rows: usize) {
    let store = Arc::new(FaultyStore::default());
    let editor = ConfigEditor::new(Arc::clone(&store));
    let mut changes = vec![put_pool("p", 2.0, 0)];
    changes.extend((0..rows).map(|number| RowChange::PutRoute {
        expected: 0,
        row: customer_route(number),
    }));
    let start = Instant::now();
    editor
        .submit(&edit_request(1, "ann", changes))
        .await
        .unwrap();
    let bulk_ms = start.elapsed().as_millis();
    store.take_calls();
    let (mut head_bytes, mut sequence) = (0, 1);
    let mut versions = vec![1; rows];
    let start = Instant::now();
    for edit in 0..EDIT_COUNT {
        let number = edit as usize * 7 % rows;
        let mut row = customer_route(number);
        row.deadline_ms = briarrail_model::MilliDuration::from_millis(edit + 1);
        let expected = versions[number];
        let change = RowChange::PutRoute { expected, row };
        let receipt = editor
            .submit(&edit_request(u128::from(edit) + 2, "ann", vec![change]))
            .await;
        versions[number] = receipt.unwrap().sequence;
    }
    let edit_ms = start.elapsed().as_secs_f64() * 1_000.0 / EDIT_COUNT as f64;
    let calls = store.take_calls();
    let heads: Vec<_> = store.heads();
    for head in &heads[1..] {
        head_bytes += encoded_len(head);
        sequence += u64::from(head.edits_since(sequence).is_some());
    }
    let start = Instant::now();
    let snapshot = editor.reader().snapshot().await.unwrap();
    let start_ms = start.elapsed().as_secs_f64() * 1_000.0;
    assert_eq!(snapshot.sequence, EDIT_COUNT + 1);
    let start_calls = store.take_calls();
    let edits = EDIT_COUNT as usize;
    let report = json!({
        "rows": rows,
        "bulk_edit_ms": bulk_ms,
        "edit_ms": edit_ms,
        "editor_reads_per_edit": calls.reads as f64 / EDIT_COUNT as f64,
        "editor_writes_per_edit": calls.writes as f64 / EDIT_COUNT as f64,
        "editor_read_bytes_per_edit": calls.read_bytes / edits,
        "written_bytes_per_edit": calls.written_bytes / edits,
        "head_bytes_mean": head_bytes / edits,
        "head_bytes_max": heads.iter().map(encoded_len).max(),
        "edits_in_head": sequence - 1,
        "router_start_ms": start_ms,
        "router_start_reads": start_calls.reads,
        "router_start_bytes": start_calls.read_bytes,
        "objects": store.keys().len(),
    });
    println!("{report}");
    assert!(store.keys().iter().any(|key| key == HEAD_KEY));
}

fn encoded_len(head: &HeadObject) -> usize {
    serde_json::to_vec(head).unwrap().len()
}

#[tokio::test]
#[ignore = "prints a measurement and takes minutes"]
async fn cost_of_edits() {
    for rows in [1_000, 10_000, 44_000] {
        measure_edits(rows).await;
    }
}
