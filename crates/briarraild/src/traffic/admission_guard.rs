//! Admission of requests to a pool.

use std::sync::Arc;
use std::time::Duration;

use briarrail_model::{CallPriority, MilliDuration, StableHash};
use briarrail_policy::{AdmissionDecision, AdmissionRequest};

use super::CallerRequest;
use crate::state::{PoolRuntime, RouteMatch};

/// Counts an admitted request towards its customer's share of the pool until it is dropped.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    runtime: Arc<PoolRuntime>,
    customer: StableHash,
    priority: CallPriority,
}

impl AdmissionGuard {
    /// Waits until the pool admits a request.
    ///
    /// # Errors
    ///
    /// Fails with the delay after which the caller may retry if the pool refuses the request.
    pub(crate) async fn acquire(
        source: &RouteMatch,
        request: &CallerRequest,
    ) -> Result<Self, MilliDuration> {
        let runtime = &source.pool.runtime;
        let mut admission_request = AdmissionRequest {
            customer: request.customer.stable_hash(),
            priority: source.route.priority,
            waited: MilliDuration::ZERO,
        };
        loop {
            match runtime.admit(&admission_request) {
                AdmissionDecision::Admit { priority } => {
                    let runtime = Arc::clone(runtime);
                    return Ok(Self {
                        runtime,
                        customer: admission_request.customer,
                        priority,
                    });
                }
                AdmissionDecision::Wait { retry_after } => {
                    tokio::time::sleep(Duration::from(retry_after)).await;
                    admission_request.waited = admission_request.waited + retry_after;
                }
                AdmissionDecision::Refuse { retry_after } => return Err(retry_after),
            }
        }
    }

    /// Returns the priority to send to the target.
    pub(crate) fn priority(&self) -> CallPriority {
        self.priority
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.runtime.release(self.customer);
    }
}
