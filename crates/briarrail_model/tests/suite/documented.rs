//! Checks that the operators' page documents the fields and defaults of the tables.

use briarrail_model::{PoolRow, RouteRow};
use serde::Serialize;
use serde_json::{Value, json};

const OPERATORS_PAGE: &str = include_str!("../../../../docs/OPERATORS.md");

/// Asserts that the page lists each field of a row with its default, except the `required` fields.
fn assert_documented<R>(row: &R, required: &[&str])
where
    R: Serialize,
{
    let mut fields = Vec::new();
    flatten(&serde_json::to_value(row).unwrap(), "", &mut fields);
    for (path, value) in fields {
        if path.starts_with("stamp") || required.contains(&path.as_str()) {
            continue;
        }
        let table_cells = match &value {
            Value::String(text) => format!("| `{path}` | `{text}` |"),
            other => format!("| `{path}` | {other} |"),
        };
        assert!(
            OPERATORS_PAGE.contains(&table_cells),
            "missing on the page: {table_cells}"
        );
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
fn operators_page_lists_the_defaults_of_both_tables() {
    let pool = json!({ "name": "p", "kind": "model", "targets": { "service": "s" } });
    let pool: PoolRow = serde_json::from_value(pool).unwrap();
    assert_documented(&pool, &["name", "kind", "targets.service"]);
    let route: RouteRow = serde_json::from_value(json!({ "name": "r", "pool": "p" })).unwrap();
    assert_documented(&route, &["name", "pool"]);
}
