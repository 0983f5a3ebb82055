//! Follows a part of the store while this router reads it.

use std::time::Duration;

use briarrail_dispatch::ReadReason;
use briarrail_platform::{StoreError, StoreErrorKind};

use super::SharedControl;
use super::store_health::{StoreHealth, read_facts};
use crate::ReadConsistency;

/// Longest wait of a watch: a watch that went silent is noticed well within the time in which
/// changes must be in force.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(600);
/// Pause while another router reads the store, or once it has dropped the history to go on from.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(100);

/// A part of the store that is listed once and watched from then on.
pub(crate) trait StorePart {
    /// Name of its calls in logs and metrics.
    const CALL: &'static str;

    /// Lists it; returns the revision to watch from, none after a read that may be old.
    async fn list(&self, age: ReadConsistency) -> Result<Option<u64>, StoreError>;

    /// Waits for changes; returns the revision to go on from, none when it must be listed again.
    async fn watch(&self, revision: u64) -> Result<Option<u64>, StoreError>;

    /// Notes that a call failed.
    fn note_failure(&self) {}
}

/// Follows a part of the store, for ever.
pub(crate) async fn follow_part<P>(state: SharedControl, part: P)
where
    P: StorePart,
{
    let mut health = StoreHealth::new(P::CALL);
    let mut revision = None;
    let mut has_read = false;
    loop {
        let duty = read_facts(&state.borrow(), has_read).read_reason();
        let Some(duty) = duty else {
            revision = None;
            tokio::time::sleep(FOLLOWER_PAUSE).await;
            continue;
        };
        has_read = true;
        let outcome = match revision {
            Some(known) => part.watch(known).await,
            None => part.list(read_age(duty)).await,
        };
        health.record(&state, &outcome);
        match outcome {
            Ok(next) => {
                revision = next;
                if next.is_none() {
                    tokio::time::sleep(FOLLOWER_PAUSE).await;
                }
            }
            Err(error) => {
                if error.kind == StoreErrorKind::Invalid {
                    revision = None;
                }
                part.note_failure();
                health.pause(&state).await;
            }
        }
    }
}

const fn read_age(duty: ReadReason) -> ReadConsistency {
    match duty {
        ReadReason::Initial => ReadConsistency::AllowStale,
        ReadReason::Reader | ReadReason::Probe => ReadConsistency::Current,
    }
}
