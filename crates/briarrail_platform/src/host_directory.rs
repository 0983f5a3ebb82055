//! Trait for reading the host list.

use std::future::Future;

use crate::{HostDelta, StoreError};

/// The platform's list of live and leaving hosts.
pub trait HostDirectory: Send + Sync + 'static {
    /// Reads the changes since a revision; revision 0 returns the full list.
    ///
    /// # Errors
    ///
    /// Fails when the list can't be read or decoded.
    fn changes_since(
        &self,
        revision: u64,
    ) -> impl Future<Output = Result<HostDelta, StoreError>> + Send;
}
