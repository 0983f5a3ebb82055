//! Rejected settings.

use std::path::Path;

use briarrail_settings::DaemonSettings;

fn error_text(text: &str) -> String {
    DaemonSettings::from_text(text).unwrap_err().to_string()
}

#[test]
fn every_error_is_reported_at_once() {
    let text = r#"{
    "host": { "name": "", "data_center": "gongoni", "region": "coast" },
    "callers": { "listen": "localhost:7000" },
    "operators": { "listen": "127.0.0.1:7001" },
    "peers": { "listen": "127.0.0.1:7001" },
    "platform": { "object_api_url": "ftp://127.0.0.1", "timeout_ms": "2s" },
    "identity": { "chat_header": "x-customer", "key_header": "no spaces" },
    "exchange": {
        "keys": [{ "id": "k1", "secret": "short" }, { "id": "k2" }, 7],
        "budget_bytes_per_s": 100,
        "interval_ms": 1000,
        "interval_ms": 2000,
    },
    "limits": { "max_streams": 0, "max_body_bytes": -1 },
    "claims": { "retention_ms": 1000 },
    "stop": [],
    "logs": { "format": "xml" },
    "treads": { "traffic": 2 },
}"#;
    insta::assert_snapshot!(error_text(text));
}

#[test]
fn missing_sections_report_each_required_key() {
    insta::assert_snapshot!(error_text("// nothing\n{}\n"));
}

#[test]
fn syntax_error_has_a_line() {
    insta::assert_snapshot!(error_text("{\n  \"host\": {\n    \"name\": 'a'\n  }\n}"));
}

#[test]
fn top_level_value_must_be_an_object() {
    insta::assert_snapshot!(error_text("// empty"));
    insta::assert_snapshot!(error_text("[1]"));
}

#[test]
fn unreadable_file_error_names_the_path() {
    let error = DaemonSettings::from_file(Path::new("no/such/file.jsonc")).unwrap_err();
    insta::assert_snapshot!(error);
}
