//! The seam behind which the platform's store stands.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use briarrail_dispatch::{SiteConfig, TargetRecord};
use briarrail_model::{DataCentre, HostName};
use briarrail_platform::StoreError;

/// The configuration and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedConfig {
    /// Revision of its object.
    pub revision: u64,
    /// The configuration.
    pub config: SiteConfig,
}

/// The configuration, if there is one, as of a revision of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigListing {
    /// Revision of the store, from which to watch; the object's own may be older than its history.
    pub revision: u64,
    /// The configuration.
    pub config: Option<VersionedConfig>,
}

/// All listed targets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetListing {
    /// Revision of the store, from which to watch.
    pub revision: u64,
    /// Entries that name a usable target.
    pub records: Vec<TargetRecord>,
    /// Entries that can't be read, by name.
    pub unreadable: Vec<String>,
}

/// A change of one target's entry.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetEvent {
    /// The entry appeared or changed.
    Upserted(TargetRecord),
    /// The entry is gone, or no longer names a usable target.
    Removed(String),
}

/// The result of waiting for changes.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome<T> {
    /// Changes, oldest first, and the revision to go on from.
    Changes {
        /// The changes; none when the wait ended without one.
        changes: Vec<T>,
        /// Revision to go on from.
        revision: u64,
    },
    /// The store has dropped the changes since the revision; list again.
    HistoryExpired,
}

/// A router's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterRecord {
    /// Name of the router.
    pub name: HostName,
    /// Address at which it takes messages of other routers.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// What its host can carry, in steps of a factor of two.
    pub capacity: u8,
}

/// How old the result of a read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// The state at the time of the call.
    Current,
    /// The state of some seconds ago will do, since it costs the store little.
    AllowStale,
}

/// The platform's store, as the gateway uses it.
pub trait SiteStore: Clone + 'static {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached, refuses, or holds something unreadable.
    fn read_config(
        &self,
        age: ReadConsistency,
    ) -> impl Future<Output = Result<ConfigListing, StoreError>>;

    /// Waits for a newer configuration.
    ///
    /// # Errors
    ///
    /// Fails as [`read_config`](Self::read_config) does.
    fn watch_config(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome<VersionedConfig>, StoreError>>;

    /// Lists the targets.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached or refuses.
    fn list_targets(
        &self,
        age: ReadConsistency,
    ) -> impl Future<Output = Result<TargetListing, StoreError>>;

    /// Waits for changes of targets.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached or refuses.
    fn watch_targets(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome<TargetEvent>, StoreError>>;

    /// Lists the routers; what comes may be some seconds old.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached or refuses.
    fn list_routers(&self) -> impl Future<Output = Result<Vec<RouterRecord>, StoreError>>;

    /// Writes a router's entry.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached or refuses.
    fn put_router(&self, record: &RouterRecord) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes a router's entry.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached or refuses.
    fn remove_router(&self, name: &HostName) -> impl Future<Output = Result<(), StoreError>>;
}
