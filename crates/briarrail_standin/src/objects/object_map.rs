//! Objects in memory, with versions.

use std::collections::BTreeMap;

use briarrail_platform::{ListedObject, ObjectListing, ObjectVersion, WatchBatch, WatchEvent};
use briarrail_platform::{StoredObject, WriteCondition};
use bytes::Bytes;

/// Objects by key; a deleted one leaves its version behind for the watches.
#[derive(Debug, Default)]
pub(crate) struct ObjectMap {
    revision: u64,
    slots: BTreeMap<String, ObjectSlot>,
}

/// The last write or deletion of one key.
#[derive(Debug)]
struct ObjectSlot {
    version: ObjectVersion,
    value: Option<Bytes>,
}

impl ObjectMap {
    pub(crate) fn revision(&self) -> ObjectVersion {
        ObjectVersion(self.revision)
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoredObject> {
        let slot = self.slots.get(key)?;
        Some(StoredObject {
            version: slot.version,
            value: slot.value.clone()?,
        })
    }

    /// Writes or deletes an object; fails with its version when the condition doesn't hold.
    pub(crate) fn write(
        &mut self,
        key: &str,
        value: Option<Bytes>,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, Option<ObjectVersion>> {
        let current = self.get(key).map(|object| object.version);
        let holds = match condition {
            WriteCondition::Version(version) => current == Some(version),
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Always => true,
        };
        if !holds {
            return Err(current);
        }
        self.revision += 1;
        let version = self.revision();
        let slot = ObjectSlot { version, value };
        self.slots.insert(key.to_owned(), slot);
        Ok(version)
    }

    pub(crate) fn list(&self, prefix: &str) -> ObjectListing {
        let live = self.below(prefix).filter(|(_, slot)| slot.value.is_some());
        let objects = live.map(|(key, slot)| ListedObject {
            key: key.clone(),
            version: slot.version,
        });
        ObjectListing {
            revision: self.revision(),
            objects: objects.collect(),
        }
    }

    /// Returns the last change of each key below a prefix that changed after a revision.
    pub(crate) fn changes(&self, prefix: &str, after: ObjectVersion) -> WatchBatch {
        let changed = self.below(prefix).filter(|(_, slot)| slot.version > after);
        let events = changed.map(|(key, slot)| WatchEvent {
            key: key.clone(),
            version: slot.version,
            deleted: slot.value.is_none(),
        });
        let mut events: Vec<WatchEvent> = events.collect();
        events.sort_by_key(|event| event.version);
        WatchBatch {
            revision: self.revision(),
            events,
        }
    }

    fn below(&self, prefix: &str) -> impl Iterator<Item = (&String, &ObjectSlot)> {
        let from = self.slots.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }
}
