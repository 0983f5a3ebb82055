//! Conversion of single values.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, HostName, RegionName};
use jsonc_parser::ast::Value;

use crate::{LogFormat, SecretText};

/// A type that a setting can be converted to.
pub(crate) trait SettingValue: Sized {
    /// Describes the expected value, as a hint of error messages.
    const EXPECTED: &'static str;

    /// Converts a node, or returns `None` if it is not a valid value.
    fn from_node(node: &Value<'_>) -> Option<Self>;
}

/// Implements [`SettingValue`] for a type that is written as a non-empty string.
macro_rules! string_setting {
    ($type:ty, $expected:literal, $convert:expr) => {
        impl SettingValue for $type {
            const EXPECTED: &'static str = $expected;

            fn from_node(node: &Value<'_>) -> Option<Self> {
                let text = &*node.as_string_lit()?.value;
                let convert: fn(&str) -> Option<$type> = $convert;
                if text.is_empty() { None } else { convert(text) }
            }
        }
    };
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "expected a number of at least 0, such as 0.2";

    fn from_node(node: &Value<'_>) -> Option<Self> {
        let number: Self = node.as_number_lit()?.value.parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    }
}

string_setting!(String, "expected a non-empty string", |text| Some(
    text.to_owned()
));
string_setting!(HostName, "expected a host name in quotes", |text| Some(
    text.into()
));
string_setting!(
    DataCentre,
    "expected a data centre name in quotes",
    |text| Some(text.into())
);
string_setting!(RegionName, "expected a region name in quotes", |text| Some(
    text.into()
));
string_setting!(
    SocketAddr,
    "expected an IP address and a port in quotes, such as \"127.0.0.1:7000\"",
    |text| text.parse().ok()
);
string_setting!(
    SecretText,
    "expected a string of at least 16 bytes",
    |text| (text.len() >= SecretText::MIN_BYTES).then(|| text.into())
);
string_setting!(
    LogFormat,
    "expected \"text\" or \"json\"",
    |text| match text {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
);

/// An HTTP base URL.
#[derive(Debug)]
pub(crate) struct BaseUrl(pub(crate) String);

string_setting!(
    BaseUrl,
    "expected an http URL in quotes, such as \"http://127.0.0.1:7100\"",
    |text| {
        let uri: http::Uri = text.parse().ok()?;
        let is_http_url = uri.scheme_str() == Some("http") && uri.host().is_some();
        is_http_url.then(|| BaseUrl(text.to_owned()))
    }
);

/// The name of an HTTP header, in lower case.
#[derive(Debug)]
pub(crate) struct LowercaseHeaderName(pub(crate) String);

string_setting!(
    LowercaseHeaderName,
    "expected a header name in quotes, such as \"x-customer\"",
    |text| {
        let name: http::HeaderName = text.parse().ok()?;
        Some(LowercaseHeaderName(name.as_str().to_owned()))
    }
);

impl SettingValue for u64 {
    const EXPECTED: &'static str = "expected an integer of at least 0 without quotes";

    fn from_node(node: &Value<'_>) -> Option<Self> {
        node.as_number_lit()?.value.parse().ok()
    }
}
