//! Submits edits of the tables.

use std::sync::Arc;

use briarrail_platform::{ObjectStore, StoreErrorKind, WriteCondition};

use crate::attempt_error::AttemptError;
use crate::lost_write_tracker::LostWriteTracker;
use crate::part_cleanup::unreferenced_parts;
use crate::update_plan::encode;
use crate::{
    ConfigReader, EditLookup, EditReceipt, EditRequest, HEAD_KEY, LayoutLimits, PART_PREFIX,
    PlanInput, ReadError, StoredPart, SubmitError, SubmitErrorKind, UpdatePlan, VersionedHead,
    plan_update,
};

/// Maximum number of attempts to submit an edit despite conflicting edits and lost replies.
const MAX_ATTEMPTS: u32 = 16;

/// Submits edits; one conditional update of the head object accepts each of them.
#[derive(Debug)]
pub struct ConfigEditor<Store> {
    store: Arc<Store>,
    reader: ConfigReader<Store>,
    limits: LayoutLimits,
}

impl<Store> ConfigEditor<Store> {
    /// Creates an editor.
    #[must_use]
    pub fn new(store: Arc<Store>) -> Self {
        Self::with_limits(store, LayoutLimits::default())
    }

    /// Creates an editor with given size limits for the stored objects.
    #[must_use]
    pub fn with_limits(store: Arc<Store>, limits: LayoutLimits) -> Self {
        Self {
            reader: ConfigReader::new(Arc::clone(&store)),
            store,
            limits,
        }
    }

    /// Returns a reader of the same store.
    #[must_use]
    pub fn reader(&self) -> &ConfigReader<Store> {
        &self.reader
    }
}

impl<Store> ConfigEditor<Store>
where
    Store: ObjectStore,
{
    /// Submits an edit, and retries when concurrent edits changed only other rows.
    ///
    /// Resubmitting an edit under the same identifier has no further effect, as long as the head or
    /// its segments still hold the edit.
    ///
    /// # Errors
    ///
    /// Fails when the edit is outdated or would make the tables invalid, and when it was not
    /// accepted because the store is down or every attempt conflicted with another edit. Fails with
    /// [`SubmitErrorKind::Unknown`] when a reply was lost and it can't be determined whether the
    /// write took effect.
    pub async fn submit(&self, request: &EditRequest) -> Result<EditReceipt, SubmitError> {
        let fail = |kind| SubmitError {
            kind,
            id: request.id,
        };
        let validated = request.validate(self.limits.max_row_bytes);
        validated.map_err(|kind| fail(kind.into()))?;
        self.submit_validated(request).await.map_err(fail)
    }

    async fn submit_validated(
        &self,
        request: &EditRequest,
    ) -> Result<EditReceipt, SubmitErrorKind> {
        let mut tracker = LostWriteTracker::default();
        for attempt in 0..MAX_ATTEMPTS {
            match self.try_submit(request, attempt, &mut tracker).await {
                Ok(receipt) => return Ok(receipt),
                Err(AttemptError::Fatal(kind)) => return Err(kind),
                Err(AttemptError::NoEffect(kind)) if tracker.is_resolved() => return Err(kind),
                Err(AttemptError::NoEffect(_) | AttemptError::Retry) => {}
            }
        }
        Err(tracker.into_error(MAX_ATTEMPTS))
    }

    async fn try_submit(
        &self,
        request: &EditRequest,
        attempt: u32,
        tracker: &mut LostWriteTracker,
    ) -> Result<EditReceipt, AttemptError> {
        let current = self.reader.head().await?;
        if let Some(sequence) = current.head.find_edit(request.id) {
            let id = request.id;
            return Ok(EditReceipt { id, sequence });
        }
        if attempt == 0 || !tracker.is_resolved() {
            match self.reader.find_edit_in(&current.head, request.id).await? {
                EditLookup::Accepted(receipt) => return Ok(receipt),
                EditLookup::NotFound { oldest_sequence } => {
                    tracker.resolve_not_found(current.version, oldest_sequence)?;
                }
            }
        }
        let plan = self.plan(request, attempt, &current).await?;
        for part in &plan.parts {
            self.create_part(part).await?;
        }
        self.commit(&plan, &current, tracker).await?;
        if !plan.parts.is_empty() {
            // Errors are ignored: a leftover part only takes space, and the next cleanup finds it.
            let _ = self.delete_unreferenced_parts().await;
        }
        Ok(EditReceipt {
            id: request.id,
            sequence: plan.head.sequence,
        })
    }

    async fn plan(
        &self,
        request: &EditRequest,
        attempt: u32,
        current: &VersionedHead,
    ) -> Result<UpdatePlan, AttemptError> {
        let mut loaded = self.reader.load_tables(&current.head).await?;
        let edit = request.clone().into_edit(current.head.sequence + 1);
        let applied = loaded.state.apply(&edit);
        applied.map_err(|error| AttemptError::Fatal(error.kind.into()))?;
        Ok(plan_update(&PlanInput {
            head: &current.head,
            last_segment: loaded.last_segment.as_deref(),
            base: &loaded.base,
            state: &loaded.state,
            edit: &edit,
            attempt,
            limits: &self.limits,
        }))
    }

    async fn create_part(&self, part: &StoredPart) -> Result<(), AttemptError> {
        let value = part.value.clone();
        let created = self.store.put(&part.key, value, WriteCondition::Absent);
        match created.await {
            Ok(_) => Ok(()),
            Err(error) => match error.kind {
                // The key contains the attempt number, so the next attempt doesn't conflict.
                StoreErrorKind::Conflict(_) | StoreErrorKind::Unknown => Err(AttemptError::Retry),
                _ => Err(AttemptError::NoEffect(SubmitErrorKind::NotWritten(error))),
            },
        }
    }

    async fn commit(
        &self,
        plan: &UpdatePlan,
        current: &VersionedHead,
        tracker: &mut LostWriteTracker,
    ) -> Result<(), AttemptError> {
        let condition = current
            .version
            .map_or(WriteCondition::Absent, WriteCondition::Version);
        let put = self.store.put(HEAD_KEY, encode(&plan.head), condition);
        let Err(error) = put.await else {
            return Ok(());
        };
        match error.kind {
            StoreErrorKind::Conflict(_) => Err(AttemptError::Retry),
            StoreErrorKind::Unknown => {
                tracker.record_lost_write(current.version, plan.head.sequence, error);
                Err(AttemptError::Retry)
            }
            _ => Err(AttemptError::NoEffect(SubmitErrorKind::NotWritten(error))),
        }
    }

    /// Deletes the parts to which neither the head nor a later head can refer, and returns their
    /// number.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails; a later call deletes the remaining parts.
    pub async fn delete_unreferenced_parts(&self) -> Result<usize, ReadError> {
        let head = self.reader.head().await?.head;
        let base = self.reader.read_base(&head).await?;
        let listing = self.store.list(PART_PREFIX).await;
        let listing = listing.map_err(|error| ReadError::new(PART_PREFIX, error))?;
        let keys = unreferenced_parts(&head, &base, &listing);
        for key in &keys {
            let deleted = self.store.delete(key, WriteCondition::Always).await;
            deleted.map_err(|error| ReadError::new(key, error))?;
        }
        Ok(keys.len())
    }
}
