//! Context shared by all calls.

use std::sync::Arc;

use briarrail_settings::DaemonSettings;

use super::{ClaimManager, TargetClient};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

/// Settings, state and clients that all calls share.
#[derive(Debug)]
pub(crate) struct TrafficContext {
    /// Settings of the daemon.
    pub(crate) settings: Arc<DaemonSettings>,
    /// State shared with the control thread.
    pub(crate) state: Arc<SharedState>,
    /// HTTP client for targets.
    pub(crate) client: TargetClient,
    /// Acquires claims on idempotency keys.
    pub(crate) claims: ClaimManager,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
}
