//! Buckets of claims and their owners.

use briarrail_model::{StableHash, hash_bytes, hash_pair};

/// Candidates for the ownership of a bucket: the owner and the one that stands in for it.
pub const OWNER_CANDIDATES: usize = 2;

/// One of the fixed number of buckets that keys hash to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimBucket(pub u32);

impl ClaimBucket {
    /// Returns the bucket of a joined key.
    #[must_use]
    pub fn of_key(key: &str, buckets: u32) -> Self {
        let hash = hash_bytes(key.as_bytes()).0;
        Self((hash % u64::from(buckets.max(1))) as u32)
    }

    /// Returns the indices of the two routers that rank first for the bucket.
    ///
    /// Routers rank by rendezvous hashing, so one that joins or leaves moves only its own
    /// buckets. Claims go to the first; the second takes them when the first can't be reached.
    #[must_use]
    pub fn owner_candidates<I>(self, routers: I) -> [Option<usize>; OWNER_CANDIDATES]
    where
        I: IntoIterator<Item = StableHash>,
    {
        let bucket = hash_bytes(&self.0.to_le_bytes());
        let mut ranked = [None; OWNER_CANDIDATES];
        for (index, router) in routers.into_iter().enumerate() {
            let entry = Some((hash_pair(bucket, router), index));
            if entry > ranked[0] {
                ranked = [entry, ranked[0]];
            } else if entry > ranked[1] {
                ranked[1] = entry;
            }
        }
        ranked.map(|entry| entry.map(|(_, index)| index))
    }

    /// Returns the object key of the bucket's head.
    pub(crate) fn head_key(self) -> String {
        format!("claims/{}/head", self.0)
    }
}
