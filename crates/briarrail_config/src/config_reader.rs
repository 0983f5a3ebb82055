//! Reads the tables from the object API.

use std::sync::Arc;

use briarrail_model::{ConfigSnapshot, hash_bytes};
use briarrail_platform::{ObjectStore, ObjectVersion};
use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::{
    BaseObject, ConfigEdit, ConfigState, ConfigUpdate, EditId, EditLookup, EditReceipt, HEAD_KEY,
    HeadObject, ReadError, ReadErrorKind, SegmentRef, ShardObject, ShardRef,
};

/// Maximum number of attempts at a read whose parts are replaced by concurrent edits.
const MAX_READ_ATTEMPTS: u32 = 8;

/// The head and the version of the object that stores it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionedHead {
    /// Version of the object; `None` before the first edit.
    pub version: Option<ObjectVersion>,
    /// The head; empty before the first edit.
    pub head: HeadObject,
}

/// Reads the head, edits, and complete tables.
///
/// When an editor replaces parts during a read, the read starts over from the new head.
#[derive(Debug)]
pub struct ConfigReader<Store> {
    store: Arc<Store>,
}

impl<Store> Clone for ConfigReader<Store> {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.store))
    }
}

impl<Store> ConfigReader<Store> {
    /// Creates a reader.
    #[must_use]
    pub fn new(store: Arc<Store>) -> Self {
        Self { store }
    }
}

impl<Store> ConfigReader<Store>
where
    Store: ObjectStore,
{
    /// Reads the head; it is empty before the first edit.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails or the head can't be decoded.
    pub async fn head(&self) -> Result<VersionedHead, ReadError> {
        let stored = self.store.get(HEAD_KEY).await;
        let stored = stored.map_err(|error| ReadError::new(HEAD_KEY, error))?;
        let Some(object) = stored else {
            return Ok(VersionedHead::default());
        };
        Ok(VersionedHead {
            version: Some(object.version),
            head: decode(HEAD_KEY, &object.value)?,
        })
    }

    /// Reads the update from a sequence number to the head.
    ///
    /// Returns [`ConfigUpdate::UpToDate`] also when the sequence number is above that of the head,
    /// which happens after the store was restored from a backup.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails or an object can't be decoded.
    pub async fn update_since(&self, sequence: u64) -> Result<ConfigUpdate, ReadError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let head = self.head().await?.head;
            let result = self.update_from_head(&head, sequence).await;
            if !is_replaced(&result) {
                return result;
            }
        }
        Err(ReadError::new(HEAD_KEY, ReadErrorKind::Replaced))
    }

    /// Reads both tables as of the head.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails or an object can't be decoded.
    pub async fn snapshot(&self) -> Result<ConfigSnapshot, ReadError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let head = self.head().await?.head;
            let result = self.load_tables(&head).await;
            if !is_replaced(&result) {
                return result.map(|loaded| loaded.state.into_snapshot());
            }
        }
        Err(ReadError::new(HEAD_KEY, ReadErrorKind::Replaced))
    }

    /// Looks up an edit by its identifier.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails or an object can't be decoded.
    pub async fn find_edit(&self, id: EditId) -> Result<EditLookup, ReadError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let head = self.head().await?.head;
            let result = self.find_edit_in(&head, id).await;
            if !is_replaced(&result) {
                return result;
            }
        }
        Err(ReadError::new(HEAD_KEY, ReadErrorKind::Replaced))
    }

    async fn update_from_head(
        &self,
        head: &HeadObject,
        sequence: u64,
    ) -> Result<ConfigUpdate, ReadError> {
        if head.sequence <= sequence {
            return Ok(ConfigUpdate::UpToDate);
        }
        if head.oldest_edit_sequence() > sequence + 1 {
            let loaded = self.load_tables(head).await?;
            return Ok(ConfigUpdate::Snapshot(loaded.state.into_snapshot()));
        }
        self.edits_after(head, sequence)
            .await
            .map(ConfigUpdate::Edits)
    }

    async fn edits_after(
        &self,
        head: &HeadObject,
        sequence: u64,
    ) -> Result<Vec<ConfigEdit>, ReadError> {
        let mut edits = Vec::new();
        for segment in head.segments_after(sequence) {
            edits.extend(self.read_segment(segment).await?);
        }
        edits.extend_from_slice(&head.edits);
        edits.retain(|edit| edit.sequence > sequence);
        Ok(edits)
    }

    pub(crate) async fn find_edit_in(
        &self,
        head: &HeadObject,
        id: EditId,
    ) -> Result<EditLookup, ReadError> {
        let receipt = |sequence| EditLookup::Accepted(EditReceipt { id, sequence });
        if let Some(sequence) = head.find_edit(id) {
            return Ok(receipt(sequence));
        }
        for segment in head.segments.iter().rev() {
            let edits = self.read_segment(segment).await?;
            if let Some(edit) = edits.iter().find(|edit| edit.id == id) {
                return Ok(receipt(edit.sequence));
            }
        }
        let oldest_sequence = head.oldest_edit_sequence();
        Ok(EditLookup::NotFound { oldest_sequence })
    }

    /// Reads the tables as of a head, and the parts that are needed to plan the next head.
    pub(crate) async fn load_tables(&self, head: &HeadObject) -> Result<LoadedTables, ReadError> {
        let base = self.read_base(head).await?;
        let mut snapshot = ConfigSnapshot {
            sequence: base.sequence,
            ..ConfigSnapshot::default()
        };
        for shard in &base.shards {
            let rows = self.read_shard(shard).await?;
            snapshot.tables.routes.extend(rows.routes);
            snapshot.tables.pools.extend(rows.pools);
        }
        let mut last_segment = None;
        let mut edits = Vec::new();
        for segment in head.segments_after(base.sequence) {
            let segment_edits = self.read_segment(segment).await?;
            edits.extend(segment_edits.iter().cloned());
            last_segment = Some(segment_edits);
        }
        edits.extend_from_slice(&head.edits);
        edits.retain(|edit| edit.sequence > base.sequence);
        let mut state = ConfigState::new(snapshot);
        state
            .apply_all(&edits)
            .map_err(|error| ReadError::corrupt(HEAD_KEY, &error))?;
        if state.sequence() != head.sequence {
            return Err(ReadError::corrupt(
                HEAD_KEY,
                &"edits up to the sequence number of the head are missing",
            ));
        }
        Ok(LoadedTables {
            state,
            base,
            last_segment,
        })
    }

    /// Reads the base of a head; it is empty before the first compaction.
    pub(crate) async fn read_base(&self, head: &HeadObject) -> Result<BaseObject, ReadError> {
        match &head.base {
            Some(base) => decode(&base.key, &self.read_part(&base.key).await?),
            None => Ok(BaseObject::default()),
        }
    }

    async fn read_segment(&self, segment: &SegmentRef) -> Result<Vec<ConfigEdit>, ReadError> {
        decode(&segment.key, &self.read_part(&segment.key).await?)
    }

    async fn read_shard(&self, shard: &ShardRef) -> Result<ShardObject, ReadError> {
        let value = self.read_part(&shard.key).await?;
        if hash_bytes(&value) != shard.digest {
            return Err(ReadError::corrupt(
                &shard.key,
                &"the hash does not match the base",
            ));
        }
        decode(&shard.key, &value)
    }

    async fn read_part(&self, key: &str) -> Result<Bytes, ReadError> {
        let stored = self.store.get(key).await;
        let stored = stored.map_err(|error| ReadError::new(key, error))?;
        stored
            .map(|object| object.value)
            .ok_or_else(|| ReadError::new(key, ReadErrorKind::Replaced))
    }
}

/// Tables as of a head, and the parts that are needed to plan the next head.
#[derive(Debug)]
pub(crate) struct LoadedTables {
    pub(crate) state: ConfigState,
    pub(crate) base: BaseObject,
    pub(crate) last_segment: Option<Vec<ConfigEdit>>,
}

fn is_replaced<T>(result: &Result<T, ReadError>) -> bool {
    matches!(result, Err(error) if error.kind == ReadErrorKind::Replaced)
}

fn decode<T>(key: &str, value: &[u8]) -> Result<T, ReadError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(value).map_err(|error| ReadError::corrupt(key, &error))
}
