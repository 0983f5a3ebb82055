//! Request headers that identify the caller.

use crate::SettingsErrorKind;
use crate::section_reader::SectionReader;
use crate::setting_value::LowercaseHeaderName;

/// Names of the request headers for customer, chat and idempotency key, in lower case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentitySettings {
    /// Header that names the customer.
    pub customer_header: String,
    /// Header that carries the chat id.
    pub chat_header: String,
    /// Header that carries the idempotency key.
    pub key_header: String,
}

impl Default for IdentitySettings {
    fn default() -> Self {
        Self {
            customer_header: "x-customer".into(),
            chat_header: "x-chat-id".into(),
            key_header: "idempotency-key".into(),
        }
    }
}

impl IdentitySettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let header = |key, default| section.value_or(key, LowercaseHeaderName(default)).0;
        let identity = Self {
            customer_header: header("customer_header", default.customer_header),
            chat_header: header("chat_header", default.chat_header),
            key_header: header("key_header", default.key_header),
        };
        let hint = "use a different header for each of customer, chat and key";
        if identity.chat_header == identity.customer_header {
            section.add_error(SettingsErrorKind::Conflict, "chat_header", hint);
        }
        if [&identity.customer_header, &identity.chat_header].contains(&&identity.key_header) {
            section.add_error(SettingsErrorKind::Conflict, "key_header", hint);
        }
        section.finish();
        identity
    }
}
