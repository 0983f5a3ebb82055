//! What every call needs.

use std::sync::Arc;

use briarrail_settings::DaemonSettings;

use super::{ClaimManager, TargetClient};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

/// Shared parts of all calls.
#[derive(Debug)]
pub(crate) struct TrafficContext {
    /// Settings of the daemon.
    pub(crate) settings: Arc<DaemonSettings>,
    /// State shared with the control thread.
    pub(crate) state: Arc<SharedState>,
    /// Client towards targets.
    pub(crate) client: TargetClient,
    /// Claims on idempotency keys.
    pub(crate) claims: ClaimManager,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
}
