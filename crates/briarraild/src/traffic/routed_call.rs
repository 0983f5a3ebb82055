//! Requests on their way to a pool.

use std::sync::Arc;

use super::{AdmissionGuard, CallRecord, CallerRequest, ClaimGrant};
use crate::state::RoutingSource;

/// A request with its route, pool and measurements.
#[derive(Debug)]
pub(crate) struct RoutedCall {
    /// The request.
    pub(crate) request: Arc<CallerRequest>,
    /// Route and pool.
    pub(crate) source: RoutingSource,
    /// Measurements.
    pub(crate) record: CallRecord,
}

/// What a call holds while it is sent.
#[derive(Debug)]
pub(crate) struct CallPermit {
    /// Place in the customer's share.
    pub(crate) admission: AdmissionGuard,
    /// Claim on the idempotency key, if the call has one.
    pub(crate) grant: Option<ClaimGrant>,
}
