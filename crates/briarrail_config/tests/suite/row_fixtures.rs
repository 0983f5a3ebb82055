//! Builders of rows and edits.

use briarrail_config::{EditId, EditRequest, RowChange};
use briarrail_model::{MilliTime, PoolRow, RouteRow};
use serde_json::json;

pub(crate) fn pool_row(name: &str, skew_bound: f64) -> PoolRow {
    let row = json!({
        "name": name,
        "kind": "model",
        "targets": { "service": name },
        "skew_bound": skew_bound,
    });
    serde_json::from_value(row).unwrap()
}

pub(crate) fn route_row(name: &str, pool: &str) -> RouteRow {
    serde_json::from_value(json!({ "name": name, "pool": pool })).unwrap()
}

pub(crate) fn put_pool(name: &str, skew_bound: f64, expected: u64) -> RowChange {
    let row = pool_row(name, skew_bound);
    RowChange::PutPool { expected, row }
}

pub(crate) fn put_route(name: &str, pool: &str, expected: u64) -> RowChange {
    let row = route_row(name, pool);
    RowChange::PutRoute { expected, row }
}

pub(crate) fn edit_request(number: u128, editor: &str, changes: Vec<RowChange>) -> EditRequest {
    EditRequest {
        id: EditId(uuid::Uuid::from_u128(number)),
        editor: editor.to_owned(),
        at_ms: MilliTime::from_millis(1_000),
        changes,
    }
}
