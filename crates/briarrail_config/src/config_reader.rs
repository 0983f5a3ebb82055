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

/// Times that a read starts again because parts were replaced meanwhile.
const MAX_RESTARTS: u32 = 8;

/// The head, and the version under which it is stored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionedHead {
    /// Version of the object; none before the first edit.
    pub version: Option<ObjectVersion>,
    /// The head; empty before the first edit.
    pub head: HeadObject,
}

/// Reads head, edits and whole tables.
///
/// Parts that an editor replaces in the middle of a read make the read start again from a new
/// head.
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
    /// Makes a reader.
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

    /// Reads what a router at a sequence number needs to catch up with the head.
    ///
    /// A router that is ahead of the head, as after a restored store, is told that it is current.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails or an object can't be decoded.
    pub async fn update_since(&self, sequence: u64) -> Result<ConfigUpdate, ReadError> {
        for _ in 0..MAX_RESTARTS {
            let head = self.head().await?.head;
            let result = self.update_from(&head, sequence).await;
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
        for _ in 0..MAX_RESTARTS {
            let head = self.head().await?.head;
            let result = self.load(&head).await;
            if !is_replaced(&result) {
                return result.map(|loaded| loaded.state.into_snapshot());
            }
        }
        Err(ReadError::new(HEAD_KEY, ReadErrorKind::Replaced))
    }

    /// Looks an edit up by its identifier.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails or an object can't be decoded.
    pub async fn find_edit(&self, id: EditId) -> Result<EditLookup, ReadError> {
        for _ in 0..MAX_RESTARTS {
            let head = self.head().await?.head;
            let result = self.find_in(&head, id).await;
            if !is_replaced(&result) {
                return result;
            }
        }
        Err(ReadError::new(HEAD_KEY, ReadErrorKind::Replaced))
    }

    async fn update_from(&self, head: &HeadObject, from: u64) -> Result<ConfigUpdate, ReadError> {
        if head.sequence <= from {
            return Ok(ConfigUpdate::UpToDate);
        }
        if head.oldest_edit() > from + 1 {
            let loaded = self.load(head).await?;
            return Ok(ConfigUpdate::Snapshot(loaded.state.into_snapshot()));
        }
        self.edits_after(head, from).await.map(ConfigUpdate::Edits)
    }

    async fn edits_after(
        &self,
        head: &HeadObject,
        from: u64,
    ) -> Result<Vec<ConfigEdit>, ReadError> {
        let mut edits = Vec::new();
        for segment in head.segments_after(from) {
            edits.extend(self.segment(segment).await?);
        }
        edits.extend_from_slice(&head.edits);
        edits.retain(|edit| edit.sequence > from);
        Ok(edits)
    }

    pub(crate) async fn find_in(
        &self,
        head: &HeadObject,
        id: EditId,
    ) -> Result<EditLookup, ReadError> {
        let receipt = |sequence| EditLookup::Accepted(EditReceipt { id, sequence });
        if let Some(sequence) = head.find_edit(id) {
            return Ok(receipt(sequence));
        }
        for segment in head.segments.iter().rev() {
            let edits = self.segment(segment).await?;
            if let Some(edit) = edits.iter().find(|edit| edit.id == id) {
                return Ok(receipt(edit.sequence));
            }
        }
        let oldest_sequence = head.oldest_edit();
        Ok(EditLookup::NotFound { oldest_sequence })
    }

    /// Reads the tables that a head refers to, and what the next head needs of its parts.
    pub(crate) async fn load(&self, head: &HeadObject) -> Result<LoadedHead, ReadError> {
        let base = self.base(head).await?;
        let mut snapshot = ConfigSnapshot {
            sequence: base.sequence,
            ..ConfigSnapshot::default()
        };
        for shard in &base.shards {
            let rows = self.shard(shard).await?;
            snapshot.tables.routes.extend(rows.routes);
            snapshot.tables.pools.extend(rows.pools);
        }
        let mut last_segment = None;
        let mut edits = Vec::new();
        for segment in head.segments_after(base.sequence) {
            let run = self.segment(segment).await?;
            edits.extend(run.iter().cloned());
            last_segment = Some(run);
        }
        edits.extend_from_slice(&head.edits);
        edits.retain(|edit| edit.sequence > base.sequence);
        let mut state = ConfigState::new(snapshot);
        state
            .apply_all(&edits)
            .map_err(|error| ReadError::damaged(HEAD_KEY, &error))?;
        if state.sequence() != head.sequence {
            return Err(ReadError::damaged(HEAD_KEY, &"edits are missing"));
        }
        Ok(LoadedHead {
            state,
            base,
            last_segment,
        })
    }

    /// Reads the base of a head; it is empty before the first compaction.
    pub(crate) async fn base(&self, head: &HeadObject) -> Result<BaseObject, ReadError> {
        match &head.base {
            Some(base) => decode(&base.key, &self.part(&base.key).await?),
            None => Ok(BaseObject::default()),
        }
    }

    async fn segment(&self, segment: &SegmentRef) -> Result<Vec<ConfigEdit>, ReadError> {
        decode(&segment.key, &self.part(&segment.key).await?)
    }

    async fn shard(&self, shard: &ShardRef) -> Result<ShardObject, ReadError> {
        let value = self.part(&shard.key).await?;
        if hash_bytes(&value) != shard.digest {
            return Err(ReadError::damaged(&shard.key, &"the hash differs"));
        }
        decode(&shard.key, &value)
    }

    async fn part(&self, key: &str) -> Result<Bytes, ReadError> {
        let stored = self.store.get(key).await;
        let stored = stored.map_err(|error| ReadError::new(key, error))?;
        stored
            .map(|object| object.value)
            .ok_or_else(|| ReadError::new(key, ReadErrorKind::Replaced))
    }
}

/// The tables of a head, and the parts that the next head builds on.
#[derive(Debug)]
pub(crate) struct LoadedHead {
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
    serde_json::from_slice(value).map_err(|error| ReadError::damaged(key, &error))
}
