//! Accepted settings.

use briarrail_settings::{DaemonSettings, LogFormat};

const MINIMAL: &str = r#"// One router.
{
    "host": { "name": "entry-1", "data_centre": "gongoni", "region": "coast" },
    "callers": { "listen": "127.0.0.1:7000" },
    "operators": { "listen": "127.0.0.1:7001" },
    "peers": { "listen": "127.0.0.1:7002" },
    "platform": {
        "object_api_url": "http://127.0.0.1:7100",
        "host_list_url": "http://127.0.0.1:7200", /* trailing comma */
    },
    "exchange": { "keys": [{ "id": "k1", "secret": "0123456789abcdef" }] },
    "logs": { "format": "json" },
}
"#;

#[test]
fn omitted_keys_get_defaults() {
    let settings = DaemonSettings::from_text(MINIMAL).unwrap();
    let expected = DaemonSettings::builder()
        .host("entry-1", "gongoni", "coast")
        .listen(
            "127.0.0.1:7000".parse().unwrap(),
            "127.0.0.1:7001".parse().unwrap(),
            "127.0.0.1:7002".parse().unwrap(),
        )
        .exchange_key("k1", "0123456789abcdef")
        .adjust(|settings| settings.logs.format = LogFormat::Json)
        .build();
    assert_eq!(settings, expected);
}

#[test]
fn debug_output_redacts_secrets() {
    let settings = DaemonSettings::from_text(MINIMAL).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let key = &settings.exchange.keys[0];
    assert_eq!(key.secret.reveal(), "0123456789abcdef");
}
