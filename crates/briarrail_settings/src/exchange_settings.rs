//! Message exchange between routers.

use briarrail_model::MilliDuration;

use crate::section_reader::SectionReader;
use crate::{SecretText, SettingsErrorKind};

const MAX_KEYS: usize = 2;

/// A key that authenticates messages between routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeKey {
    /// Identifier of the key, the same on all routers.
    pub id: String,
    /// The shared secret.
    pub secret: SecretText,
}

impl ExchangeKey {
    fn read(section: SectionReader<'_>) -> Option<Self> {
        let id = section.required("id");
        let secret = section.required("secret");
        section.finish();
        Some(Self {
            id: id?,
            secret: secret?,
        })
    }
}

/// How routers discover and authenticate each other, and the bandwidth of their messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeSettings {
    /// One key, or two during a key rotation; messages are signed with the first.
    pub keys: Vec<ExchangeKey>,
    /// Service name that identifies routers in the host list.
    pub router_service: String,
    /// Time between two rounds of messages, in milliseconds.
    pub interval_ms: MilliDuration,
    /// Bytes per second that this router may send and receive, including headers.
    pub budget_bytes_per_s: u64,
}

impl ExchangeSettings {
    pub(crate) const ROUTER_SERVICE: &'static str = "briarraild";
    pub(crate) const INTERVAL: MilliDuration = MilliDuration::from_millis(400);
    pub(crate) const BUDGET_BYTES_PER_S: u64 = 5_000;

    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let key_sections = section.list("keys");
        let count = key_sections.len();
        let keys: Vec<_> = key_sections
            .into_iter()
            .filter_map(ExchangeKey::read)
            .collect();
        if !(1..=MAX_KEYS).contains(&count) {
            let hint = "configure one key, or two during a key rotation";
            section.add_error(SettingsErrorKind::OutOfRange, "keys", hint);
        }
        if let [first, second, ..] = &keys[..]
            && first.id == second.id
        {
            section.add_error(
                SettingsErrorKind::Conflict,
                "keys",
                "use a different id for each key",
            );
        }
        let exchange = Self {
            keys,
            router_service: section.value_or("router_service", Self::ROUTER_SERVICE.to_owned()),
            interval_ms: section.duration_ms("interval_ms", Self::INTERVAL, 10..=60_000),
            budget_bytes_per_s: section.integer(
                "budget_bytes_per_s",
                Self::BUDGET_BYTES_PER_S,
                500..=100_000_000,
            ),
        };
        section.finish();
        exchange
    }
}
