//! Validation of files without network access.

use briarctl::{ExitStatus, TableFile, run};

use crate::test_harness::{offline_context, split_arguments, write_temp_file};

#[test]
fn every_malformed_row_is_reported() {
    let text = r#"{
    "pools": [
        { "name": "a", "kind": "modle", "targets": { "service": "a" } },
        { "name": "b", "kind": "model", "targets": { "service": "b" },
          "skew_bond": 2 },
        { "name": "c", "kind": "model" }, // no targets
        7,
    ],
    "routes": {},
    "hosts": [],
}"#;
    let errors = TableFile::from_text(text, "tables.jsonc").unwrap_err();
    insta::assert_snapshot!(errors);
}

#[test]
fn every_table_error_is_reported_with_its_line() {
    let text = r#"{
    "pools": [
        {
            "name": "a b",
            "kind": "model",
            "targets": { "service": "" },
            "skew_bound": 0.9,
            "limits": {
                "max_attempts": 0,
            },
            "objective": { "known_goal": 1 },
        },
        { "name": "twin", "kind": "service", "targets": { "service": "x" } },
        { "name": "twin", "kind": "service", "targets": { "service": "y" } },
    ],
    "routes": [
        {
            "name": "r",
            "match": { "path_prefix": "tickets" },
            "pool": "weighbridge",
            "keyless": "send_once",
            "deadline_ms": 0,
        },
    ],
}"#;
    let errors = TableFile::from_text_validated(text, "tables.jsonc").unwrap_err();
    insta::assert_snapshot!(errors);
}

#[test]
fn invalid_json_is_reported_with_its_line() {
    let errors = TableFile::from_text("{\n  \"pools\": [\n", "tables.jsonc").unwrap_err();
    insta::assert_snapshot!(errors);
}

#[tokio::test]
async fn examples_of_both_sites_are_valid() {
    for site in ["saltworks", "smilsu"] {
        let directory = format!("{}/../../examples/{site}", env!("CARGO_MANIFEST_DIR"));
        for (kind, file) in [("tables", "tables.jsonc"), ("settings", "settings.jsonc")] {
            let line = format!("check {kind} '{directory}/{file}'");
            let output = run(&split_arguments(&line), &offline_context()).await;
            assert_eq!(output.exit, ExitStatus::Success, "{}", output.stdout);
        }
    }
}

#[tokio::test]
async fn gateway_example_is_valid() {
    let directory = format!("{}/../../examples/gateway", env!("CARGO_MANIFEST_DIR"));
    let line = format!("check gateway '{directory}/settings.jsonc'");
    let output = run(&split_arguments(&line), &offline_context()).await;
    assert_eq!(output.exit, ExitStatus::Success, "{}", output.stdout);
}

#[tokio::test]
async fn invalid_settings_exit_with_invalid() {
    let file = write_temp_file("bad-settings.jsonc", "{\n  \"host\": 1\n}");
    let output = run(
        &split_arguments(&format!("check settings '{file}' --json")),
        &offline_context(),
    )
    .await;
    assert_eq!(output.exit, ExitStatus::Invalid);
    let reports: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    let first = &reports[0]["errors"][0];
    insta::assert_json_snapshot!(first);
}
