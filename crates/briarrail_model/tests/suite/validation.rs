//! Tests of table validation.

use briarrail_model::TableSet;
use serde_json::json;

#[test]
fn validation_reports_every_error() {
    let tables = json!({
        "pools": [
            {
                "name": "",
                "kind": "model",
                "targets": { "service": "" },
                "skew_bound": 11,
                "limits": {
                    "max_in_flight_per_target": 0,
                    "max_attempts": 0,
                    "max_body_bytes": 0,
                },
                "objective": {
                    "first_token_ms": 0,
                    "token_gap_ms": 0,
                    "latency_goal": 0,
                    "answered_goal": 1,
                    "known_goal": 2,
                },
            },
            { "name": "p", "kind": "service", "targets": { "service": "p" } },
            { "name": "p", "kind": "service", "targets": { "service": "p" } },
        ],
        "routes": [
            {
                "name": "two words",
                "match": { "path_prefix": "x", "methods": ["post", "GET", ""] },
                "pool": "q",
                "keyless": "send_once",
                "deadline_ms": 0,
            },
            { "name": "r", "pool": "p" },
            { "name": "r", "pool": "p" },
        ],
    });
    let tables: TableSet = serde_json::from_value(tables).unwrap();
    let errors = tables.validate().unwrap_err();
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn names_are_limited_to_64_bytes() {
    for (length, is_valid) in [(1, true), (64, true), (65, false)] {
        let name = "n".repeat(length);
        let pool = json!({ "name": name, "kind": "model", "targets": { "service": "s" } });
        let tables: TableSet = serde_json::from_value(json!({ "pools": [pool] })).unwrap();
        assert_eq!(tables.validate().is_ok(), is_valid, "{length}");
    }
}
