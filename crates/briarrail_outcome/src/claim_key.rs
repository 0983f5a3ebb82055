//! Claim keys.

use briarrail_model::MilliTime;
use uuid::Uuid;

const SEPARATOR: char = '\u{1f}';
const MAX_KEY_BYTES: usize = 255;

/// The key of a claim: a customer and its idempotency key.
///
/// The route is not part of the key, so a route change between two calls can't turn one key into
/// two. A customer that uses one key on two routes is refused, since the bodies differ.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Joins a customer and the caller's idempotency key.
    ///
    /// Returns `None` if the key is empty, longer than 255 bytes, or contains anything but visible
    /// ASCII characters.
    #[must_use]
    pub fn new(customer: &str, key: &str) -> Option<Self> {
        let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_visible {
            return None;
        }
        // Normalizes UUIDs, so that a retry with an upper-case UUID has the same key.
        let key = Uuid::try_parse(key).map_or_else(|_| key.to_owned(), |uuid| uuid.to_string());
        Some(Self(format!("{customer}{SEPARATOR}{key}")))
    }

    /// Returns the joined key, as used in claim messages.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the joined key as an owned string.
    #[must_use]
    pub fn into_string(self) -> String {
        self.0
    }
}

/// Returns the creation time of a joined key; `None` unless the idempotency key is a UUIDv7.
pub(crate) fn key_time(joined: &str) -> Option<MilliTime> {
    let (_, key) = joined.rsplit_once(SEPARATOR)?;
    let uuid = Uuid::try_parse(key).ok()?;
    let (secs, nanos) = uuid
        .get_timestamp()
        .filter(|_| uuid.get_version_num() == 7)?
        .to_unix();
    Some(MilliTime::from_millis(
        secs * 1_000 + u64::from(nanos / 1_000_000),
    ))
}
