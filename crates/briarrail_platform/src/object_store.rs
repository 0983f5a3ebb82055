//! Trait for access to the object API.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

use crate::{ObjectListing, ObjectVersion, StoreError, StoredObject, WatchBatch, WriteCondition};

/// The platform's object API.
///
/// A write that fails with [`StoreErrorKind::Unknown`](crate::StoreErrorKind::Unknown) may have
/// taken effect; the caller must read the object back to find out.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails when the API can't be reached or rejects the call.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes one object if the condition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with [`Conflict`](crate::StoreErrorKind::Conflict) when the condition doesn't hold,
    /// and with [`Unknown`](crate::StoreErrorKind::Unknown) when the reply was lost.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> impl Future<Output = Result<ObjectVersion, StoreError>> + Send;

    /// Deletes one object if the condition holds.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    fn delete(
        &self,
        key: &str,
        condition: WriteCondition,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists the keys and versions of the objects under a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the API can't be reached or rejects the call.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<ObjectListing, StoreError>> + Send;

    /// Waits up to `timeout` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the API can't be reached or rejects the call.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        timeout: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>> + Send;
}
