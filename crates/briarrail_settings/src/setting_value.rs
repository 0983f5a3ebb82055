//! Forms of single values.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, HostName, RegionName};
use jsonc_parser::ast::Value;

use crate::{LogFormat, SecretText};

/// A value that a setting may have.
pub(crate) trait SettingValue: Sized {
    /// Says how the value is written.
    const FORM: &'static str;

    /// Returns the value, or nothing when the node has another form.
    fn from_node(node: &Value<'_>) -> Option<Self>;
}

/// Declares a value that is written as non-empty text.
macro_rules! text_value {
    ($type:ty, $form:literal, $convert:expr) => {
        impl SettingValue for $type {
            const FORM: &'static str = $form;

            fn from_node(node: &Value<'_>) -> Option<Self> {
                let text = &*node.as_string_lit()?.value;
                let convert: fn(&str) -> Option<$type> = $convert;
                if text.is_empty() { None } else { convert(text) }
            }
        }
    };
}

impl SettingValue for f64 {
    const FORM: &'static str = "write a number from 0 on, such as 0.2";

    fn from_node(node: &Value<'_>) -> Option<Self> {
        let number: Self = node.as_number_lit()?.value.parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    }
}

text_value!(String, "write text in quotes", |text| Some(text.to_owned()));
text_value!(HostName, "write the host's name in quotes", |text| Some(
    text.into()
));
text_value!(
    DataCentre,
    "write the data centre's name in quotes",
    |text| Some(text.into())
);
text_value!(
    RegionName,
    "write the region's name in quotes",
    |text| Some(text.into())
);
text_value!(
    SocketAddr,
    "write an IP number and a port in quotes, such as \"127.0.0.1:7000\"",
    |text| text.parse().ok()
);
text_value!(
    SecretText,
    "write at least 16 characters in quotes",
    |text| (text.len() >= SecretText::MIN_BYTES).then(|| text.into())
);
text_value!(LogFormat, "write \"text\" or \"json\"", |text| match text {
    "text" => Some(LogFormat::Text),
    "json" => Some(LogFormat::Json),
    _ => None,
});

/// An HTTP base URL.
#[derive(Debug)]
pub(crate) struct BaseUrl(pub(crate) String);

text_value!(
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
pub(crate) struct HeaderText(pub(crate) String);

text_value!(
    HeaderText,
    "write a header name in quotes, such as \"x-customer\"",
    |text| {
        let name: http::HeaderName = text.parse().ok()?;
        Some(HeaderText(name.as_str().to_owned()))
    }
);

impl SettingValue for u64 {
    const FORM: &'static str = "write a whole number without quotes";

    fn from_node(node: &Value<'_>) -> Option<Self> {
        node.as_number_lit()?.value.parse().ok()
    }
}
