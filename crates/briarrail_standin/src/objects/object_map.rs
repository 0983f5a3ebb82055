//! In-memory store of versioned objects.

use std::collections::BTreeMap;

use briarrail_platform::{ListedObject, ObjectListing, ObjectVersion, WatchBatch, WatchEvent};
use briarrail_platform::{StoredObject, WriteCondition};
use bytes::Bytes;

/// Objects by key; a deleted object leaves its version behind so that watches report the deletion.
#[derive(Debug, Default)]
pub(crate) struct ObjectMap {
    revision: u64,
    records: BTreeMap<String, ObjectRecord>,
}

/// The last write or deletion of a key.
#[derive(Debug)]
struct ObjectRecord {
    version: ObjectVersion,
    /// `None` if the object was deleted.
    value: Option<Bytes>,
}

impl ObjectMap {
    pub(crate) fn revision(&self) -> ObjectVersion {
        ObjectVersion(self.revision)
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoredObject> {
        let record = self.records.get(key)?;
        Some(StoredObject {
            version: record.version,
            value: record.value.clone()?,
        })
    }

    /// Writes an object, or deletes it if the value is `None`.
    ///
    /// Fails with the current version if the condition isn't met.
    pub(crate) fn write(
        &mut self,
        key: &str,
        value: Option<Bytes>,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, Option<ObjectVersion>> {
        let current = self.get(key).map(|object| object.version);
        let is_met = match condition {
            WriteCondition::Version(version) => current == Some(version),
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Always => true,
        };
        if !is_met {
            return Err(current);
        }
        self.revision += 1;
        let version = self.revision();
        let record = ObjectRecord { version, value };
        self.records.insert(key.to_owned(), record);
        Ok(version)
    }

    pub(crate) fn list(&self, prefix: &str) -> ObjectListing {
        let live = self
            .records_with_prefix(prefix)
            .filter(|(_, record)| record.value.is_some());
        let objects = live.map(|(key, record)| ListedObject {
            key: key.clone(),
            version: record.version,
        });
        ObjectListing {
            revision: self.revision(),
            objects: objects.collect(),
        }
    }

    /// Returns the last change of each key that has a prefix and changed after a revision.
    pub(crate) fn changes(&self, prefix: &str, after: ObjectVersion) -> WatchBatch {
        let changed = self
            .records_with_prefix(prefix)
            .filter(|(_, record)| record.version > after);
        let events = changed.map(|(key, record)| WatchEvent {
            key: key.clone(),
            version: record.version,
            deleted: record.value.is_none(),
        });
        let mut events: Vec<WatchEvent> = events.collect();
        events.sort_by_key(|event| event.version);
        WatchBatch {
            revision: self.revision(),
            events,
        }
    }

    fn records_with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&String, &ObjectRecord)> {
        let from = self.records.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }
}
