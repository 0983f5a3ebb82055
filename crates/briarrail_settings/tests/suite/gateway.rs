//! Settings of the gateway.

use briarrail_settings::GatewaySettings;

const GOOD: &str = include_str!("../../../../examples/gateway/settings.jsonc");

#[test]
fn the_example_is_read() {
    insta::assert_debug_snapshot!(GatewaySettings::from_text(GOOD).unwrap());
}

#[test]
fn every_mistake_is_told_with_its_line_and_a_hint() {
    let text = GOOD
        .replace("\"127.0.0.1:8012\"", "\"nowhere\"")
        .replace("\"change-me-change-me\"", "\"short\"")
        .replace("\"retry_ratio\": 0.2", "\"retry_ratio\": -1")
        .replace("\"load_ratio\"", "\"load_ration\"");
    insta::assert_snapshot!(GatewaySettings::from_text(&text).unwrap_err());
}

#[test]
fn missing_keys_are_told() {
    insta::assert_snapshot!(GatewaySettings::from_text("{}").unwrap_err());
}
