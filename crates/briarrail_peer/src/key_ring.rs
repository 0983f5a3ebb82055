//! Keys that authenticate frames.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

pub(crate) const TAG_BYTES: usize = 16;

/// A key that all routers share, from the settings.
#[derive(Clone)]
pub struct SharedKey {
    mac: Hmac<Sha256>,
}

impl SharedKey {
    /// Makes a key from secret bytes of any length.
    ///
    /// # Panics
    ///
    /// Does not panic: HMAC takes keys of every length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of every length");
        Self { mac }
    }

    pub(crate) fn tag(&self, parts: [&[u8]; 2]) -> [u8; TAG_BYTES] {
        let digest = self.absorb(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    fn accepts(&self, parts: [&[u8]; 2], tag: &[u8]) -> bool {
        self.absorb(parts).verify_truncated_left(tag).is_ok()
    }

    fn absorb(&self, parts: [&[u8]; 2]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        parts.into_iter().for_each(|part| mac.update(part));
        mac
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey")
    }
}

/// The key that signs frames, and a second one that is still accepted.
///
/// To change the key, add the new one as `accepted` on all routers, then swap the two, then drop
/// the old one.
#[derive(Debug, Clone)]
pub struct KeyRing {
    signing: SharedKey,
    accepted: Option<SharedKey>,
}

impl KeyRing {
    /// Makes a ring of one key.
    #[must_use]
    pub fn new(signing: SharedKey) -> Self {
        Self {
            signing,
            accepted: None,
        }
    }

    /// Accepts frames under a second key as well.
    #[must_use]
    pub fn with_accepted(self, key: SharedKey) -> Self {
        Self {
            accepted: Some(key),
            ..self
        }
    }

    pub(crate) fn tag(&self, parts: [&[u8]; 2]) -> [u8; TAG_BYTES] {
        self.signing.tag(parts)
    }

    pub(crate) fn accepts(&self, parts: [&[u8]; 2], tag: &[u8]) -> bool {
        let by_second = |key: &SharedKey| key.accepts(parts, tag);
        self.signing.accepts(parts, tag) || self.accepted.as_ref().is_some_and(by_second)
    }
}
