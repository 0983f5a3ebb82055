//! Rows and edits for the tests.

use briarrail_config::{EditId, EditRequest, RowChange};
use briarrail_model::{MilliTime, PoolRow, RouteRow};
use serde_json::json;

pub(crate) fn pool(name: &str, skew_bound: f64) -> PoolRow {
    let row = json!({
        "name": name,
        "kind": "model",
        "targets": { "service": name },
        "skew_bound": skew_bound,
    });
    serde_json::from_value(row).unwrap()
}

pub(crate) fn route(name: &str, pool: &str) -> RouteRow {
    serde_json::from_value(json!({ "name": name, "pool": pool })).unwrap()
}

pub(crate) fn put_pool(name: &str, skew_bound: f64, expected: u64) -> RowChange {
    let row = pool(name, skew_bound);
    RowChange::PutPool { expected, row }
}

pub(crate) fn put_route(name: &str, pool: &str, expected: u64) -> RowChange {
    let row = route(name, pool);
    RowChange::PutRoute { expected, row }
}

pub(crate) fn request(number: u128, editor: &str, changes: Vec<RowChange>) -> EditRequest {
    EditRequest {
        id: EditId(uuid::Uuid::from_u128(number)),
        editor: editor.to_owned(),
        at_ms: MilliTime::from_millis(1_000),
        changes,
    }
}
