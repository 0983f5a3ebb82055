//! The operators' page against the rows.

use briarrail_model::{PoolRow, RouteRow};
use serde::Serialize;
use serde_json::{Value, json};

const PAGE: &str = include_str!("../../../../docs/OPERATORS.md");

fn assert_documented<R>(row: &R, given: &[&str])
where
    R: Serialize,
{
    let mut fields = Vec::new();
    flatten(&serde_json::to_value(row).unwrap(), "", &mut fields);
    for (path, value) in fields {
        if path.starts_with("stamp") || given.contains(&path.as_str()) {
            continue;
        }
        let shown = match &value {
            Value::String(text) => format!("| `{path}` | `{text}` |"),
            other => format!("| `{path}` | {other} |"),
        };
        assert!(PAGE.contains(&shown), "the page lacks {shown}");
    }
}

fn flatten(value: &Value, path: &str, fields: &mut Vec<(String, Value)>) {
    let Some(object) = value.as_object() else {
        fields.push((path.to_owned(), value.clone()));
        return;
    };
    for (key, field) in object {
        let separator = if path.is_empty() { "" } else { "." };
        flatten(field, &format!("{path}{separator}{key}"), fields);
    }
}

#[test]
fn page_states_the_defaults_of_both_tables() {
    let pool = json!({ "name": "p", "kind": "model", "targets": { "service": "s" } });
    let pool: PoolRow = serde_json::from_value(pool).unwrap();
    assert_documented(&pool, &["name", "kind", "targets.service"]);
    let route: RouteRow = serde_json::from_value(json!({ "name": "r", "pool": "p" })).unwrap();
    assert_documented(&route, &["name", "pool"]);
}
