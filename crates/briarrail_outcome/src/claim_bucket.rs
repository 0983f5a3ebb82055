//! Claim buckets and their assignment to routers.

use briarrail_model::{StableHash, hash_bytes, hash_pair};

/// Number of candidate owners of a bucket: the preferred owner and its fallback.
pub const OWNER_CANDIDATES: usize = 2;

/// One of a fixed number of buckets that claim keys are hashed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimBucket(pub u32);

impl ClaimBucket {
    /// Returns the bucket of a claim key in its joined form (see [`ClaimKey`](crate::ClaimKey)).
    #[must_use]
    pub fn of_key(key: &str, buckets: u32) -> Self {
        let hash = hash_bytes(key.as_bytes()).0;
        Self((hash % u64::from(buckets.max(1))) as u32)
    }

    /// Returns the indices of the two routers that rank first for the bucket.
    ///
    /// Routers are ranked by rendezvous hashing, so a router that joins or leaves moves only its
    /// own buckets. Claims go to the first, or to the second if the first can't be reached.
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
