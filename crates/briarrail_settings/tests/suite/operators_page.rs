//! Consistency of the operators' documentation with the code.

use std::collections::BTreeSet;

use briarrail_settings::DaemonSettings;
use serde_json::{Map, Value, json};

const PAGE: &str = include_str!("../../../../docs/OPERATORS.md");

/// One row of the table of settings in the page.
struct DocumentedKey<'p> {
    section: &'p str,
    key: &'p str,
    default: &'p str,
    range: &'p str,
}

fn documented_keys() -> Vec<DocumentedKey<'static>> {
    let table = PAGE
        .split("| Key | Default |")
        .nth(1)
        .expect("the page contains the table of settings");
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    rows.map(|row| {
        let cells: Vec<_> = row
            .split('|')
            .map(|cell| cell.trim().trim_matches('`'))
            .collect();
        let (section, key) = cells[1].split_once('.').expect("each key is in a section");
        DocumentedKey {
            section,
            key,
            default: cells[2],
            range: cells[3],
        }
    })
    .collect()
}

fn required_settings() -> Value {
    json!({
        "host": { "name": "entry-1", "data_centre": "gongoni", "region": "coast" },
        "callers": { "listen": "127.0.0.1:7000" },
        "operators": { "listen": "127.0.0.1:7001" },
        "peers": { "listen": "127.0.0.1:7002" },
        "platform": {
            "object_api_url": "http://127.0.0.1:7100",
            "host_list_url": "http://127.0.0.1:7200",
        },
        "exchange": { "keys": [{ "id": "k1", "secret": "0123456789abcdef" }] },
    })
}

fn section<'s>(settings: &'s mut Value, name: &str) -> &'s mut Map<String, Value> {
    let object = settings.as_object_mut().unwrap();
    let section = object.entry(name).or_insert_with(|| json!({}));
    section.as_object_mut().unwrap()
}

fn read_with_value(key: &DocumentedKey<'_>, value: &Value) -> Result<DaemonSettings, String> {
    let mut settings = required_settings();
    section(&mut settings, key.section).insert(key.key.to_owned(), value.clone());
    DaemonSettings::from_text(&settings.to_string()).map_err(|errors| errors.to_string())
}

#[test]
fn page_lists_every_key() {
    let documented: BTreeSet<_> = documented_keys()
        .iter()
        .map(|key| format!("{}.{}", key.section, key.key))
        .collect();
    let mut settings = required_settings();
    let names: BTreeSet<_> = documented
        .iter()
        .map(|path| path.split('.').next().unwrap())
        .collect();
    for name in &names {
        section(&mut settings, name).insert("unknown_key".to_owned(), json!(0));
    }
    let errors = DaemonSettings::from_text(&settings.to_string())
        .unwrap_err()
        .0;
    assert_eq!(errors.len(), names.len());
    let mut known = BTreeSet::new();
    for error in errors {
        let section = error
            .key
            .strip_suffix(".unknown_key")
            .expect("only unknown_key is reported")
            .to_owned();
        let keys = error.hint.strip_prefix("known keys: ").unwrap().to_owned();
        known.extend(keys.split(", ").map(|key| format!("{section}.{key}")));
    }
    assert_eq!(documented, known);
}

#[test]
fn page_lists_the_defaults() {
    let defaults = DaemonSettings::from_text(&required_settings().to_string()).unwrap();
    for key in documented_keys() {
        if ["required", "start time"].contains(&key.default) {
            continue;
        }
        let number = key.default.parse::<u64>().map(Value::from);
        let value = number.unwrap_or_else(|_| json!(key.default));
        assert_eq!(
            read_with_value(&key, &value).as_ref(),
            Ok(&defaults),
            "{}.{}",
            key.section,
            key.key
        );
    }
}

#[test]
fn page_lists_the_ranges() {
    for key in documented_keys() {
        let Some((min, max)) = key.range.split_once(" to ") else {
            continue;
        };
        let min: u64 = min.parse().unwrap();
        let max: u64 = max.parse().unwrap();
        let is_accepted = |value: u64| read_with_value(&key, &json!(value)).is_ok();
        let name = format!("{}.{}", key.section, key.key);
        assert!(is_accepted(min) && is_accepted(max), "{name}");
        assert!(!is_accepted(max + 1), "{name}");
        assert!(min == 0 || !is_accepted(min - 1), "{name}");
    }
}
