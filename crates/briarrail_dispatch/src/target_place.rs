//! Where the processes of a target are found.

use briarrail_model::{StableHash, hash_bytes, hash_pair};

use crate::TargetRecord;

/// Where the processes of a target are found: its identifier and its address.
///
/// A process serves at one address, whatever service, version or state its entry names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetPlace(pub(crate) StableHash);

impl From<&TargetRecord> for TargetPlace {
    fn from(record: &TargetRecord) -> Self {
        let id = hash_bytes(record.id.as_bytes());
        let address = hash_bytes(record.address.to_string().as_bytes());
        Self(hash_pair(id, address))
    }
}
