//! The trait that each kind of stand-in implements.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::{FaultInjector, StandinCall, StandinReply};

/// One kind of stand-in: answers calls, under faults that can be switched.
pub(crate) trait StandinApp: Send + Sync + 'static {
    /// Faults that the stand-in knows.
    type Faults: Clone + Default + Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Returns the switches of the faults.
    fn faults(&self) -> &FaultInjector<Self::Faults>;

    /// Answers an ordinary call.
    fn answer(&self, call: StandinCall) -> impl Future<Output = StandinReply> + Send;

    /// Answers a call below the reserved prefix `/_standin/`, other than `faults`.
    fn inspect(&self, call: &StandinCall) -> StandinReply;
}
