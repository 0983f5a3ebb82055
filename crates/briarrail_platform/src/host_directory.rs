//! The trait behind which the host list stands.

use std::future::Future;

use crate::{HostDelta, StoreError};

/// The platform's list of live and leaving hosts.
pub trait HostDirectory: Send + Sync + 'static {
    /// Reads what changed since a revision; revision 0 gives the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the list can't be read or understood.
    fn changes_since(
        &self,
        revision: u64,
    ) -> impl Future<Output = Result<HostDelta, StoreError>> + Send;
}
