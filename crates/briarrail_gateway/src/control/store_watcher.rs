//! Lists and watches a collection of the store while this router reads the store.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{ReadReason, ReplyWindow, ViewTimeBounds};
use briarrail_platform::{StoreError, StoreErrorKind};

use super::SharedControlState;
use super::control_state::ControlState;
use super::store_health::{StoreHealth, read_conditions};
use crate::{ProcessClock, ReadConsistency, StoreRevision};

/// Maximum duration of a watch, so that an unresponsive watch is detected well within the time in
/// which changes must take effect.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay while another router reads the store, and before a collection is listed again.
const LIST_DELAY: Duration = Duration::from_millis(100);

/// Interval at which a pending watch is checked; bounds how much too old its result can count.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads a collection of the store, which is listed once and then watched.
pub(crate) trait StoreWatcher {
    /// Name of the calls in logs and metrics.
    const CALL: &'static str;

    /// Returns why this router reads the collection now, or `None` if it does not.
    fn read_reason(state: &ControlState, has_read: bool) -> Option<ReadReason> {
        read_conditions(state, has_read).read_reason()
    }

    /// Lists the collection; returns the revision from which to watch, or `None` if the result may
    /// be stale.
    async fn list(&self, consistency: ReadConsistency)
    -> Result<Option<StoreRevision>, StoreError>;

    /// Waits for changes; returns the revision at which the next watch starts, or `None` if the
    /// collection must be listed again.
    async fn watch(&self, revision: StoreRevision) -> Result<Option<StoreRevision>, StoreError>;

    /// Called after a failed call.
    fn on_failure(&self) {}
}

/// Lists and watches a collection of the store indefinitely, whenever this router has a reason to
/// read the store.
pub(crate) async fn run_watcher<W>(state: SharedControlState, watcher: W)
where
    W: StoreWatcher,
{
    let mut health = StoreHealth::new(W::CALL);
    let mut revision = None;
    let mut has_read = false;
    loop {
        let reason = W::read_reason(&state.borrow(), has_read);
        let Some(reason) = reason else {
            revision = None;
            let listed = Rc::clone(&state.borrow().listed);
            tokio::select! {
                () = tokio::time::sleep(LIST_DELAY) => {}
                () = listed.notified() => {}
            }
            continue;
        };
        has_read = true;
        let outcome = match revision {
            Some(known) => watcher.watch(known).await,
            None => watcher.list(read_consistency(reason)).await,
        };
        health.record(&state, &outcome);
        match outcome {
            Ok(next) => {
                revision = next.filter(|next| continues_history(revision, *next));
                if revision.is_none() {
                    tokio::time::sleep(LIST_DELAY).await;
                }
            }
            Err(error) => {
                if error.kind == StoreErrorKind::Invalid {
                    revision = None;
                }
                watcher.on_failure();
                health.wait_for_retry(&state).await;
            }
        }
    }
}

/// Waits for the reply to a watch; returns it with the time at which it reflected the store.
pub(crate) async fn await_watch<F>(clock: ProcessClock, call: F) -> (F::Output, ViewTimeBounds)
where
    F: Future,
{
    let mut call = pin!(call);
    let mut window = ReplyWindow::open(clock.now());
    loop {
        tokio::select! {
            biased;
            reply = &mut call => return (reply, window.close(clock.now())),
            () = tokio::time::sleep(PENDING_CHECK_INTERVAL) => window.record_pending(clock.now()),
        }
    }
}

/// Returns whether a reply belongs to the same history of the store as the revision from which it
/// was requested. If not, it lacks the changes before that revision was given out again.
fn continues_history(watched: Option<StoreRevision>, found: StoreRevision) -> bool {
    watched.is_none_or(|watched| watched.epoch == found.epoch)
}

const fn read_consistency(reason: ReadReason) -> ReadConsistency {
    match reason {
        ReadReason::Initial => ReadConsistency::AllowStale,
        ReadReason::Reader | ReadReason::Probe => ReadConsistency::Current,
    }
}
