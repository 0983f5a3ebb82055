//! Forms of single values.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, HostName, RegionName};
use jsonc_parser::ast::Value;

use crate::{LogFormat, SecretText};

/// A value that a setting may have.
pub(crate) trait SettingValue: Sized {
    /// Says how the value is written.
    const EXPECTED: &'static str;

    /// Returns the value, or nothing when the node has another form.
    fn from_node(node: &Value<'_>) -> Option<Self>;
}

/// Declares a value that is written as non-empty text.
macro_rules! string_setting {
    ($type:ty, $form:literal, $convert:expr) => {
        impl SettingValue for $type {
            const EXPECTED: &'static str = $form;

            fn from_node(node: &Value<'_>) -> Option<Self> {
                let text = &*node.as_string_lit()?.value;
                let convert: fn(&str) -> Option<$type> = $convert;
                if text.is_empty() { None } else { convert(text) }
            }
        }
    };
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "write a number from 0 on, such as 0.2";

    fn from_node(node: &Value<'_>) -> Option<Self> {
        let number: Self = node.as_number_lit()?.value.parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    }
}

string_setting!(String, "write text in quotes", |text| Some(text.to_owned()));
string_setting!(HostName, "write the host's name in quotes", |text| Some(
    text.into()
));
string_setting!(
    DataCentre,
    "write the data centre's name in quotes",
    |text| Some(text.into())
);
string_setting!(
    RegionName,
    "write the region's name in quotes",
    |text| Some(text.into())
);
string_setting!(
    SocketAddr,
    "write an IP number and a port in quotes, such as \"127.0.0.1:7000\"",
    |text| text.parse().ok()
);
string_setting!(
    SecretText,
    "write at least 16 characters in quotes",
    |text| (text.len() >= SecretText::MIN_BYTES).then(|| text.into())
);
string_setting!(LogFormat, "write \"text\" or \"json\"", |text| match text {
    "text" => Some(LogFormat::Text),
    "json" => Some(LogFormat::Json),
    _ => None,
});

/// An HTTP base URL.
#[derive(Debug)]
pub(crate) struct BaseUrl(pub(crate) String);

string_setting!(
    BaseUrl,
    "write an http URL in quotes, such as \"http://127.0.0.1:7100\"",
    |text| {
        let uri: http::Uri = text.parse().ok()?;
        let usable = uri.scheme_str() == Some("http") && uri.host().is_some();
        usable.then(|| BaseUrl(text.to_owned()))
    }
);

/// The name of an HTTP header, in lower case.
#[derive(Debug)]
pub(crate) struct LowercaseHeaderName(pub(crate) String);

string_setting!(
    LowercaseHeaderName,
    "write a header name in quotes, such as \"x-customer\"",
    |text| {
        let name: http::HeaderName = text.parse().ok()?;
        Some(LowercaseHeaderName(name.as_str().to_owned()))
    }
);

impl SettingValue for u64 {
    const EXPECTED: &'static str = "write a whole number without quotes";

    fn from_node(node: &Value<'_>) -> Option<Self> {
        node.as_number_lit()?.value.parse().ok()
    }
}
