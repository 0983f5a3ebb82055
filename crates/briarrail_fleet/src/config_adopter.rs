//! Adoption of configuration edits and snapshots.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use briarrail_config::{ConfigEdit, ConfigState, EditError};
use briarrail_model::ConfigSnapshot;
use bytes::Bytes;
use thiserror::Error;

/// Applied edits kept for peers that lack them.
const MAX_LOG_EDITS: usize = 512;
/// Edits buffered until the ones before them arrive.
const MAX_PENDING_EDITS: usize = 128;

/// Reason why an edit or a snapshot was not adopted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum AdoptError {
    /// The bytes do not decode to an edit or a snapshot.
    #[error(
        "cannot decode the edit or snapshot: {0} (hint: the sender may run a different release)"
    )]
    Malformed(String),
    /// The edit does not apply to the active configuration.
    #[error(
        "edit {sequence} does not apply: {error} (hint: the full configuration is read instead)"
    )]
    Rejected {
        /// Sequence number of the edit.
        sequence: u64,
        /// Reason why the edit does not apply.
        error: EditError,
    },
}

/// Encodes an edit in the format used in frames.
///
/// # Panics
///
/// Does not panic: every edit can be encoded.
#[must_use]
pub fn encode_edit(edit: &ConfigEdit) -> Bytes {
    let encoded = rmp_serde::to_vec_named(edit);
    encoded.expect("every edit can be encoded").into()
}

#[derive(Debug, Clone)]
struct LogEntry {
    sequence: u64,
    encoded: Bytes,
}

/// The active configuration, and the latest edits for peers that lack them.
///
/// The sequence number never decreases. Edits that arrive out of order are buffered until the edits
/// before them have arrived.
#[derive(Debug, Default)]
pub struct ConfigAdopter {
    state: ConfigState,
    snapshot: Option<Arc<ConfigSnapshot>>,
    log: VecDeque<LogEntry>,
    pending: BTreeMap<u64, (ConfigEdit, Bytes)>,
    diverged: bool,
}

impl ConfigAdopter {
    /// Returns the sequence number of the active configuration; 0 before the first one.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.state.sequence()
    }

    /// Returns the active configuration, if there is one.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<ConfigSnapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns whether an edit failed to apply, so that a snapshot is needed.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        self.diverged
    }

    /// Adopts a snapshot and returns whether it did.
    ///
    /// An older snapshot is ignored. One with the current sequence number is adopted only if there
    /// is no configuration yet or if an edit failed to apply.
    pub fn adopt_snapshot(&mut self, snapshot: &Arc<ConfigSnapshot>) -> bool {
        let is_newer = snapshot.sequence > self.sequence();
        let is_same = snapshot.sequence == self.sequence();
        if !is_newer && !(is_same && (self.snapshot.is_none() || self.diverged)) {
            return false;
        }
        self.state = ConfigState::new((**snapshot).clone());
        self.snapshot = Some(Arc::clone(snapshot));
        self.diverged = false;
        self.log.clear();
        self.pending = self.pending.split_off(&(snapshot.sequence + 1));
        // Buffered edits may directly follow the new configuration.
        let _ = self.apply_pending();
        true
    }

    /// Decodes and adopts a snapshot from a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot.
    pub fn adopt_encoded_snapshot(&mut self, encoded: &[u8]) -> Result<bool, AdoptError> {
        let snapshot: ConfigSnapshot = rmp_serde::from_slice(encoded).map_err(malformed)?;
        Ok(self.adopt_snapshot(&Arc::new(snapshot)))
    }

    /// Decodes an edit from a peer, applies or buffers it, and returns whether the sequence number
    /// increased.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an edit or if an edit does not apply.
    pub fn receive_encoded_edit(&mut self, encoded: &Bytes) -> Result<bool, AdoptError> {
        let edit: ConfigEdit = rmp_serde::from_slice(encoded).map_err(malformed)?;
        // A copy, so that the log does not keep the buffer of the whole frame alive.
        self.receive(edit, Bytes::copy_from_slice(encoded))
    }

    /// Applies or buffers an edit and returns whether the sequence number increased.
    ///
    /// # Errors
    ///
    /// Returns an error if an edit does not apply.
    pub fn receive_edit(&mut self, edit: &ConfigEdit) -> Result<bool, AdoptError> {
        let encoded = encode_edit(edit);
        self.receive(edit.clone(), encoded)
    }

    fn receive(&mut self, edit: ConfigEdit, encoded: Bytes) -> Result<bool, AdoptError> {
        if edit.sequence <= self.sequence() {
            return Ok(false);
        }
        self.pending.insert(edit.sequence, (edit, encoded));
        if self.pending.len() > MAX_PENDING_EDITS {
            self.pending.pop_last();
        }
        self.apply_pending()
    }

    fn apply_pending(&mut self) -> Result<bool, AdoptError> {
        let mut has_advanced = false;
        if self.snapshot.is_none() {
            return Ok(has_advanced);
        }
        while let Some((edit, encoded)) = self.pending.remove(&(self.sequence() + 1)) {
            let sequence = edit.sequence;
            if let Err(error) = self.state.apply(&edit) {
                self.diverged = true;
                return Err(AdoptError::Rejected { sequence, error });
            }
            self.append_log(LogEntry { sequence, encoded });
            has_advanced = true;
        }
        if has_advanced {
            self.snapshot = Some(Arc::new(self.state.snapshot().clone()));
        }
        Ok(has_advanced)
    }

    fn append_log(&mut self, entry: LogEntry) {
        self.log.push_back(entry);
        if self.log.len() > MAX_LOG_EDITS {
            self.log.pop_front();
        }
    }

    /// Returns the encoded edits after a sequence number, if all of them are in the log.
    #[must_use]
    pub fn edits_after(&self, sequence: u64) -> Option<Vec<Bytes>> {
        let first = self.log.front()?.sequence;
        if self.snapshot.is_none() || sequence + 1 < first || sequence >= self.sequence() {
            return None;
        }
        let later = self.log.iter().filter(|entry| entry.sequence > sequence);
        Some(later.map(|entry| entry.encoded.clone()).collect())
    }

    /// Returns the encoded snapshot, if there is one and it has at most `limit` bytes.
    #[must_use]
    pub fn encoded_snapshot(&self, limit: usize) -> Option<Bytes> {
        let encoded = rmp_serde::to_vec_named(self.snapshot.as_deref()?).ok()?;
        (encoded.len() <= limit).then(|| encoded.into())
    }
}

fn malformed(error: rmp_serde::decode::Error) -> AdoptError {
    AdoptError::Malformed(error.to_string())
}
