//! The trait behind which the object API stands.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

use crate::{ObjectListing, ObjectVersion, StoreError, StoredObject, WatchBatch, WriteCondition};

/// The platform's object API.
///
/// A write that fails with [`StoreErrorKind::Unknown`](crate::StoreErrorKind::Unknown) may have
/// taken effect; the caller finds out by reading back.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails when the API can't be reached or refuses the call.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes one object when the condition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with `Conflict` when the condition doesn't hold, and with `Unknown` when the reply
    /// was lost.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Deletes one object when the condition holds.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    fn delete(
        &self,
        key: &str,
        condition: WriteCondition,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists keys and versions below a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the API can't be reached or refuses the call.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<ObjectListing, StoreError>> + Send;

    /// Waits for changes below a prefix after a revision, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the API can't be reached or refuses the call.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        timeout: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>> + Send;
}
