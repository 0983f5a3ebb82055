//! Settings of the gateway.

use briarrail_settings::GatewaySettings;

const EXAMPLE: &str = include_str!("../../../../examples/gateway/settings.jsonc");

#[test]
fn example_settings_are_valid() {
    insta::assert_debug_snapshot!(GatewaySettings::from_text(EXAMPLE).unwrap());
}

#[test]
fn every_error_has_a_line_and_a_hint() {
    let text = EXAMPLE
        .replace("\"127.0.0.1:8012\"", "\"nowhere\"")
        .replace("\"change-me-change-me\"", "\"short\"")
        .replace("\"retry_ratio\": 0.2", "\"retry_ratio\": -1")
        .replace("\"load_ratio\"", "\"load_ration\"");
    insta::assert_snapshot!(GatewaySettings::from_text(&text).unwrap_err());
}

#[test]
fn missing_keys_are_reported() {
    insta::assert_snapshot!(GatewaySettings::from_text("{}").unwrap_err());
}

#[test]
fn memory_outside_its_range_is_reported() {
    for memory_mb in ["31", "1048577", "-1"] {
        let text = EXAMPLE.replacen('{', &format!("{{ \"memory_mb\": {memory_mb},"), 1);
        let errors = GatewaySettings::from_text(&text).unwrap_err().to_string();
        assert!(errors.contains("memory_mb"), "{errors}");
    }
    let text = EXAMPLE.replacen('{', "{ \"memory_mb\": 112,", 1);
    let settings = GatewaySettings::from_text(&text).unwrap();
    assert!((settings.memory_mb - 112.0).abs() < f64::EPSILON);
}
