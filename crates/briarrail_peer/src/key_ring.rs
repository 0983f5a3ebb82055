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
    /// Creates a key from secret bytes of any length.
    ///
    /// # Panics
    ///
    /// Does not panic: HMAC accepts keys of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    pub(crate) fn sign(&self, parts: [&[u8]; 2]) -> [u8; TAG_BYTES] {
        let digest = self.mac_of(parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    fn verify(&self, parts: [&[u8]; 2], tag: &[u8]) -> bool {
        self.mac_of(parts).verify_truncated_left(tag).is_ok()
    }

    fn mac_of(&self, parts: [&[u8]; 2]) -> Hmac<Sha256> {
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

/// The key that signs frames, and an optional second key that is also accepted.
///
/// To rotate the key, add the new key as `accepted` on all routers, then swap the two keys, then
/// remove the old one.
#[derive(Debug, Clone)]
pub struct KeyRing {
    signing: SharedKey,
    accepted: Option<SharedKey>,
}

impl KeyRing {
    /// Creates a key ring with one key.
    #[must_use]
    pub fn new(signing: SharedKey) -> Self {
        Self {
            signing,
            accepted: None,
        }
    }

    /// Also accepts frames that are signed with a second key.
    #[must_use]
    pub fn with_accepted(self, key: SharedKey) -> Self {
        Self {
            accepted: Some(key),
            ..self
        }
    }

    pub(crate) fn sign(&self, parts: [&[u8]; 2]) -> [u8; TAG_BYTES] {
        self.signing.sign(parts)
    }

    pub(crate) fn verify(&self, parts: [&[u8]; 2], tag: &[u8]) -> bool {
        let second_verifies = |key: &SharedKey| key.verify(parts, tag);
        self.signing.verify(parts, tag) || self.accepted.as_ref().is_some_and(second_verifies)
    }
}
