//! Requests with their route.

use std::sync::Arc;

use super::{AdmissionGuard, CallRecorder, CallerRequest, ClaimGrant};
use crate::state::RouteMatch;

/// A request with its route, pool and metrics.
#[derive(Debug)]
pub(crate) struct RoutedCall {
    /// The request.
    pub(crate) request: Arc<CallerRequest>,
    /// Route and pool.
    pub(crate) source: RouteMatch,
    /// Metrics of the call.
    pub(crate) recorder: CallRecorder,
}

/// Admission and claim that a call holds while it runs.
#[derive(Debug)]
pub(crate) struct CallPermit {
    /// Admission to the pool.
    pub(crate) admission: AdmissionGuard,
    /// Claim on the idempotency key, if the call needs one.
    pub(crate) grant: Option<ClaimGrant>,
}
