//! Tests of the JSON form of table rows.

use briarrail_model::{PoolRow, RouteRow};
use serde_json::json;

#[test]
fn omitted_fields_get_their_defaults() {
    let pool = json!({ "name": "p", "kind": "model", "targets": { "service": "p" } });
    let pool: PoolRow = serde_json::from_value(pool).unwrap();
    let route = json!({ "name": "r", "pool": "p" });
    let route: RouteRow = serde_json::from_value(route).unwrap();
    insta::assert_json_snapshot!((&pool, &route));
    let text = serde_json::to_string(&(&pool, &route)).unwrap();
    let parsed: (PoolRow, RouteRow) = serde_json::from_str(&text).unwrap();
    assert_eq!(parsed, (pool, route));
}

#[test]
fn unknown_fields_are_rejected() {
    let route = json!({ "name": "r", "pool": "p", "deadline": 5 });
    let error = serde_json::from_value::<RouteRow>(route).unwrap_err();
    assert!(
        error.to_string().starts_with("unknown field `deadline`"),
        "{error}"
    );
}
