//! The request handler of a stand-in.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::{FaultInjector, StandinRequest, StandinResponse};

/// Request handler that each kind of stand-in implements.
pub(crate) trait StandinApp: Send + Sync + 'static {
    /// Faults that the stand-in can inject.
    type Faults: Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Returns the fault injector.
    fn faults(&self) -> &FaultInjector<Self::Faults>;

    /// Handles a request to the simulated API.
    fn handle(&self, request: StandinRequest) -> impl Future<Output = StandinResponse> + Send;

    /// Handles a request under `/_standin/`, other than `/_standin/faults`.
    fn inspect(&self, request: &StandinRequest) -> StandinResponse;
}
