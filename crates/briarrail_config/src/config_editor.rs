//! Submits edits.

use std::sync::Arc;

use briarrail_platform::{ObjectStore, StoreErrorKind, WriteCondition};

use crate::part_sweep::unreferenced_parts;
use crate::update_plan::encode;
use crate::write_trail::{AttemptError, WriteTrail};
use crate::{
    ConfigReader, EditLookup, EditReceipt, EditRequest, HEAD_KEY, LayoutLimits, PART_PREFIX,
    PlanInput, ReadError, ReadErrorKind, StoredPart, SubmitError, SubmitErrorKind, UpdatePlan,
    VersionedHead, plan_update,
};

/// Times that an edit is tried against other operators' edits and lost replies.
const MAX_ATTEMPTS: u32 = 16;

/// Submits edits, each accepted by one conditional update of the head.
#[derive(Debug)]
pub struct ConfigEditor<Store> {
    store: Arc<Store>,
    reader: ConfigReader<Store>,
    limits: LayoutLimits,
}

impl<Store> ConfigEditor<Store> {
    /// Makes an editor.
    #[must_use]
    pub fn new(store: Arc<Store>) -> Self {
        Self::with_limits(store, LayoutLimits::default())
    }

    /// Makes an editor that splits the stored objects at other sizes.
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
    /// Submits an edit, and tries again when others changed only rows that the edit leaves alone.
    ///
    /// Submitting an edit again under its identifier has no second effect while the edit is among
    /// those that the head and its segments keep.
    ///
    /// # Errors
    ///
    /// Refuses an edit that is outdated or would make the tables invalid; says that it was not
    /// accepted when the store is down; says that its fate is unknown when the reply was lost and
    /// the head can't be read back.
    pub async fn submit(&self, request: &EditRequest) -> Result<EditReceipt, SubmitError> {
        let fail = |kind| SubmitError {
            kind,
            id: request.id,
        };
        let check = request.check(self.limits.row_bytes);
        check.map_err(|kind| fail(kind.into()))?;
        self.submit_checked(request).await.map_err(fail)
    }

    async fn submit_checked(&self, request: &EditRequest) -> Result<EditReceipt, SubmitErrorKind> {
        let mut trail = WriteTrail::default();
        for attempt in 0..MAX_ATTEMPTS {
            match self.try_submit(request, attempt, &mut trail).await {
                Ok(receipt) => return Ok(receipt),
                Err(AttemptError::Final(kind)) => return Err(kind),
                Err(AttemptError::Failed(kind)) if trail.is_settled() => return Err(kind),
                Err(AttemptError::Failed(_) | AttemptError::Raced) => {}
            }
        }
        Err(trail.into_error(MAX_ATTEMPTS))
    }

    async fn try_submit(
        &self,
        request: &EditRequest,
        attempt: u32,
        trail: &mut WriteTrail,
    ) -> Result<EditReceipt, AttemptError> {
        let current = self.reader.head().await?;
        if let Some(sequence) = current.head.find_edit(request.id) {
            let id = request.id;
            return Ok(EditReceipt { id, sequence });
        }
        if attempt == 0 || !trail.is_settled() {
            match self.reader.find_in(&current.head, request.id).await? {
                EditLookup::Accepted(receipt) => return Ok(receipt),
                EditLookup::NotFound { oldest_sequence } => {
                    trail.settle(current.version, oldest_sequence)?
                }
            }
        }
        let plan = self.plan(request, attempt, &current).await?;
        for part in &plan.parts {
            self.create_part(part).await?;
        }
        self.commit(&plan, &current, trail).await?;
        if !plan.parts.is_empty() {
            // An unswept part costs space only, and the next sweep finds it again.
            let _ = self.sweep().await;
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
        let mut loaded = self.reader.load(&current.head).await?;
        let edit = request.clone().into_edit(current.head.sequence + 1);
        let applied = loaded.state.apply(&edit);
        applied.map_err(|error| AttemptError::Final(error.kind.into()))?;
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
                // The next try uses keys of its own.
                StoreErrorKind::Conflict(_) | StoreErrorKind::Unknown => Err(AttemptError::Raced),
                _ => Err(AttemptError::Failed(SubmitErrorKind::NotWritten(error))),
            },
        }
    }

    async fn commit(
        &self,
        plan: &UpdatePlan,
        current: &VersionedHead,
        trail: &mut WriteTrail,
    ) -> Result<(), AttemptError> {
        let condition = current
            .version
            .map_or(WriteCondition::Absent, WriteCondition::Version);
        let put = self.store.put(HEAD_KEY, encode(&plan.head), condition);
        let Err(error) = put.await else {
            return Ok(());
        };
        match error.kind {
            StoreErrorKind::Conflict(_) => Err(AttemptError::Raced),
            StoreErrorKind::Unknown => {
                trail.note_lost(current.version, plan.head.sequence, error);
                Err(AttemptError::Raced)
            }
            _ => Err(AttemptError::Failed(SubmitErrorKind::NotWritten(error))),
        }
    }

    /// Deletes parts that no head refers to any more, and returns how many.
    ///
    /// # Errors
    ///
    /// Fails when the object API fails; the rest is left to a later sweep.
    pub async fn sweep(&self) -> Result<usize, ReadError> {
        let head = self.reader.head().await?.head;
        let base = self.reader.base(&head).await?;
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

impl From<ReadError> for AttemptError {
    fn from(error: ReadError) -> Self {
        match error.kind {
            ReadErrorKind::Replaced => Self::Raced,
            _ => Self::Failed(error.into()),
        }
    }
}
