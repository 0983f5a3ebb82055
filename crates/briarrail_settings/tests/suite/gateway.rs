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

/// Without the keys there is no bound; one key alone is an error where it turns nothing on.
#[test]
fn the_bound_of_cold_targets_is_checked() {
    let bounds = "\"cold_overrun\": 1.5,\n        \"cold_slack\": 5,";
    assert!(EXAMPLE.contains(bounds));
    let without = EXAMPLE.replace(bounds, "");
    let settings = GatewaySettings::from_text(&without).unwrap();
    assert_eq!(settings.fleet.cold_tolerance, None);
    let errors = ["\"cold_slack\": 5,", "\"cold_overrun\": 0.5,"]
        .map(|keys| GatewaySettings::from_text(&EXAMPLE.replace(bounds, keys)).unwrap_err());
    insta::assert_snapshot!(format!("{}\n{}", errors[0], errors[1]));
}

#[test]
fn regions_and_evacuations_are_checked() {
    let text = EXAMPLE
        .replace("\"gongoni\": \"coast\"", "\"fundisa\": \"\"")
        .replace("\"evacuate_ms\": 5000", "\"evacuate_ms\": 0");
    insta::assert_snapshot!(GatewaySettings::from_text(&text).unwrap_err());
}

/// What the template leaves for a site without regions and evacuations.
#[test]
fn a_site_needs_no_regions_and_no_evacuations() {
    let text = EXAMPLE
        .replace("\"gongoni\": \"coast\", \"marereni\": \"coast\"", "")
        .replace("\"evacuate_ms\": 5000", "");
    let settings = GatewaySettings::from_text(&text).unwrap();
    assert!(settings.regions.is_empty());
    assert_eq!(settings.fleet.evacuate_within, None);
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
